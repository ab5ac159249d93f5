package soak_test

import (
	"context"
	"fmt"
	"time"
)

const (
	// An upstream that starts again is cold for coldTime and then accepts coldPerSecond; coldOverage and coldSlack are the settings' bounds.
	coldTime      = 3 * time.Second
	coldPerSecond = 2.0
	coldOverage   = 1.5
	coldSlack     = 5.0
	// coldInterval is the time between two cold starts of an upstream, so that it is warm in between.
	coldInterval = coldTime + 3*time.Second
)

// coldUpstreams are the upstreams that start again cold, one in each failure domain. Both have no other limit and do not leave.
var coldUpstreams = []string{"plain-3", "model-2"}

// startCold ends the cold upstreams again and again; they return cold.
func (fl *fleet) startCold(ctx context.Context, seed uint64) {
	random := seededRandom(seed, "cold")
	for sleepFor(ctx, 3*time.Second); ctx.Err() == nil; sleepFor(ctx, coldInterval) {
		for _, id := range coldUpstreams {
			sleepFor(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
			us := fl.upstreams[id]
			us.born.Add(1)
			// One that is away already registers at its own time, and says then how long it is cold.
			if back := time.Now().Add(crashLength); us.crash() {
				us.coldFrom.Store(back.UnixNano())
			}
		}
	}
}

// coldLeft returns how long the upstream is still cold, at most coldTime.
func (us *upstream) coldLeft() time.Duration {
	end := time.Unix(0, us.coldFrom.Load()).Add(coldTime)
	return max(min(time.Until(end), coldTime), 0)
}

// checkCold checks that a cold upstream gets no more requests in a second than the bounds allow, whatever the faults of the instances.
func (us *upstream) checkCold() {
	if left := us.coldLeft(); left == 0 || left == coldTime {
		return
	}
	lg, now := us.ledger, time.Now()
	lg.mu.Lock()
	recent := []time.Time{}
	for _, at := range append(lg.cold[us.id], now) {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	lg.cold[us.id] = recent
	lg.coldMost[us.id] = max(lg.coldMost[us.id], len(recent))
	lg.mu.Unlock()
	if allowed := coldPerSecond*coldOverage + coldSlack; float64(len(recent)) > allowed {
		lg.violation("cold upstream "+us.id+" got too many requests in a second: %s", fmt.Sprintf("%d, allowed %v, %v before it is warm", len(recent), allowed, us.coldLeft()))
	}
}
