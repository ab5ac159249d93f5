package hotpart

import (
	"container/list"
	"math"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

const (
	// maxSessions bounds the sessions of a table; a further one replaces the session that had no request for the longest time.
	maxSessions = 4096
	// maxEngines bounds the engines of one session.
	maxEngines = 32
	// maxSent bounds the engines outside the first ones at which this instance expects a session's parts to be cached.
	maxSent = 8
	// window is the time constant with which requests lose their weight in the rate of a session.
	window = 3 * time.Second
	// minRequests is the number of earlier requests, weighted with the time constant evidenceWindow, below which a session has
	// little demand, whatever the number of instances: a single earlier request does not show the rate at the other instances. With the
	// time constant window instead, 31 of 68 instances took a session with 25 requests a second in all for one with little demand after 15 s.
	minRequests    = 1.5
	evidenceWindow = 10 * time.Second
	// holdTime is how long a number of engines is kept after demand last required it, and shrinkInterval the time between two
	// reductions after that. With many instances, each sees so few requests that the number would rise and fall again and again with
	// shorter times.
	holdTime       = 12 * time.Second
	shrinkInterval = time.Second
	// retention is how long an engine is expected to keep parts in its cache that no request uses.
	retention = 20 * time.Second
)

// Demand holds what the number of engines of a session depends on, besides the session's rate at this instance.
type Demand struct {
	// Instances is the number of live instances, which are assumed to have the same rate as this one.
	Instances int
	// EngineRate is how many of the session's requests a second one engine may serve.
	EngineRate float64
}

// Table holds the sessions of a pool with the most recent requests; it is not safe for concurrent use.
type Table struct {
	sessions map[uint64]*list.Element
	// order holds the sessions, the one with the newest request first.
	order *list.List
}

// New returns a table without sessions.
func New() *Table {
	return &Table{sessions: map[uint64]*list.Element{}, order: list.New()}
}

// Session holds the demand of one session and the engines that serve it.
type Session struct {
	id uint64
	// requests is the number of requests at this instance, weighted by their age at observedAt.
	requests   float64
	observedAt time.Time
	// evidence is the number of requests weighted with the time constant evidenceWindow.
	evidence float64
	// engines is how many of the first engines in the order serve the session.
	engines int
	// neededAt is when demand last required that many engines.
	neededAt time.Time
	// sent holds the engines to which this instance has sent the session last.
	sent [maxSent]lastSent
}

// lastSent is an engine, and when this instance last sent it a request of the session.
type lastSent struct {
	engine roster.Incarnation
	at     time.Time
}

// Observe records a request of a session and returns the session. The number of its engines is computed from the earlier requests.
func (tb *Table) Observe(now time.Time, session uint64, demand Demand) *Session {
	known := tb.touch(session)
	known.age(now)
	known.resize(now, known.wanted(demand))
	known.requests++
	known.evidence++
	return known
}

// Find returns a session, or nil if it is not known.
func (tb *Table) Find(session uint64) *Session {
	if found := tb.sessions[session]; found != nil {
		return found.Value.(*Session)
	}
	return nil
}

// touch returns a session and makes it the first one in the order. Once the table is full, a new session replaces the last one.
func (tb *Table) touch(session uint64) *Session {
	if found := tb.sessions[session]; found != nil {
		tb.order.MoveToFront(found)
		return found.Value.(*Session)
	}
	if tb.order.Len() < maxSessions {
		tb.sessions[session] = tb.order.PushFront(&Session{id: session, engines: 1})
		return tb.order.Front().Value.(*Session)
	}
	oldest := tb.order.Back()
	known := oldest.Value.(*Session)
	delete(tb.sessions, known.id)
	*known = Session{id: session, engines: 1}
	tb.order.MoveToFront(oldest)
	tb.sessions[session] = oldest
	return known
}

// age reduces the weight of earlier requests.
func (ss *Session) age(now time.Time) {
	passed := float64(max(now.Sub(ss.observedAt), 0))
	ss.requests *= math.Exp(-passed / float64(window))
	ss.evidence *= math.Exp(-passed / float64(evidenceWindow))
	ss.observedAt = now
}

// wanted returns how many engines the demand requires.
func (ss *Session) wanted(demand Demand) int {
	if ss.evidence < minRequests || demand.EngineRate <= 0 {
		return 1
	}
	perSecond := ss.requests / window.Seconds() * float64(max(demand.Instances, 1))
	return int(min(max(math.Ceil(perSecond/demand.EngineRate), 1), maxEngines))
}

// resize raises the number of engines at once, and lowers it one by one if it was not required for holdTime.
func (ss *Session) resize(now time.Time, wanted int) {
	if wanted >= ss.engines {
		ss.engines, ss.neededAt = wanted, now
		return
	}
	ss.engines, ss.neededAt = ss.enginesAt(now, wanted)
}

// enginesAt returns the number of engines at a time, given that demand has required only the wanted number since neededAt, and the new value
// of neededAt.
func (ss *Session) enginesAt(now time.Time, wanted int) (int, time.Time) {
	excess := now.Sub(ss.neededAt) - holdTime
	if excess < 0 || ss.engines <= wanted {
		return ss.engines, ss.neededAt
	}
	steps := int(excess/shrinkInterval) + 1
	return max(ss.engines-steps, wanted), ss.neededAt.Add(time.Duration(steps) * shrinkInterval)
}

// Engines returns how many of the first engines in the session's order serve it.
func (ss *Session) Engines() int {
	return ss.engines
}

// RecordOverflow records that all engines of a session were so loaded that the engine at a position behind them was chosen. The session gets
// one more engine, unless its demand is so little that it has only one.
func (ss *Session) RecordOverflow(now time.Time, position int) {
	if ss.engines > 1 && position >= ss.engines && ss.engines < maxEngines {
		ss.engines, ss.neededAt = ss.engines+1, now
	}
}

// RecordSent records that this instance has sent a request of a session to an engine.
func (tb *Table) RecordSent(now time.Time, session uint64, engine roster.Incarnation) {
	known := tb.Find(session)
	if known == nil {
		return
	}
	replaced := &known.sent[0]
	for at := range known.sent {
		each := &known.sent[at]
		if each.engine == engine {
			replaced = each
			break
		}
		if each.at.Before(replaced.at) {
			replaced = each
		}
	}
	*replaced = lastSent{engine: engine, at: now}
}

// RecordNotRun records that an engine has not executed a request that was recorded as sent, and so has not processed its parts.
func (tb *Table) RecordNotRun(session uint64, engine roster.Incarnation) {
	if known := tb.Find(session); known != nil {
		known.forget(map[roster.Incarnation]bool{engine: true})
	}
}

// Forget drops engines that are gone from all sessions, in one pass.
func (tb *Table) Forget(engines ...roster.Incarnation) {
	if len(engines) == 0 {
		return
	}
	isGone := map[roster.Incarnation]bool{}
	for _, engine := range engines {
		isGone[engine] = true
	}
	for each := tb.order.Front(); each != nil; each = each.Next() {
		each.Value.(*Session).forget(isGone)
	}
}

func (ss *Session) forget(isGone map[roster.Incarnation]bool) {
	for at := range ss.sent {
		if isGone[ss.sent[at].engine] {
			ss.sent[at] = lastSent{}
		}
	}
}

// HasSent reports whether this instance has sent a request of the session to an engine within retention.
func (ss *Session) HasSent(now time.Time, engine roster.Incarnation) bool {
	for at := range ss.sent {
		if ss.sent[at].engine == engine {
			return now.Sub(ss.sent[at].at) < retention
		}
	}
	return false
}

// Len returns the number of known sessions.
func (tb *Table) Len() int {
	return tb.order.Len()
}

// Replicated returns the number of sessions that more than one engine serves.
func (tb *Table) Replicated(now time.Time) int {
	count := 0
	for each := tb.order.Front(); each != nil; each = each.Next() {
		if engines, _ := each.Value.(*Session).enginesAt(now, 1); engines > 1 {
			count++
		}
	}
	return count
}
