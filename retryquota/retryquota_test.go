package retryquota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/retryquota"
)

// TestFleetBudget: answers are lost on all instances at once. Each request is retried as often as the instance's quota
// allows, and the fleet must stay within its retry budget in every window.
func TestFleetBudget(t *testing.T) {
	config := retryquota.Config{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	for _, live := range []int{1, 3, 8, 77} {
		fleet := make([]*retryquota.Quota, live)
		for index := range fleet {
			fleet[index] = retryquota.New(config)
		}
		now := time.Unix(0, 0)
		requests, retries := []time.Time{}, []time.Time{}
		for step := range 4000 {
			now = now.Add(10 * time.Millisecond)
			qu := fleet[step*7%live]
			qu.RecordRequest(now)
			requests = append(requests, now)
			for qu.Spend(now, live) {
				retries = append(retries, now)
			}
			must.LessEq(t, config.Ratio*float64(within(requests, now, config.Window))+float64(config.Extra), float64(within(retries, now, config.Window)))
		}
	}
}

// within returns how many of the times are in the window that ends now.
func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

func TestSpentRetriesReturnAfterWindow(t *testing.T) {
	qu := retryquota.New(retryquota.Config{Extra: 10, Window: time.Second})
	now := time.Unix(0, 0)
	for qu.Spend(now, 1) {
		continue
	}
	must.False(t, qu.Spend(now.Add(900*time.Millisecond), 1))
	must.True(t, qu.Spend(now.Add(time.Second), 1))
}
