package sendaudit

import "github.com/turmericdoor/turmericdoor/invariant"

// Terms bound the sends of one request.
type Terms struct {
	// Once says that the request may run at most once.
	Once bool
	// Most is how many upstreams may run the request.
	Most int
}

// Ledger is the sends of one request, one after the other; it is not safe for concurrent use.
type Ledger struct {
	request string
	terms   Terms
	open    bool
	// ran counts the sends that may have run, arrived those that reached an upstream at all.
	ran     int
	arrived int
	// granted counts the repeated sends that the budget allowed.
	granted int
}

// New returns the ledger of a request of which nothing was sent.
func New(request string, terms Terms) *Ledger {
	return &Ledger{request: request, terms: terms}
}

// Grant notes that the budget allowed one repeated send.
func (lg *Ledger) Grant() {
	lg.granted++
}

// Begin notes a send that begins; NotSent, NotRun or MayHaveRun must follow.
func (lg *Ledger) Begin() {
	invariant.Check(!lg.open, "a request is sent to one upstream at a time", "request %s", lg.request)
	invariant.Check(!lg.terms.Once || lg.ran == 0, "a non-idempotent request is sent once", "request %s", lg.request)
	invariant.Check(lg.ran < max(lg.terms.Most, 1), "a request runs on no more upstreams than its pipeline allows",
		"request %s ran %d of %d", lg.request, lg.ran, lg.terms.Most)
	invariant.Check(lg.arrived <= lg.granted, "each repeated send is within the budget",
		"request %s arrived %d times, granted %d", lg.request, lg.arrived, lg.granted)
	lg.open = true
}

// NotSent ends a send of which the upstream can't have read anything.
func (lg *Ledger) NotSent() {
	lg.open = false
}

// NotRun ends a send that the upstream says it did not run.
func (lg *Ledger) NotRun() {
	lg.open = false
	lg.arrived++
}

// MayHaveRun ends a send that ran, or of which that is not known.
func (lg *Ledger) MayHaveRun() {
	lg.open = false
	lg.arrived++
	lg.ran++
}

// Count returns how many sends may have run.
func (lg *Ledger) Count() int {
	return lg.ran
}

// Refused notes that the caller is told that the request has not run and never will.
func (lg *Ledger) Refused() {
	invariant.Check(!lg.open && lg.ran == 0, "a refused request has not run", "request %s ran %d", lg.request, lg.ran)
}
