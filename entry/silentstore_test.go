package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// silentLinkTime is how long calls between instances fail after their connections have fallen silent, until new ones are made.
	silentLinkTime = 700 * time.Millisecond
	// inTouchAfter is how long after that instances count as in touch again.
	inTouchAfter = 3 * time.Second
)

// TestSilentConnectionsDelayAConfiguration guards against instances that wait for changes of the store on connections that have fallen
// silent, until after they count as in touch again.
func TestSilentConnectionsDelayAConfiguration(t *testing.T) {
	for _, size := range []int{3, 8, 77} {
		for _, at := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d instances, written %v later", size, at), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					os := newOlderStore(size)
					defer os.fleet.stop()
					began := time.Now()
					os.fleet.store.silence()
					for _, nd := range os.fleet.live() {
						nd.partitioned.Store(true)
					}
					time.AfterFunc(silentLinkTime, func() {
						for _, nd := range os.fleet.live() {
							nd.partitioned.Store(false)
						}
					})
					time.Sleep(at)
					os.configure()
					written := time.Now()
					os.awaitRevision(os.revision, 4*appliedWithin)
					allowed := max(written.Add(appliedWithin).Sub(began), inTouchAfter)
					must.LessEq(t, allowed, time.Since(began))
				})
			})
		}
	}
}
