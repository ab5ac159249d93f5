package retryquota

import "time"

// Config is the retry budget of the fleet: in any Window, a pool may get as many retries as Ratio times its requests, plus
// Extra.
type Config struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Quota is one instance's share of the retry budget of one pool; it is not safe for concurrent use.
type Quota struct {
	config   Config
	requests []time.Time
	retries  []time.Time
}

// extraFraction is the fraction of Extra that the instances share. The rest is a margin: each instance learns with a delay
// how many others are live, so that the shares may add up to more.
const extraFraction = 0.7

// New returns a quota with no requests and no retries.
func New(config Config) *Quota {
	return &Quota{config: config}
}

// RecordRequest counts a request of the pool.
func (qu *Quota) RecordRequest(now time.Time) {
	qu.requests = append(qu.dropExpired(now, qu.requests), now)
}

// Remaining returns how many retries are left at a time if live instances share the budget.
func (qu *Quota) Remaining(now time.Time, live int) int {
	qu.requests, qu.retries = qu.dropExpired(now, qu.requests), qu.dropExpired(now, qu.retries)
	share := qu.config.Ratio*float64(len(qu.requests)) + extraFraction*float64(qu.config.Extra)/float64(max(live, 1))
	return int(share) - len(qu.retries)
}

// Spend counts one retry, or returns false if none is left.
func (qu *Quota) Spend(now time.Time, live int) bool {
	if qu.Remaining(now, live) < 1 {
		return false
	}
	qu.retries = append(qu.retries, now)
	return true
}

// dropExpired removes the times that have left the window.
func (qu *Quota) dropExpired(now time.Time, times []time.Time) []time.Time {
	keep := 0
	for keep < len(times) && now.Sub(times[keep]) >= qu.config.Window {
		keep++
	}
	return times[keep:]
}
