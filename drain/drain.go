package drain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/timer"
)

// Phase is how far an instance has come in stopping.
type Phase int32

// The phases: before the first document, at work, still serving but no longer ready, and no longer serving.
const (
	Starting Phase = iota
	Serving
	Draining
	Closed
)

// String returns the phase's name.
func (ph Phase) String() string {
	return [...]string{"Starting", "Serving", "Stopping", "Closed"}[ph]
}

// Gate is passed by each request; it is safe for concurrent use.
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

// Advance moves to a later phase; it never goes back.
func (gt *Gate) Advance(to Phase) {
	for {
		now := gt.phase.Load()
		if int32(to) <= now || gt.phase.CompareAndSwap(now, int32(to)) {
			return
		}
	}
}

// Enter lets a request in and reports whether it may be served; Leave must follow if it may. A request that
// comes while the instance is stopping is still served: its balancer has not noticed yet.
func (gt *Gate) Enter() bool {
	gt.inFlight.Add(1)
	if phase := gt.Phase(); phase == Serving || phase == Draining {
		return true
	}
	gt.inFlight.Add(-1)
	return false
}

// Leave books the end of a request.
func (gt *Gate) Leave() {
	gt.inFlight.Add(-1)
}

// InFlight returns how many requests are being served.
func (gt *Gate) InFlight() int64 {
	return gt.inFlight.Load()
}

// pollInterval is how often Wait looks.
const pollInterval = 5 * time.Millisecond

// Wait returns once nothing is in flight, or with the context's error.
func (gt *Gate) Wait(ctx context.Context, timers *timer.Service) error {
	for gt.InFlight() > 0 {
		if err := timers.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}
