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
	// overflowShare is added to the cost of an engine for each position behind the engines of a session that has several, as a share of
	// the cost of processing the shared tokens. So the overflow of all instances goes to the same engines.
	overflowShare = 0.02
)

// sessionEngines are the engines at which the shared parts of a request's prompt are expected to be cached.
type sessionEngines struct {
	// count is how many of the first engines in the order serve the session; 0 without a session.
	count int
	// session is the session's entry in the pool's table, or nil. It is not nil if count is above 1.
	session *hotpart.Session
}

// observe records a request of a session and returns the engines of the session. A request that was placed before, or whose upstream is
// given, is not recorded.
func (pl *Pool) observe(now time.Time, list []*roster.Upstream, criteria Criteria) sessionEngines {
	if criteria.Session != 0 && !criteria.IsRepeated && !criteria.Pinned && len(list) > 0 {
		pl.sessions.Observe(now, criteria.Session, hotpart.Demand{Instances: criteria.Instances, EngineRate: pl.engineRate(list[0], criteria)})
	}
	return pl.sessionEngines(list, criteria)
}

// sessionEngines returns the engines of a request's session.
func (pl *Pool) sessionEngines(list []*roster.Upstream, criteria Criteria) sessionEngines {
	if criteria.Session == 0 {
		return sessionEngines{}
	}
	found := sessionEngines{count: 1, session: pl.sessions.Find(criteria.Session)}
	if found.session != nil {
		found.count = max(min(found.session.Engines(), len(list)), 1)
	}
	return found
}

// engineRate returns how many requests a second like the given one an engine may serve for one session: the lower of the rates that its
// speed of processing prompts and its slots allow, times sessionShare.
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

// isCached reports whether an engine is expected to have the session's parts cached, or the request has no shared parts. The engines to
// which this instance has sent the session count only if it has several engines: a session with little demand stays at its first one.
func (se sessionEngines) isCached(now time.Time, up *roster.Upstream, position int) bool {
	if se.count == 0 || position < se.count {
		return true
	}
	return se.count > 1 && se.session.HasSent(now, up.Incarnation())
}

// cost returns the time cost of the shared parts of the prompt at the engine at a position.
func (se sessionEngines) cost(position int, isCached bool, sharedTokens int) float64 {
	recompute, total := float64(sharedTokens)*float64(recomputeCost), 0.0
	if !isCached {
		total = recompute
	}
	if se.count > 1 && position >= se.count {
		total += float64(position-se.count+1) * overflowShare * recompute
	}
	return total
}

// recordOverflow records that a request of a session with several engines was placed at an engine behind these, all of which were
// available: one that is ejected or limited is no sign of more demand.
func (se sessionEngines) recordOverflow(now time.Time, best Choice) {
	if se.count > 1 && best.Order >= se.count {
		se.session.RecordOverflow(now, best.Order)
	}
}

// RecordSent records that a request of a session is being sent to an upstream, which will have its shared parts cached.
func (pl *Pool) RecordSent(now time.Time, incarnation roster.Incarnation, session uint64) {
	pl.sessions.RecordSent(now, session, incarnation)
}

// RecordNotRun records that the upstream has not processed the shared parts of a session if the result is that of an attempt that was not
// executed.
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
