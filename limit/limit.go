package limit

import "time"

// Policy is the way a limit is determined. It is sealed: its variants are Divided and Adaptive.
type Policy interface {
	policy()
}

// Divided sets the limit to the upstream's slots divided by the number of live instances, and to at least one.
type Divided struct{}

func (Divided) policy() {}

// Adaptive starts like Divided and adjusts the limit by additive increase and multiplicative decrease: a call that
// waited in the upstream or was refused decreases the limit, to at least one, and a call that did not wait while the
// limit was fully used increases it, to at most the upstream's slots.
type Adaptive struct{}

func (Adaptive) policy() {}

// Sample is the measurement of one finished call.
type Sample struct {
	// InFlight is the number of calls in flight, this one included.
	InFlight int64
	// Waited is the time that the call waited inside the upstream.
	Waited  time.Duration
	Service time.Duration
	// Refused is set if the upstream refused the call for lack of capacity.
	Refused bool
}

// Limiter holds the limit on this instance's calls in flight on one upstream; it is not safe for concurrent use.
type Limiter struct {
	policy        Policy
	slots         float64
	liveInstances float64
	current       float64
	lastDecrease  time.Time
}

// New returns a limiter for an upstream whose slots are shared by liveInstances instances.
func New(policy Policy, slots int64, liveInstances int) *Limiter {
	lm := &Limiter{policy: policy, slots: float64(max(slots, 1)), liveInstances: float64(max(liveInstances, 1))}
	lm.current = lm.equalShare()
	return lm
}

// equalShare returns the slots divided by the number of live instances, and at least 1.
func (lm *Limiter) equalShare() float64 {
	return max(lm.slots/lm.liveInstances, 1)
}

// SetLiveInstances sets the number of live instances, this one included. It changes the current limit only under
// the policy Divided.
func (lm *Limiter) SetLiveInstances(liveInstances int) {
	lm.liveInstances = float64(max(liveInstances, 1))
	switch lm.policy.(type) {
	case Divided:
		lm.current = lm.equalShare()
	case Adaptive:
		lm.current = min(lm.current, lm.slots)
	}
}

// Current returns the number of calls that may be in flight.
func (lm *Limiter) Current() int64 {
	return int64(lm.current)
}

const (
	// decreaseFactor multiplies the limit when a call waited in the upstream.
	decreaseFactor = 0.8
	// refusedFactor multiplies the limit when the upstream refused a call.
	refusedFactor = 0.5
	// maxWaitFraction is the fraction of the service time that a call may wait without decreasing the limit.
	maxWaitFraction = 0.25
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
	waitedLong := float64(sample.Waited) > maxWaitFraction*float64(sample.Service)
	if !sample.Refused && !waitedLong {
		lm.increase(sample)
		return
	}
	// Decrease at most once per service time: the calls in flight at that time report the same congestion.
	if now.Sub(lm.lastDecrease) < sample.Service {
		return
	}
	lm.lastDecrease = now
	factor := decreaseFactor
	if sample.Refused {
		factor = refusedFactor
	}
	lm.current = max(lm.current*factor, 1)
}

// increase raises the limit by 1/limit, and so by about 1 after as many calls as the limit, up to the upstream's slots. It
// does so only if the limit was fully used, for which limit-1 calls in flight suffice.
func (lm *Limiter) increase(sample Sample) {
	if float64(sample.InFlight) < lm.current-1 {
		return
	}
	lm.current = min(lm.current+1/lm.current, lm.slots)
}
