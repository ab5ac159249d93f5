package sendaudit

import "github.com/turmericdoor/turmericdoor/invariant"

// Limits bound the sends of one request.
type Limits struct {
	// AtMostOnce says that the request may run at most once.
	AtMostOnce bool
	// MaxExecutions is how many upstreams may run the request.
	MaxExecutions int
}

// Tracker is the sends of one request, one after the other; it is not safe for concurrent use.
type Tracker struct {
	request string
	terms   Limits
	open    bool
	// ran counts the sends that may have run, arrived those that reached an upstream at all.
	ran     int
	arrived int
	// granted counts the repeated sends that the budget allowed.
	granted int
}

// New returns the ledger of a request of which nothing was sent.
func New(request string, terms Limits) *Tracker {
	return &Tracker{request: request, terms: terms}
}

// GrantRetry notes that the budget allowed one repeated send.
func (lg *Tracker) GrantRetry() {
	lg.granted++
}

// Start notes a send that begins; NotSent, NotRun or MayHaveRun must follow.
func (lg *Tracker) Start() {
	invariant.Check(!lg.open, "a request is sent to one upstream at a time", "request %s", lg.request)
	invariant.Check(!lg.terms.AtMostOnce || lg.ran == 0, "a non-idempotent request is sent once", "request %s", lg.request)
	invariant.Check(lg.ran < max(lg.terms.MaxExecutions, 1), "a request runs on no more upstreams than its pipeline allows",
		"request %s ran %d of %d", lg.request, lg.ran, lg.terms.MaxExecutions)
	invariant.Check(lg.arrived <= lg.granted, "each repeated send is within the budget",
		"request %s arrived %d times, granted %d", lg.request, lg.arrived, lg.granted)
	lg.open = true
}

// MarkNotSent ends a send of which the upstream can't have read anything.
func (lg *Tracker) MarkNotSent() {
	lg.open = false
}

// MarkNotExecuted ends a send that the upstream says it did not run.
func (lg *Tracker) MarkNotExecuted() {
	lg.open = false
	lg.arrived++
}

// MarkMaybeExecuted ends a send that ran, or of which that is not known.
func (lg *Tracker) MarkMaybeExecuted() {
	lg.open = false
	lg.arrived++
	lg.ran++
}

// Executions returns how many sends may have run.
func (lg *Tracker) Executions() int {
	return lg.ran
}

// CheckNotExecuted notes that the caller is told that the request has not run and never will.
func (lg *Tracker) CheckNotExecuted() {
	invariant.Check(!lg.open && lg.ran == 0, "a refused request has not run", "request %s ran %d", lg.request, lg.ran)
}
