package attempt

import (
	"sync"

	"github.com/turmericdoor/turmericdoor/invariant"
)

// Identity says which call a result belongs to; upstreams send it back with their answer.
type Identity struct {
	RequestID string
	Stage     string
	Attempt   int64
}

// Rejection says why a result was not taken; it is empty for one that was.
type Rejection string

// The reasons for not taking a result.
const (
	Accepted       Rejection = ""
	OtherRequest   Rejection = "OtherRequest"
	OtherStage     Rejection = "OtherStage"
	AttemptClosed  Rejection = "AttemptClosed"
	AttemptUnknown Rejection = "AttemptUnknown"
)

// Tracker is the attempts of one request.
type Tracker struct {
	mu        sync.Mutex
	requestID string
	idem      bool
	issued    int64
	stage     string
	open      map[int64]bool
	accepted  map[string]int64
	effects   int
}

// New returns the ledger of a request; a non-idempotent one is only ever given one attempt at once.
func New(requestID string, idempotent bool) *Tracker {
	return &Tracker{requestID: requestID, idem: idempotent, open: map[int64]bool{}, accepted: map[string]int64{}}
}

// Begin opens an attempt of a stage. Attempts of an earlier stage are closed by it.
func (lg *Tracker) Begin(stage string) Identity {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	_, done := lg.accepted[stage]
	invariant.Check(!done, "a stage runs until it has a result", "request %s stage %s", lg.requestID, stage)
	if lg.stage != stage {
		lg.stage = stage
		clear(lg.open)
	}
	lg.issued++
	lg.open[lg.issued] = true
	lg.effects++
	invariant.Check(lg.idem || lg.effects == 1, "a non-idempotent request is dispatched once", "request %s", lg.requestID)
	return Identity{RequestID: lg.requestID, Stage: stage, Attempt: lg.issued}
}

// MarkNotSent closes an attempt of which nothing reached its upstream, so that another may be made.
func (lg *Tracker) MarkNotSent(id Identity) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	delete(lg.open, id.Attempt)
	lg.effects--
}

// AnyDispatched reports whether anything may have reached an upstream.
func (lg *Tracker) AnyDispatched() bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.effects > 0
}

// End closes an attempt without a result.
func (lg *Tracker) End(id Identity) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	delete(lg.open, id.Attempt)
}

// Accept takes a result if its identity is that of an open attempt of the current stage; the stage's other
// attempts are closed by it.
func (lg *Tracker) Accept(id Identity) Rejection {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	switch {
	case id.RequestID != lg.requestID:
		return OtherRequest
	case id.Stage != lg.stage:
		return OtherStage
	case id.Attempt <= 0 || id.Attempt > lg.issued:
		return AttemptUnknown
	case !lg.open[id.Attempt]:
		return AttemptClosed
	}
	_, done := lg.accepted[id.Stage]
	invariant.Check(!done, "a stage has one result", "request %s stage %s", lg.requestID, id.Stage)
	lg.accepted[id.Stage] = id.Attempt
	clear(lg.open)
	return Accepted
}
