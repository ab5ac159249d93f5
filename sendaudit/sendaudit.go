package sendaudit

import "github.com/turmericdoor/turmericdoor/invariant"

// Limits bound the sends of one request.
type Limits struct {
	// AtMostOnce allows at most one execution.
	AtMostOnce bool
	// MaxExecutions is the maximum number of executions.
	MaxExecutions int
}

// Tracker records the sends of one request, which must not overlap; it is not safe for concurrent use.
type Tracker struct {
	request  string
	limits   Limits
	inFlight bool
	// executed counts the sends that may have been executed, delivered those that reached an upstream.
	executed  int
	delivered int
	// budgeted counts the retries that the retry budget allowed.
	budgeted int
}

// New returns the tracker of a request that has not been sent.
func New(request string, limits Limits) *Tracker {
	return &Tracker{request: request, limits: limits}
}

// GrantRetry records that the retry budget allowed one retry.
func (tr *Tracker) GrantRetry() {
	tr.budgeted++
}

// Start records the start of a send and checks the limits; MarkNotSent, MarkNotExecuted or MarkMaybeExecuted must follow.
func (tr *Tracker) Start() {
	invariant.Check(!tr.inFlight, "a request is sent to one upstream at a time", "request %s", tr.request)
	invariant.Check(!tr.limits.AtMostOnce || tr.executed == 0, "a non-idempotent request is sent once", "request %s", tr.request)
	invariant.Check(tr.executed < max(tr.limits.MaxExecutions, 1), "a request runs on no more upstreams than its pipeline allows",
		"request %s: %d executions of at most %d", tr.request, tr.executed, tr.limits.MaxExecutions)
	invariant.Check(tr.delivered <= tr.budgeted, "each repeated send is within the budget",
		"request %s: %d deliveries, %d retries allowed by the budget", tr.request, tr.delivered, tr.budgeted)
	tr.inFlight = true
}

// MarkNotSent ends a send of which the upstream can't have read anything.
func (tr *Tracker) MarkNotSent() {
	tr.inFlight = false
}

// MarkNotExecuted ends a send that the upstream reported as not executed.
func (tr *Tracker) MarkNotExecuted() {
	tr.inFlight = false
	tr.delivered++
}

// MarkMaybeExecuted ends a send that was or may have been executed.
func (tr *Tracker) MarkMaybeExecuted() {
	tr.inFlight = false
	tr.delivered++
	tr.executed++
}

// Executions returns the number of sends that may have been executed.
func (tr *Tracker) Executions() int {
	return tr.executed
}

// CheckNotExecuted checks that the request can be reported to the caller as refused: not in flight and never executed.
func (tr *Tracker) CheckNotExecuted() {
	invariant.Check(!tr.inFlight && tr.executed == 0, "a refused request has not run", "request %s: in flight %t, %d executions", tr.request, tr.inFlight, tr.executed)
}
