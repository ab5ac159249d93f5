package pause

import (
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Register holds the upstreams that have asked for a pause. It is not safe for concurrent use.
type Register struct {
	pauses map[roster.Incarnation]*pause
}

// pause is the pause of one upstream. After its end, one request at a time is sent until one has an answer.
type pause struct {
	until time.Time
	// trialUntil is until when the answer to the request that tries the upstream is waited for, or zero if none is on its way.
	trialUntil time.Time
}

const (
	// MaxLength bounds a pause.
	MaxLength = time.Hour
	// maxPauses bounds the upstreams that pause; the one whose pause ends first makes room.
	maxPauses = 1024
	// trialTimeout is how long the answer to the first request after a pause is waited for before another one is sent.
	trialTimeout = time.Second
	// trialInterval is the time until it is checked again whether that answer has come.
	trialInterval = 50 * time.Millisecond
)

// New returns a register without pauses.
func New() *Register {
	return &Register{pauses: map[roster.Incarnation]*pause{}}
}

// Begin begins a pause, or extends the one that there is, and reports whether there was none.
func (rg *Register) Begin(incarnation roster.Incarnation, until time.Time) bool {
	known := rg.pauses[incarnation]
	if known != nil {
		if until.After(known.until) {
			known.until = until
		}
		known.trialUntil = time.Time{}
		return false
	}
	if len(rg.pauses) >= maxPauses {
		rg.dropFirst()
	}
	rg.pauses[incarnation] = &pause{until: until}
	return true
}

// dropFirst drops the pause that ends first.
func (rg *Register) dropFirst() {
	first, found := roster.Incarnation{}, false
	for incarnation, each := range rg.pauses {
		if !found || each.until.Before(rg.pauses[first].until) {
			first, found = incarnation, true
		}
	}
	delete(rg.pauses, first)
}

// Take returns how long no request may be sent to an upstream, or 0 if one may be sent now, which then tries the upstream.
func (rg *Register) Take(now time.Time, incarnation roster.Incarnation) time.Duration {
	known := rg.pauses[incarnation]
	switch {
	case known == nil:
		return 0
	case now.Before(known.until):
		return known.until.Sub(now)
	case now.Before(known.trialUntil):
		return min(trialInterval, known.trialUntil.Sub(now))
	}
	known.trialUntil = now.Add(trialTimeout)
	return 0
}

// End ends a pause whose time is over, as the upstream has answered without asking for another one. It reports whether there
// was one.
func (rg *Register) End(now time.Time, incarnation roster.Incarnation) bool {
	known := rg.pauses[incarnation]
	if known == nil || now.Before(known.until) {
		return false
	}
	delete(rg.pauses, incarnation)
	return true
}

// Until returns the ends of all pauses.
func (rg *Register) Until() map[roster.Incarnation]time.Time {
	ends := map[roster.Incarnation]time.Time{}
	for incarnation, each := range rg.pauses {
		ends[incarnation] = each.until
	}
	return ends
}

// Prune drops the pauses that are over of upstreams that are not registered.
func (rg *Register) Prune(now time.Time, isRegistered func(roster.Incarnation) bool) {
	for incarnation, each := range rg.pauses {
		if !now.Before(each.until) && !isRegistered(incarnation) {
			delete(rg.pauses, incarnation)
		}
	}
}
