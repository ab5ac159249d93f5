package gather_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
)

// limit uses up the rate limits of upstreams for a time.
func (fk *fakes) limit(length time.Duration, ids ...string) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	for _, id := range ids {
		fk.limitedUntil[id] = time.Now().Add(length)
	}
}

func TestRateLimits(t *testing.T) {
	t.Run("another upstream gets the call that a rate limit does not allow", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.limit(time.Second, "a1")
			assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob("r", 2)), "r", 2)
			must.SliceLen(t, 1, fk.madeCalls())
			must.Eq(t, "a2", fk.madeCalls()[0].upstream)
		})
	})
	t.Run("the other failure domain gets it where all of one are limited", func(t *testing.T) {
		runFleet(t, []string{"a1", "b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.limit(3*time.Second, "a1", "a2")
			began := time.Now()
			assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob("r", 2)), "r", 2)
			must.Eq(t, "b1", fk.madeCalls()[0].upstream)
			must.Less(t, time.Second, time.Since(began))
		})
	})
	t.Run("the call is made once the limit allows it, and its items are not sent again for that", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.limit(300*time.Millisecond, "a1", "a2", "b1")
			fk.budget = 0
			assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob("r", 2)), "r", 2)
			must.Zero(t, fk.budget)
		})
	})
	t.Run("retries that a limit does not allow are not taken from the budget", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.outcome["a1"] = gather.Lost{}
			fk.budget = 2
			fk.limit(time.Second, "a2")
			assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob("r", 2)), "r", 2)
			must.Zero(t, fk.budget)
		})
	})
}

func TestResultsOfALimitedUpstream(t *testing.T) {
	t.Run("results are freed in one call once the limit allows it", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			handles := []string{}
			for _, request := range []string{"r1", "r2", "r3"} {
				finished := fl.clients["a1"].Run(ctx, "a", newJob(request, 1)).(gather.Finished)
				handles = append(handles, finished.Results[0].Handle)
			}
			fk.limit(time.Second, "a1", "a2")
			for _, handle := range handles {
				fl.clients["a1"].Release(ctx, "p", "a", []string{handle})
				time.Sleep(50 * time.Millisecond)
			}
			must.SliceEmpty(t, fk.freedHandles())
			time.Sleep(time.Second)
			must.SliceContainsAll(t, fk.freedHandles(), handles)
		})
	})
	t.Run("results that are released at the same moment are all freed", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(_ context.Context, fl *fleet, fk *fakes) {
			fk.limit(time.Second, "a1", "a2")
			handles := []string{}
			released := sync.WaitGroup{}
			for number := range 512 {
				handle := fmt.Sprintf("%s/%d", fk.upstreams[0].Address, number)
				handles = append(handles, handle)
				released.Go(func() { fl.gatherers["a1"].Release("p", []string{handle}) })
			}
			released.Wait()
			time.Sleep(1100 * time.Millisecond)
			must.SliceContainsAll(t, fk.freedHandles(), handles)
		})
	})
}

// TestStoppedInstanceFreesResultsForever guards against an instance that goes on trying to free the results of a limited upstream
// while it stops: then runFleet, which stops it, does not return.
func TestStoppedInstanceFreesResultsForever(t *testing.T) {
	runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		finished := fl.clients["a1"].Run(ctx, "a", newJob("r", 1)).(gather.Finished)
		fk.limit(time.Hour, "a1", "a2")
		fl.clients["a1"].Release(ctx, "p", "a", []string{finished.Results[0].Handle})
		time.Sleep(50 * time.Millisecond)
	})
}

// Acquire permits every call, unless the rate limit of the upstream is used up.
func (fk *fakes) Acquire(_ context.Context, up *roster.Upstream, _ time.Duration) (func(notice.Notice), error) {
	time.Sleep(time.Millisecond)
	fk.mu.Lock()
	during := fk.duringAcquire
	fk.duringAcquire = nil
	fk.mu.Unlock()
	if during != nil {
		during()
	}
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if left := time.Until(fk.limitedUntil[up.ID]); left > 0 {
		return nil, ratelimit.Exceeded{RetryAfter: left}
	}
	return func(notice.Notice) {}, nil
}

// Limits returns a limit of one call in two seconds for each upstream whose limit was ever used up.
func (fk *fakes) Limits() map[roster.Incarnation]float64 {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	limits := map[roster.Incarnation]float64{}
	for id := range fk.limitedUntil {
		limits[roster.Incarnation{ID: id}] = 0.5
	}
	return limits
}
