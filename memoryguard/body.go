package memoryguard

import (
	"time"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

// Decision is the decision on memory for a body. It is sealed: its variants are Granted, Refused and Yielded.
type Decision interface {
	decision()
}

// Granted means that the memory may be used.
type Granted struct{}

func (Granted) decision() {}

// Refused means that the request must not run, and its caller may retry after a time.
type Refused struct {
	Cause      memorybudget.Cause
	RetryAfter time.Duration
}

func (Refused) decision() {}

// Yielded means that the body has stalled and its request must not run.
type Yielded struct {
	Cause memorybudget.Cause
}

func (Yielded) decision() {}

// Connection is what a body is read from; http.ResponseController is one.
type Connection interface {
	// SetReadDeadline sets when the read in progress fails; it does not block.
	SetReadDeadline(deadline time.Time) error
}

// Body is the memory of one request's body; Release must be called.
type Body struct {
	guard      *Guard
	counted    memorybudget.Body
	connection Connection
	// decisions holds the decision that Grow waits for; it is nil before the first one.
	decisions chan Decision
	// yielded is set once the body was asked to yield. The guard's lock protects both.
	yielded Decision
}

// Begin counts a body that takes nothing yet. If it has to yield, reads from the connection fail from then on.
func (gd *Guard) Begin(spec memorybudget.BodySpec, connection Connection) *Body {
	bd := &Body{guard: gd, connection: connection}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.budget.Configure(gd.Caller())
	gd.budget.Begin(gd.Timers.Now(), &bd.counted, spec)
	gd.bodies[&bd.counted] = bd
	return bd
}

// Grow asks for more memory and waits for the decision, which comes after at most some seconds.
func (bd *Body) Grow(size int64) Decision {
	decision, decisions := Decision(Granted{}), (chan Decision)(nil)
	bd.guard.update(func(now time.Time) []memorybudget.Action {
		if bd.yielded != nil {
			decision = bd.yielded
			return nil
		}
		granted, actions := bd.guard.budget.Grow(now, &bd.counted, size)
		if !granted {
			bd.decisions = make(chan Decision, 1)
			decisions = bd.decisions
		}
		return actions
	})
	if decisions != nil {
		bd.guard.tellBodyWaits()
		return <-decisions
	}
	return decision
}

// Receive counts bytes that have arrived.
func (bd *Body) Receive(count int) {
	bd.guard.mu.Lock()
	defer bd.guard.mu.Unlock()
	bd.guard.budget.Receive(bd.guard.Timers.Now(), &bd.counted, count)
}

// Complete tells that the body was read to its end. Its request may run if the decision is Granted; the body need not yield from then on.
func (bd *Body) Complete() Decision {
	decision := Decision(Granted{})
	bd.guard.update(func(now time.Time) []memorybudget.Action {
		mayRun, actions := bd.guard.budget.Complete(now, &bd.counted)
		if !mayRun {
			decision = bd.yielded
		}
		return actions
	})
	return decision
}

// Yielded returns the decision that the body has to yield, or nil.
func (bd *Body) Yielded() Decision {
	bd.guard.mu.Lock()
	defer bd.guard.mu.Unlock()
	return bd.yielded
}

// Release gives back the memory; a second call does nothing.
func (bd *Body) Release() {
	bd.guard.update(func(now time.Time) []memorybudget.Action {
		delete(bd.guard.bodies, &bd.counted)
		return bd.guard.budget.Release(now, &bd.counted)
	})
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// yield ends the read of the body. The caller holds the guard's lock.
func (bd *Body) yield(cause memorybudget.Cause) {
	bd.yielded = Yielded{Cause: cause}
	_ = bd.connection.SetReadDeadline(longAgo)
}
