package inflight_test

import (
	"sync"
	"testing"

	"github.com/turmericdoor/turmericdoor/inflight"
)

// rounds is how many calls and waits each goroutine makes.
const rounds = 4000

// TestWaitDuringNewCalls: an instance leaves while its heartbeats continue. A sync.WaitGroup panics if it is reused before
// all calls of Wait have returned.
func TestWaitDuringNewCalls(*testing.T) {
	inFlight := &inflight.Group{}
	group := sync.WaitGroup{}
	for range 64 {
		group.Go(func() {
			for range rounds {
				inFlight.Go(func() {})
			}
		})
		group.Go(func() {
			for range rounds {
				inFlight.Wait()
			}
		})
	}
	group.Wait()
	inFlight.Wait()
}
