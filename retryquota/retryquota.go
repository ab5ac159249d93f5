package retryquota

import "time"

// Config is the retry budget of the fleet for one pool. In any Window, all instances together may make as many retries as
// Ratio times the pool's requests in that Window, plus Extra.
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

// extraFraction is the fraction of Config.Extra that is divided equally among the live instances. The rest is a margin:
// each instance learns with a delay how many are live, so that the shares taken may add up to more than this fraction.
const extraFraction = 0.7

// New returns a quota with no requests and no retries.
func New(config Config) *Quota {
	return &Quota{config: config}
}

// RecordRequest counts a request of the pool.
func (qu *Quota) RecordRequest(now time.Time) {
	qu.requests = append(qu.dropExpired(now, qu.requests), now)
}

// Remaining returns how many retries this instance may still make at now, or 0 or less if none is left. Its share of the
// budget is Ratio times its own requests in the window, plus extraFraction*Extra divided by the number of live instances;
// the retries that it made in the window are subtracted.
func (qu *Quota) Remaining(now time.Time, live int) int {
	qu.requests, qu.retries = qu.dropExpired(now, qu.requests), qu.dropExpired(now, qu.retries)
	share := qu.config.Ratio*float64(len(qu.requests)) + extraFraction*float64(qu.config.Extra)/float64(max(live, 1))
	return int(share) - len(qu.retries)
}

// Spend counts one retry and returns true, or returns false if none is left.
func (qu *Quota) Spend(now time.Time, live int) bool {
	if qu.Remaining(now, live) < 1 {
		return false
	}
	qu.retries = append(qu.retries, now)
	return true
}

// Refund takes back the last retry that was counted, which was not sent.
func (qu *Quota) Refund() {
	if last := len(qu.retries) - 1; last >= 0 {
		qu.retries = qu.retries[:last]
	}
}

// dropExpired removes the times that have left the window.
func (qu *Quota) dropExpired(now time.Time, times []time.Time) []time.Time {
	keep := 0
	for keep < len(times) && now.Sub(times[keep]) >= qu.config.Window {
		keep++
	}
	return times[keep:]
}
