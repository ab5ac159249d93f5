package gather_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gather"
)

func (fk *fakes) IsPoolEvacuated(name string) bool {
	fk.mu.Lock()
	evacuated := len(fk.evacuated) > 0
	fk.mu.Unlock()
	return evacuated && len(fk.Upstreams(name, "")) == 0
}

// setEvacuated evacuates failure domains, or ends that.
func (fk *fakes) setEvacuated(evacuated bool, domains ...string) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	for _, domain := range domains {
		fk.evacuated[domain] = evacuated
	}
}

// callsAfter returns the calls to upstreams of failure domain a after a time.
func (fk *fakes) callsAfter(at time.Time) []call {
	list := []call{}
	for _, each := range fk.madeCalls() {
		if each.at.After(at) && each.upstream[:1] == "a" {
			list = append(list, each)
		}
	}
	return list
}

// submit submits a job in failure domain a.
func submit(ctx context.Context, fl *fleet, count int) <-chan gather.Result {
	result := make(chan gather.Result, 1)
	go func() { result <- fl.clients["a-1"].Run(ctx, "a", newJob("r", count)) }()
	return result
}

// TestEvacuatedQueue guards against items and freed results that reach an upstream after its failure domain was evacuated.
func TestEvacuatedQueue(t *testing.T) {
	t.Run("queued items are submitted in another failure domain", func(t *testing.T) {
		runFleet(t, []string{"a-1", "b-1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			result := submit(ctx, fl, 40)
			time.Sleep(100 * time.Millisecond)
			fk.setEvacuated(true, "a")
			at := time.Now()
			_, is := (<-result).(gather.Finished)
			must.True(t, is)
			must.SliceEmpty(t, fk.callsAfter(at))
		})
	})
	t.Run("a call that waits for its permit is not made", func(t *testing.T) {
		runFleet(t, []string{"a-1", "b-1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.duringAcquire = func() { fk.setEvacuated(true, "a") }
			_, is := (<-submit(ctx, fl, 2)).(gather.Finished)
			must.True(t, is)
			must.SliceEmpty(t, fk.callsAfter(time.Time{}))
		})
	})
	t.Run("items in flight end normally, and their results are not freed", func(t *testing.T) {
		runFleet(t, []string{"a-1", "b-1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			result := submit(ctx, fl, 2)
			time.Sleep(100 * time.Millisecond)
			fk.setEvacuated(true, "a")
			finished, is := (<-result).(gather.Finished)
			must.True(t, is)
			must.Eq(t, "a", finished.Results[0].FailureDomain)
			fl.clients["a-1"].Release(ctx, "p", "a", []string{finished.Results[0].Handle, finished.Results[1].Handle})
			time.Sleep(500 * time.Millisecond)
			must.SliceEmpty(t, fk.freedHandles())
		})
	})
	t.Run("they are returned at once if all failure domains are evacuated", func(t *testing.T) {
		runFleet(t, []string{"a-1", "b-1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			result := submit(ctx, fl, 40)
			time.Sleep(100 * time.Millisecond)
			fk.setEvacuated(true, "a", "b")
			at := time.Now()
			unfinished, is := (<-result).(gather.Unfinished)
			must.True(t, is)
			must.Eq(t, "no usable upstream", unfinished.Cause)
			must.LessEq(t, time.Second, time.Since(at))
			must.SliceEmpty(t, fk.callsAfter(at))
		})
	})
}

// TestQueueAfterAnEvacuation guards against a failure domain whose queue is not used again.
func TestQueueAfterAnEvacuation(t *testing.T) {
	t.Run("the failure domain is used again", func(t *testing.T) {
		runFleet(t, []string{"a-1", "b-1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.setEvacuated(true, "a")
			_, is := (<-submit(ctx, fl, 2)).(gather.Finished)
			must.True(t, is)
			must.SliceEmpty(t, fk.callsAfter(time.Time{}))
			fk.setEvacuated(false, "a")
			time.Sleep(time.Second)
			_, is = (<-submit(ctx, fl, 2)).(gather.Finished)
			must.True(t, is)
			must.SliceLen(t, 1, fk.callsAfter(time.Time{}))
		})
	})
}
