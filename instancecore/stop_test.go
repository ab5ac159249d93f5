package instancecore

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// TestStopHangsOnLateTask guards against a stop that never ends because a task which it waits for starts another one, as
// the installation of a document with a new pool does.
func TestStopHangsOnLateTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := &Core{}
		cr.lifetime, cr.cancel = context.WithCancel(context.Background())
		lateEnded := false
		cr.startTask(func(ctx context.Context, done chan<- struct{}) {
			defer close(done)
			<-ctx.Done()
			cr.startTask(func(_ context.Context, done chan<- struct{}) {
				defer close(done)
				lateEnded = true
			})
		})
		cr.Kill()
		must.True(t, lateEnded)
	})
}
