package retryquota

import "time"

// Config are the fleet's budget: in any Window, a pool may get Ratio times its requests, and Extra more, in
// repeated sends.
type Config struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Quota is one instance's part of the budget for one pool; it is not safe for concurrent use.
type Quota struct {
	terms    Config
	requests []time.Time
	repeats  []time.Time
}

// extraUsed is the part of Extra that instances share out: they count each other with a delay.
const extraUsed = 0.7

// New returns an allowance of which nothing is spent.
func New(terms Config) *Quota {
	return &Quota{terms: terms}
}

// RecordRequest books a request of the pool.
func (al *Quota) RecordRequest(now time.Time) {
	al.requests = append(al.drop(now, al.requests), now)
}

// Remaining returns how many repeated sends remain at this moment when live instances share the budget.
func (al *Quota) Remaining(now time.Time, live int) int {
	al.requests, al.repeats = al.drop(now, al.requests), al.drop(now, al.repeats)
	own := al.terms.Ratio*float64(len(al.requests)) + extraUsed*float64(al.terms.Extra)/float64(max(live, 1))
	return int(own) - len(al.repeats)
}

// Spend takes one repeated send out of the budget and reports whether there was one.
func (al *Quota) Spend(now time.Time, live int) bool {
	if al.Remaining(now, live) < 1 {
		return false
	}
	al.repeats = append(al.repeats, now)
	return true
}

// drop removes what is older than the window.
func (al *Quota) drop(now time.Time, times []time.Time) []time.Time {
	keep := 0
	for keep < len(times) && now.Sub(times[keep]) >= al.terms.Window {
		keep++
	}
	return times[keep:]
}
