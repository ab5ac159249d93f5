package drain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/timer"
)

// Phase is a phase in the life of an instance.
type Phase int32

// The phases, in the order in which an instance goes through them.
const (
	// Starting is the phase before the first document is installed; requests are refused.
	Starting Phase = iota
	// Serving is the phase in which the instance is ready and serves requests.
	Serving
	// Draining is the phase in which the instance is not ready but still serves requests.
	Draining
	// Closed is the phase in which new requests are refused.
	Closed
)

// String returns the phase's name; the name of Draining is "Stopping".
func (ph Phase) String() string {
	return [...]string{"Starting", "Serving", "Stopping", "Closed"}[ph]
}

// Gate admits requests by phase and counts those in flight; it is safe for concurrent use.
type Gate struct {
	phase    atomic.Int32
	inFlight atomic.Int64
}

// New returns a gate in phase Starting.
func New() *Gate {
	return &Gate{}
}

// Phase returns the current phase.
func (gt *Gate) Phase() Phase {
	return Phase(gt.phase.Load())
}

// Advance changes to a later phase; it does nothing if that phase or a later one has been reached.
func (gt *Gate) Advance(to Phase) {
	for {
		current := gt.phase.Load()
		if int32(to) <= current || gt.phase.CompareAndSwap(current, int32(to)) {
			return
		}
	}
}

// Enter counts a request and reports whether it may be served; if so, Leave must be called when it ends. Requests are
// still served while draining, since load balancers need time to notice that the instance is not ready.
func (gt *Gate) Enter() bool {
	gt.inFlight.Add(1)
	if phase := gt.Phase(); phase == Serving || phase == Draining {
		return true
	}
	gt.inFlight.Add(-1)
	return false
}

// Leave records the end of a request.
func (gt *Gate) Leave() {
	gt.inFlight.Add(-1)
}

// InFlight returns the number of requests in flight.
func (gt *Gate) InFlight() int64 {
	return gt.inFlight.Load()
}

// pollInterval is the interval at which Wait checks the number of requests in flight.
const pollInterval = 5 * time.Millisecond

// Wait returns nil once no request is in flight, or the context's error if ctx ends first.
func (gt *Gate) Wait(ctx context.Context, timers *timer.Service) error {
	for gt.InFlight() > 0 {
		if err := timers.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}
