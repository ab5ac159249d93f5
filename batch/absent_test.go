package batch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/batch"
)

// TestUpstreamThatIsListedAgain guards against more calls or results than an upstream can take, because those that it had before it was removed, as
// by an evacuation, are no longer counted.
func TestUpstreamThatIsListedAgain(t *testing.T) {
	leaveOut := func(scheduler *batch.Scheduler, meanwhile func()) {
		scheduler.SetUpstreams(nil)
		meanwhile()
		scheduler.SetUpstreams([]batch.Upstream{{Name: "a"}})
	}
	t.Run("its calls in flight count", func(t *testing.T) {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 1, 10)
		first := sends(scheduler.Step(start, 0))[0]
		submit(scheduler, 2, 1, 10)
		leaveOut(scheduler, func() { must.SliceEmpty(t, sends(scheduler.Step(start, 0))) })
		must.SliceEmpty(t, sends(scheduler.Step(start, 0)))
		scheduler.CallEnded(start, batch.CallResult{CallID: first.CallID, Results: results(first, "1")})
		must.SliceLen(t, 1, sends(scheduler.Step(start, 0)))
	})
	full := func() (*batch.Scheduler, batch.Send) {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 8, 3e6)
		first := sends(scheduler.Step(start, 0))[0]
		must.SliceLen(t, 8, first.Items)
		return scheduler, first
	}
	handles := []string{"1", "2", "3", "4", "5", "6", "7", "8"}
	t.Run("its results count, also those of a call that ended meanwhile, until they are released", func(t *testing.T) {
		scheduler, first := full()
		leaveOut(scheduler, func() {
			scheduler.CallEnded(start, batch.CallResult{CallID: first.CallID, Results: results(first, handles...)})
			scheduler.Step(start, 0)
		})
		submit(scheduler, 2, 8, 3e6)
		must.SliceEmpty(t, sends(scheduler.Step(start, 0)))
		leaveOut(scheduler, func() {
			for _, handle := range handles {
				scheduler.ResultReleased(start, handle)
			}
		})
		must.SliceLen(t, 8, sends(scheduler.Step(start, 0))[0].Items)
	})
	t.Run("its results are forgotten after their time", func(t *testing.T) {
		scheduler, first := full()
		later := start.Add(time.Minute)
		leaveOut(scheduler, func() {
			scheduler.CallEnded(start, batch.CallResult{CallID: first.CallID, Results: results(first, handles...)})
			scheduler.Step(later, 0)
		})
		scheduler.Submit(batch.Group{ID: 2, Count: 8, Due: later.Add(time.Second), Expires: later.Add(4 * time.Second), ResultBytes: 3e6})
		must.SliceLen(t, 8, sends(scheduler.Step(later, 0))[0].Items)
	})
}
