package memoryguard

import (
	"time"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

// Decision is the decision on memory for a body. It is sealed: its variants are Granted, Refused and Yielded.
type Decision interface {
	decision()
}

// Granted means that a body has got the memory that it asked for, or that its request may run.
type Granted struct{}

func (Granted) decision() {}

// Refused means that there is no memory for a body. Its request must not run; its caller may retry after RetryAfter.
type Refused struct {
	Cause      memorybudget.Cause
	RetryAfter time.Duration
}

func (Refused) decision() {}

// Yielded means that a stalled body is no longer read because others need its memory. Its request must not run.
type Yielded struct {
	Cause memorybudget.Cause
}

func (Yielded) decision() {}

// Connection is the connection that a body is read from; http.ResponseController implements it.
type Connection interface {
	// SetReadDeadline sets when reads fail, also one in progress; it does not block, as the guard's lock is held.
	SetReadDeadline(deadline time.Time) error
}

// Body is a request's body and the memory that it holds; Release must be called.
type Body struct {
	guard      *Guard
	counted    memorybudget.Body
	connection Connection
	// decisions receives the decision that Grow waits for; it is nil until Grow has to wait. The guard's lock protects it.
	decisions chan Decision
	// yielded is set once the body has yielded. The guard's lock protects it.
	yielded Decision
}

// Begin adds a body that holds no memory yet. Once it yields, reads from the connection fail.
func (gd *Guard) Begin(spec memorybudget.BodySpec, connection Connection) *Body {
	bd := &Body{guard: gd, connection: connection}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.budget.Configure(gd.Caller())
	gd.budget.Begin(gd.Timers.Now(), &bd.counted, spec)
	gd.bodies[&bd.counted] = bd
	return bd
}

// Grow asks for more memory and waits for the decision, at most a little longer than the budget's limit for a wait of 2 s.
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
		bd.guard.notifyBodyWaits()
		return <-decisions
	}
	return decision
}

// Receive counts bytes of the body that have arrived.
func (bd *Body) Receive(count int) {
	bd.guard.mu.Lock()
	defer bd.guard.mu.Unlock()
	bd.guard.budget.Receive(bd.guard.Timers.Now(), &bd.counted, count)
}

// Complete records that the body was read to its end. Its request may run if the decision is Granted; the body never yields after that.
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

// Yielded returns a Yielded decision if the body has yielded, else nil.
func (bd *Body) Yielded() Decision {
	bd.guard.mu.Lock()
	defer bd.guard.mu.Unlock()
	return bd.yielded
}

// Release frees the memory; a second call does nothing.
func (bd *Body) Release() {
	bd.guard.update(func(now time.Time) []memorybudget.Action {
		delete(bd.guard.bodies, &bd.counted)
		return bd.guard.budget.Release(now, &bd.counted)
	})
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// yield makes the reads of the body fail. The caller holds the guard's lock.
func (bd *Body) yield(cause memorybudget.Cause) {
	bd.yielded = Yielded{Cause: cause}
	_ = bd.connection.SetReadDeadline(longAgo)
}
