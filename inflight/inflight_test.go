package inflight_test

import (
	"sync"
	"testing"

	"github.com/turmericdoor/turmericdoor/inflight"
)

// rounds is how often calls begin beside others that wait.
const rounds = 4000

// TestWaitBesideNewCalls replays an instance that leaves while its heartbeats go on: a sync.WaitGroup panics when it is
// used again before all who wait for it have returned.
func TestWaitBesideNewCalls(*testing.T) {
	under := &inflight.Group{}
	group := sync.WaitGroup{}
	for range 64 {
		group.Go(func() {
			for range rounds {
				under.Go(func() {})
			}
		})
		group.Go(func() {
			for range rounds {
				under.Wait()
			}
		})
	}
	group.Wait()
	under.Wait()
}
