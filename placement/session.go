package placement

import (
	"math"
	"time"

	"github.com/turmericdoor/turmericdoor/hotpart"
	"github.com/turmericdoor/turmericdoor/roster"
)

const (
	// sessionShare is the share of an engine that one session may use before it gets a further one; other sessions use the rest.
	sessionShare = 0.5
	// overflowShare is the share of the cost of processing the shared tokens that each place behind the engines of a session
	// with several costs, so that the overflow of all instances meets at the same engines.
	overflowShare = 0.02
)

// copies tells at which engines the shared parts of a request's prompt are expected to be cached.
type copies struct {
	// engines is how many of the first engines in the order serve the session; 0 without a session.
	engines int
	// session is what is known of the session, or nil.
	session *hotpart.Session
}

// observe records a request of a session and returns where its shared parts are expected.
func (pl *Pool) observe(now time.Time, list []*roster.Upstream, criteria Criteria) copies {
	if criteria.Session != 0 && !criteria.IsRepeated && !criteria.Pinned && len(list) > 0 {
		pl.sessions.Observe(now, criteria.Session, hotpart.Demand{Instances: criteria.Instances, EngineRate: pl.engineRate(list[0], criteria)})
	}
	return pl.copies(list, criteria)
}

// copies returns where the shared parts of a request's prompt are expected.
func (pl *Pool) copies(list []*roster.Upstream, criteria Criteria) copies {
	if criteria.Session == 0 {
		return copies{}
	}
	found := copies{engines: 1, session: pl.sessions.Find(criteria.Session)}
	if found.session != nil {
		found.engines = max(min(found.session.Engines(), len(list)), 1)
	}
	return found
}

// engineRate returns how many requests a second like the given one an engine carries for one session: what it processes of
// their prompts, and what its slots allow.
func (pl *Pool) engineRate(up *roster.Upstream, criteria Criteria) float64 {
	rate := math.Inf(1)
	if criteria.PromptTokens > 0 {
		rate = tokensPerMs * float64(time.Second/time.Millisecond) / float64(criteria.PromptTokens)
	}
	if up.Slots > 0 {
		rate = min(rate, float64(up.Slots)/max(pl.serviceTime, time.Millisecond).Seconds())
	}
	return rate * sessionShare
}

// isCached reports whether an engine is expected to have the session's parts, or the request has none. Only a session with
// several engines counts those that this instance has sent it to: one with little demand stays at its first engine.
func (cp copies) isCached(now time.Time, up *roster.Upstream, position int) bool {
	if cp.engines == 0 || position < cp.engines {
		return true
	}
	return cp.engines > 1 && cp.session.HasSent(now, up.Incarnation())
}

// cost returns what an engine at a position costs because of the shared parts of the prompt.
func (cp copies) cost(position int, isCached bool, sharedTokens int) float64 {
	recompute, total := float64(sharedTokens)*float64(recomputeCost), 0.0
	if !isCached {
		total = recompute
	}
	if cp.engines > 1 && position >= cp.engines {
		total += float64(position-cp.engines+1) * overflowShare * recompute
	}
	return total
}

// overflowed records that the engines of a session with several are loaded if another one was chosen.
func (cp copies) overflowed(now time.Time, best Choice) {
	if cp.engines > 1 && best.Order >= cp.engines {
		cp.session.Overflowed(now, best.Order)
	}
}

// RecordSent records that a request of a session is being sent to an upstream, which will have its shared parts cached.
func (pl *Pool) RecordSent(now time.Time, incarnation roster.Incarnation, session uint64) {
	pl.sessions.RecordSent(now, session, incarnation)
}

// RecordNotRun records that the upstream has no shared parts of a session after an attempt that it has not executed.
func (pl *Pool) RecordNotRun(incarnation roster.Incarnation, session uint64, result Result) {
	if result == Rejected || result == Unreachable {
		pl.sessions.RecordNotRun(session, incarnation)
	}
}

// ReplicatedSessions returns the number of sessions that more than one engine serves.
func (pl *Pool) ReplicatedSessions(now time.Time) int {
	return pl.sessions.Replicated(now)
}

const (
	// assumedServiceTime is how long an upstream is assumed to take for a request before any has ended.
	assumedServiceTime = time.Second
	// serviceTimeWeight is the weight of the newest request in the average service time.
	serviceTimeWeight = 0.05
)

// RecordServiceTime records how long an upstream took for a request that it has served.
func (pl *Pool) RecordServiceTime(took time.Duration) {
	pl.serviceTime += time.Duration(serviceTimeWeight * float64(took-pl.serviceTime))
}
