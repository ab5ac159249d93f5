package permit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/permit"
	"github.com/turmericdoor/turmericdoor/roster"
)

var (
	start = time.Unix(1000, 0)
	up    = roster.Incarnation{ID: "u", StartUnixMs: 7}
)

// issue asks for a permit each step of time until the end and returns when the permitted requests are sent.
func issue(ld *permit.Ledger, perSecond, share float64, maxWait, step, length time.Duration) []time.Time {
	times := []time.Time{}
	for at := start; at.Before(start.Add(length)); at = at.Add(step) {
		if granted, is := ld.Take(at, up, perSecond, share, maxWait).(permit.Granted); is {
			times = append(times, at.Add(granted.Wait))
		}
	}
	return times
}

// most returns the largest number of times within a window.
func most(times []time.Time, window time.Duration) int {
	largest := 0
	for first := range times {
		count := 0
		for _, at := range times[first:] {
			if at.Sub(times[first]) < window {
				count++
			}
		}
		largest = max(largest, count)
	}
	return largest
}

// TestBurst replays many more requests than an upstream accepts.
func TestBurst(t *testing.T) {
	for _, perSecond := range []float64{0.4, 1, 2.5, 10, 100} {
		for _, maxWait := range []time.Duration{0, time.Second} {
			times := issue(permit.New(), perSecond, 1, maxWait, time.Millisecond, 20*time.Second)
			must.LessEq(t, int(4.5*perSecond)+1, most(times, 4*time.Second), must.Sprintf("%v a second, wait %v", perSecond, maxWait))
			must.GreaterEq(t, int(18*perSecond), len(times), must.Sprintf("%v a second, wait %v", perSecond, maxWait))
		}
	}
}

func TestTake(t *testing.T) {
	t.Run("the first permit of a new owner comes after one interval", func(t *testing.T) {
		must.Eq(t, permit.Decision(permit.Denied{Wait: time.Second}), permit.New().Take(start, up, 1, 1, 0))
	})
	t.Run("a request may wait for its permit, and the next one waits behind it", func(t *testing.T) {
		ld := permit.New()
		must.Eq(t, permit.Decision(permit.Granted{Number: 1, Wait: time.Second}), ld.Take(start, up, 1, 1, time.Second))
		must.Eq(t, permit.Decision(permit.Denied{Wait: 2 * time.Second}), ld.Take(start, up, 1, 1, time.Second))
	})
	t.Run("a smaller share halves the rate", func(t *testing.T) {
		must.Between(t, 9, len(issue(permit.New(), 1, 0.5, 0, 10*time.Millisecond, 20*time.Second)), 10)
	})
	t.Run("a limit of zero allows a request now and then, whose answer shows its end", func(t *testing.T) {
		must.Between(t, 3, len(issue(permit.New(), 0, 1, 0, 10*time.Millisecond, 20*time.Second)), 4)
	})
	t.Run("after the limit has risen the next permit does not wait for the old interval", func(t *testing.T) {
		ld := permit.New()
		ld.Take(start, up, 0.2, 1, time.Minute)
		ld.Changed(start, up, 10)
		must.Eq(t, permit.Decision(permit.Denied{Wait: 100 * time.Millisecond}), ld.Take(start, up, 10, 1, 0))
	})
	t.Run("upstreams that are no longer listed are forgotten", func(t *testing.T) {
		ld := permit.New()
		ld.Take(start, up, 1, 1, time.Second)
		ld.Prune(func(roster.Incarnation) bool { return false })
		must.Eq(t, permit.Decision(permit.Denied{Wait: time.Second}), ld.Take(start, up, 1, 1, 0))
	})
}

// TestAnswersOvertake guards against an answer to an old request that undoes a change of the limit.
func TestAnswersOvertake(t *testing.T) {
	ld := permit.New()
	must.False(t, ld.IsNewer(up, 1), must.Sprint("no permit was issued"))
	ld.Take(start, up, 1, 1, time.Minute)
	must.True(t, ld.IsNewer(up, 1))
	ld.Changed(start, up, 5)
	must.False(t, ld.IsNewer(up, 1), must.Sprint("the permit is older than the change"))
	ld.Take(start, up, 5, 1, time.Minute)
	must.True(t, ld.IsNewer(up, 2))
}

// TestColdUpstreams guards against more requests in one second than cold upstreams bear, 1.5 times their rate and 5 more, also where
// another owner takes over halfway, and against a rate that is not used.
func TestColdUpstreams(t *testing.T) {
	const perSecond, length, step = 9.2, 3 * time.Second, 5 * time.Millisecond
	for _, maxWait := range []time.Duration{0, time.Second} {
		for _, changes := range []bool{false, true} {
			ld, times := permit.New(), map[roster.Incarnation][]time.Time{}
			for at := start; at.Before(start.Add(length)); at = at.Add(step) {
				if changes && at.Equal(start.Add(length/2)) {
					ld = permit.New()
				}
				for number := range 35 {
					incarnation := roster.Incarnation{ID: fmt.Sprint("u", number)}
					if granted, is := ld.Take(at, incarnation, perSecond, 1, maxWait).(permit.Granted); is {
						times[incarnation] = append(times[incarnation], at.Add(granted.Wait))
					}
				}
			}
			must.MapLen(t, 35, times)
			for _, each := range times {
				slices.SortFunc(each, time.Time.Compare)
				must.LessEq(t, 18, most(each, time.Second), must.Sprintf("wait %v, owner changes %t", maxWait, changes))
				must.GreaterEq(t, int(0.8*perSecond*length.Seconds()), len(each), must.Sprintf("wait %v, owner changes %t", maxWait, changes))
			}
		}
	}
}
