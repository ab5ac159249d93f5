package attempt

import (
	"sync"

	"github.com/turmericdoor/turmericdoor/invariant"
)

// Identity identifies the call that a result belongs to. It is sent with the call, and upstreams return it with
// their answer.
type Identity struct {
	RequestID string
	Stage     string
	Attempt   int64
}

// Rejection is the reason why a result was not accepted, or Accepted.
type Rejection string

// The values of Rejection. OtherRequest and OtherStage are results of another request or another stage,
// AttemptClosed is a result of an attempt that has ended, and AttemptUnknown one of an attempt that never began.
const (
	Accepted       Rejection = ""
	OtherRequest   Rejection = "OtherRequest"
	OtherStage     Rejection = "OtherStage"
	AttemptClosed  Rejection = "AttemptClosed"
	AttemptUnknown Rejection = "AttemptUnknown"
)

// Tracker tracks the attempts of one request; it is safe for concurrent use.
type Tracker struct {
	mu           sync.Mutex
	requestID    string
	isIdempotent bool
	lastAttempt  int64
	stage        string
	openAttempts map[int64]bool
	// accepted maps each stage with a result to the number of the attempt that produced it.
	accepted map[string]int64
	// dispatched is the number of attempts that may have reached an upstream.
	dispatched int
}

// New returns the tracker of a request. A non-idempotent request may have only one attempt that may have reached an
// upstream.
func New(requestID string, idempotent bool) *Tracker {
	return &Tracker{requestID: requestID, isIdempotent: idempotent, openAttempts: map[int64]bool{}, accepted: map[string]int64{}}
}

// Begin opens an attempt of a stage, which must not have a result, and closes the attempts of earlier stages.
func (tr *Tracker) Begin(stage string) Identity {
	id, begun := tr.BeginBeside(stage)
	invariant.Check(begun, "a stage runs until it has a result", "request %s stage %s", tr.requestID, stage)
	return id
}

// BeginBeside opens an attempt of a stage beside those that run, and closes the attempts of earlier stages. It opens
// none and reports false if a result of the stage has been accepted.
func (tr *Tracker) BeginBeside(stage string) (Identity, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if _, hasResult := tr.accepted[stage]; hasResult {
		return Identity{}, false
	}
	if tr.stage != stage {
		tr.stage = stage
		clear(tr.openAttempts)
	}
	tr.lastAttempt++
	tr.openAttempts[tr.lastAttempt] = true
	tr.dispatched++
	invariant.Check(tr.isIdempotent || tr.dispatched == 1, "a non-idempotent request is dispatched once", "request %s", tr.requestID)
	return Identity{RequestID: tr.requestID, Stage: stage, Attempt: tr.lastAttempt}, true
}

// MarkNotSent closes an attempt that has not reached its upstream, so that another one may begin.
func (tr *Tracker) MarkNotSent(id Identity) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.openAttempts, id.Attempt)
	tr.dispatched--
}

// AnyDispatched reports whether an attempt may have reached an upstream.
func (tr *Tracker) AnyDispatched() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.dispatched > 0
}

// End closes an attempt without a result.
func (tr *Tracker) End(id Identity) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.openAttempts, id.Attempt)
}

// Accept accepts a result if its identity is that of an open attempt of the current stage, and then closes all
// attempts of the stage. Otherwise it returns why the result is rejected.
func (tr *Tracker) Accept(id Identity) Rejection {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	switch {
	case id.RequestID != tr.requestID:
		return OtherRequest
	case id.Stage != tr.stage:
		return OtherStage
	case id.Attempt <= 0 || id.Attempt > tr.lastAttempt:
		return AttemptUnknown
	case !tr.openAttempts[id.Attempt]:
		return AttemptClosed
	}
	_, hasResult := tr.accepted[id.Stage]
	invariant.Check(!hasResult, "a stage has one result", "request %s stage %s", tr.requestID, id.Stage)
	tr.accepted[id.Stage] = id.Attempt
	clear(tr.openAttempts)
	return Accepted
}
