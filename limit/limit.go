package limit

import "time"

// Policy is how a limit is found; Divided and Adaptive are its variants.
type Policy interface {
	policy()
}

// Divided gives each live instance an equal part of the upstream's slots, and at least one.
type Divided struct{}

func (Divided) policy() {}

// Adaptive starts at an equal part and follows the upstream's answers: a call that had to wait there
// shrinks the limit, a full limit without waiting grows it.
type Adaptive struct{}

func (Adaptive) policy() {}

// Sample is what one finished call tells; Waited is the time the call spent waiting in the upstream, and
// Refused says that the upstream had no room.
type Sample struct {
	InFlight int64
	Waited   time.Duration
	Service  time.Duration
	Refused  bool
}

// Limiter is the limit on one upstream; it is not safe for concurrent use.
type Limiter struct {
	policy  Policy
	slots   float64
	peers   float64
	current float64
	shrunk  time.Time
}

// New returns a limiter for an upstream with that many slots, shared by that many live instances.
func New(policy Policy, slots int64, peers int) *Limiter {
	lm := &Limiter{policy: policy, slots: float64(max(slots, 1)), peers: float64(max(peers, 1))}
	lm.current = lm.part()
	return lm
}

// part is the equal part of the slots.
func (lm *Limiter) part() float64 {
	return max(lm.slots/lm.peers, 1)
}

// SetLiveInstances takes note of the number of live instances, this one included.
func (lm *Limiter) SetLiveInstances(peers int) {
	lm.peers = float64(max(peers, 1))
	switch lm.policy.(type) {
	case Divided:
		lm.current = lm.part()
	case Adaptive:
		lm.current = min(lm.current, lm.slots)
	}
}

// Current returns the number of calls that may be in flight.
func (lm *Limiter) Current() int64 {
	return int64(lm.current)
}

const (
	// shrinkFactor is applied when a call had to wait in the upstream.
	shrinkFactor = 0.8
	// refusedFactor is applied when the upstream had no room.
	refusedFactor = 0.5
	// waitShare is the part of the service time that a call may wait before the limit shrinks.
	waitShare = 0.25
)

// Observe adjusts the limit to one finished call.
func (lm *Limiter) Observe(now time.Time, sample Sample) {
	switch lm.policy.(type) {
	case Divided:
		return
	case Adaptive:
		lm.adapt(now, sample)
	}
}

func (lm *Limiter) adapt(now time.Time, sample Sample) {
	waited := float64(sample.Waited) > waitShare*float64(sample.Service)
	if !sample.Refused && !waited {
		lm.grow(sample)
		return
	}
	// One shrink a service time: the calls that are in flight report the same congestion.
	if now.Sub(lm.shrunk) < sample.Service {
		return
	}
	lm.shrunk = now
	factor := shrinkFactor
	if sample.Refused {
		factor = refusedFactor
	}
	lm.current = max(lm.current*factor, 1)
}

// grow adds about one for each full limit of calls that were answered without waiting.
func (lm *Limiter) grow(sample Sample) {
	if float64(sample.InFlight) < lm.current-1 {
		return
	}
	lm.current = min(lm.current+1/lm.current, lm.slots)
}
