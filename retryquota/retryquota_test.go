package retryquota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/retryquota"
)

// TestFleetBudget replays answers that are lost at once on all instances: each request is sent again as often as the
// instance's part allows, and the fleet must stay within its terms in every window.
func TestFleetBudget(t *testing.T) {
	terms := retryquota.Config{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	for _, live := range []int{1, 3, 8, 77} {
		fleet := make([]*retryquota.Quota, live)
		for at := range fleet {
			fleet[at] = retryquota.New(terms)
		}
		now := time.Unix(0, 0)
		requests, repeats := []time.Time{}, []time.Time{}
		for step := range 4000 {
			now = now.Add(10 * time.Millisecond)
			al := fleet[step*7%live]
			al.RecordRequest(now)
			requests = append(requests, now)
			for al.Spend(now, live) {
				repeats = append(repeats, now)
			}
			must.LessEq(t, terms.Ratio*float64(within(requests, now, terms.Window))+float64(terms.Extra), float64(within(repeats, now, terms.Window)))
		}
	}
}

// within counts the times in the window that ends now.
func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

func TestSpentComesBack(t *testing.T) {
	al := retryquota.New(retryquota.Config{Extra: 10, Window: time.Second})
	now := time.Unix(0, 0)
	for al.Spend(now, 1) {
		continue
	}
	must.False(t, al.Spend(now.Add(900*time.Millisecond), 1))
	must.True(t, al.Spend(now.Add(time.Second), 1))
}
