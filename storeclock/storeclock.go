package storeclock

import (
	"sync"
	"time"
)

// Clock estimates the local time at which the store's clock had a reading. It is safe for concurrent use.
type Clock struct {
	mu    sync.Mutex
	known bool
	// origin is the estimated local time at which the store's clock read zero: that of the answer which took the least time.
	origin time.Time
	// newest is the highest reading since the store's clock last went back, and newestAt is when it arrived.
	newest   time.Duration
	newestAt time.Time
}

const (
	// backTolerance is how far a reading may be behind an earlier one: answers on different connections overtake each other.
	backTolerance = time.Second
	// aheadTolerance is how far the estimate of a reading may be in the future.
	aheadTolerance = 250 * time.Millisecond
	// stuckAfter is how long a clock may show the same reading: one that stands still says nothing.
	stuckAfter = 2 * time.Second
	// driftShare is the share of the difference by which a slower answer moves the origin, so that it follows the drift of clocks.
	driftShare = 32
)

// New returns a clock without an estimate.
func New() *Clock {
	return &Clock{}
}

// Observe records a reading in an answer of the store that arrived at a time. Only this instance's own answers count: those of
// others may be from before the store's clock went back.
func (cl *Clock) Observe(at time.Time, reading time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	origin := at.Add(-reading)
	switch {
	case reading <= cl.newest && reading >= cl.newest-backTolerance && at.Sub(cl.newestAt) > stuckAfter:
		cl.known = false
		return
	case !cl.known || reading < cl.newest-backTolerance:
		cl.known, cl.origin, cl.newest, cl.newestAt = true, origin, reading, at
	case origin.Before(cl.origin):
		cl.origin = origin
	default:
		cl.origin = cl.origin.Add(origin.Sub(cl.origin) / driftShare)
	}
	if reading > cl.newest {
		cl.newest, cl.newestAt = reading, at
	}
}

// Local returns the latest local time at which the store's clock can have had a reading, at most now. It returns false if that is
// unknown, as before the first answer and after one of the clocks has been set anew.
func (cl *Clock) Local(now time.Time, reading time.Duration) (time.Time, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	at := cl.origin.Add(reading)
	if !cl.known || at.Sub(now) > aheadTolerance {
		return time.Time{}, false
	}
	if at.After(now) {
		at = now
	}
	return at, true
}

// IsKnown reports whether there is an estimate.
func (cl *Clock) IsKnown() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.known
}

// Reading returns the estimated reading of the store's clock at a local time, or 0 if it is unknown.
func (cl *Clock) Reading(at time.Time) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.known || at.Before(cl.origin) {
		return 0
	}
	return at.Sub(cl.origin)
}
