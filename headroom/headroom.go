package headroom

import (
	"math"
	"time"
)

// Register holds the estimates for the upstreams that an instance owns, by their ID; it is not safe for concurrent use.
type Register struct {
	estimates map[string]*estimate
}

// estimate is what is known of one upstream.
type estimate struct {
	// rejections is how many requests the upstream can reject in a second.
	rejections float64
	// perSecond is the estimated rate, or infinite before the first rejection.
	perSecond float64
	// granted and rejected are the requests within window.
	granted, rejected []time.Time
	// rejectedAt is the rate at which the upstream rejected requests last, or 0.
	rejectedAt float64
	// loweredAt and raisedAt are when the rate was last changed.
	loweredAt, raisedAt time.Time
}

const (
	// window is the time over which requests are counted.
	window = time.Second
	// minWindow is the least time over which a rate is taken.
	minWindow = 200 * time.Millisecond
	// acceptedShare is the share of the accepted requests at which the rate is set after a rejection.
	acceptedShare = 0.9
	// settleTime is how long further rejections don't lower the rate again: their requests were sent before.
	settleTime = 300 * time.Millisecond
	// maxDecrease is the least factor by which a rate is lowered.
	maxDecrease = 0.7
	// raiseInterval is the time between two increases of a rate that is used and brings no rejections. The factor of each is firstGrowth
	// until the upstream rejects requests at such a rate, then growth, and nearGrowth from nearShare of that rate on.
	raiseInterval = 250 * time.Millisecond
	firstGrowth   = 1.5
	growth        = 1.04
	nearGrowth    = 1.01
	nearShare     = 0.9
	// The others are those for upstreams that can reject fewer than fragileBelow requests in a second.
	fragileFirstGrowth = 1.12
	fragileGrowth      = 1.001
	fragileNearShare   = 0.75
	fragileBelow       = 3
	// usedShare is the share of a rate from which on it counts as used.
	usedShare = 0.8
	// minPerSecond is the least rate.
	minPerSecond = 1
	// toleratedShare is the share of an upstream's bound on rejections after which it gets no requests for a time.
	toleratedShare = 0.5
)

// Unlimited is the rate of an upstream that has not rejected a request yet.
var Unlimited = math.Inf(1)

// New returns a register without estimates.
func New() *Register {
	return &Register{estimates: map[string]*estimate{}}
}

// Announce records how many requests an upstream can reject in a second. The estimate begins at a rate, which may be Unlimited, if
// there is none.
func (rg *Register) Announce(id string, rejections, perSecond float64) {
	known, found := rg.estimates[id]
	if !found {
		known = &estimate{perSecond: perSecond}
		rg.estimates[id] = known
	}
	known.rejections = rejections
}

// End forgets the estimate for an upstream.
func (rg *Register) End(id string) {
	delete(rg.estimates, id)
}

// Grant records that a request may be sent to an upstream.
func (rg *Register) Grant(now time.Time, id string) {
	if known, found := rg.estimates[id]; found {
		known.granted = append(within(known.granted, now), now)
	}
}

// Reject records that an upstream has rejected a request because it was full.
func (rg *Register) Reject(now time.Time, id string) {
	known, found := rg.estimates[id]
	if !found {
		return
	}
	known.granted, known.rejected = within(known.granted, now), append(within(known.rejected, now), now)
	if now.Sub(known.loweredAt) < settleTime || len(known.granted) == 0 {
		return
	}
	span := max(now.Sub(known.granted[0]), minWindow)
	accepted := acceptedShare * float64(max(len(known.granted)-len(known.rejected), 1)) / span.Seconds()
	if !math.IsInf(known.perSecond, 1) {
		// After a time without requests the accepted ones say little.
		known.rejectedAt = known.perSecond
		accepted = max(accepted, maxDecrease*known.perSecond)
	}
	known.perSecond = max(min(known.perSecond, accepted), minPerSecond)
	known.loweredAt = now
}

// Rate returns the estimated rate of an upstream, in requests per second, and false if there is no estimate.
func (rg *Register) Rate(now time.Time, id string) (float64, bool) {
	known, found := rg.estimates[id]
	if !found {
		return 0, false
	}
	known.granted, known.rejected = within(known.granted, now), within(known.rejected, now)
	isUsed := float64(len(known.granted)) >= usedShare*known.perSecond
	if isUsed && len(known.rejected) == 0 && now.Sub(known.raisedAt) >= raiseInterval {
		known.raisedAt = now
		known.perSecond *= known.growth()
	}
	return known.perSecond, true
}

// growth returns the factor of an increase.
func (es *estimate) growth() float64 {
	isFragile := es.rejections < fragileBelow
	switch {
	case es.rejectedAt == 0 && isFragile:
		return fragileFirstGrowth
	case es.rejectedAt == 0:
		return firstGrowth
	case isFragile && es.perSecond < fragileNearShare*es.rejectedAt:
		return growth
	case isFragile:
		return fragileGrowth
	case es.perSecond < nearShare*es.rejectedAt:
		return growth
	}
	return nearGrowth
}

// Wait returns how long an upstream must get no request, since it has rejected nearly as many as it can.
func (rg *Register) Wait(now time.Time, id string) time.Duration {
	known, found := rg.estimates[id]
	if !found {
		return 0
	}
	known.rejected = within(known.rejected, now)
	tolerated := max(int(toleratedShare*known.rejections), 1)
	if len(known.rejected) < tolerated {
		return 0
	}
	return known.rejected[len(known.rejected)-tolerated].Add(window).Sub(now)
}

// within returns the times that lie within the window before now.
func within(times []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) >= window {
		first++
	}
	return times[first:]
}
