package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/limit"
)

var start = time.Unix(1000, 0)

// observe passes count equal samples to the limiter, 10 ms apart, with the limit fully used.
func observe(lm *limit.Limiter, count int, sample limit.Sample) {
	for at := range count {
		sample.InFlight = lm.Current()
		lm.Observe(start.Add(time.Duration(at)*10*time.Millisecond), sample)
	}
}

func TestDivided(t *testing.T) {
	lm := limit.New(limit.Divided{}, 8, 4)
	must.Eq(t, 2, lm.Current())
	lm.SetLiveInstances(2)
	must.Eq(t, 4, lm.Current())
	lm.SetLiveInstances(100)
	must.Eq(t, 1, lm.Current())
}

func TestAdaptive(t *testing.T) {
	quick := limit.Sample{Service: 10 * time.Millisecond}
	t.Run("increases up to the number of slots while no call waits", func(t *testing.T) {
		lm := limit.New(limit.Adaptive{}, 8, 8)
		observe(lm, 100, quick)
		must.Eq(t, 8, lm.Current())
	})
	t.Run("decreases while calls wait, but not below one", func(t *testing.T) {
		lm := limit.New(limit.Adaptive{}, 8, 1)
		observe(lm, 100, limit.Sample{Service: 10 * time.Millisecond, Waited: 10 * time.Millisecond})
		must.Eq(t, 1, lm.Current())
	})
	t.Run("does not increase unless fully used", func(t *testing.T) {
		lm := limit.New(limit.Adaptive{}, 8, 4)
		lm.Observe(start, quick)
		must.Eq(t, 2, lm.Current())
	})
}
