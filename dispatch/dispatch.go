package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/turmericdoor/turmericdoor/choice"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/fairqueue"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/limit"
	"github.com/turmericdoor/turmericdoor/retry"
)

// Dispatcher decides for one pool; it is not safe for concurrent use.
type Dispatcher struct {
	policy   limit.Policy
	peers    int
	maxQueue int
	queue    *fairqueue.Queue
	chooser  *choice.Picker
	budget   *retry.Budget
	byName   map[string]*choice.Candidate
	waiting  map[uint64]*entry
	running  map[uint64]*entry
	held     []*entry
	leaving  map[string]int64
}

// entry is one request that waits or runs.
type entry struct {
	request  Request
	ticket   fairqueue.Ticket
	on       map[string]int
	reserved *choice.Candidate
}

// New returns a dispatcher without upstreams; Update gives it some.
func New(policy limit.Policy, random *rand.Rand, maxQueue int, stageTime time.Duration) *Dispatcher {
	return &Dispatcher{
		policy: policy, peers: 1, maxQueue: maxQueue,
		queue: fairqueue.New(nil), chooser: choice.New(random, stageTime), budget: retry.NewBudget(0),
		byName: map[string]*choice.Candidate{}, waiting: map[uint64]*entry{}, running: map[uint64]*entry{},
		leaving: map[string]int64{},
	}
}

// Update takes over the pool's part of a document and starts what now fits.
func (ds *Dispatcher) Update(now time.Time, pool *document.Pool, ranks []*document.Rank, out []Action) []Action {
	floors := []int64{}
	for _, rank := range ranks {
		floors = append(floors, rank.FloorPercent)
	}
	ds.queue.SetFloors(floors)
	ds.budget.SetPercent(pool.RetryPercent)
	first := len(ds.byName) == 0
	wanted := map[string]bool{}
	for _, up := range pool.Upstreams {
		wanted[up.Name] = true
		ds.updateUpstream(now, up, first)
	}
	for name := range ds.byName {
		if !wanted[name] {
			delete(ds.byName, name)
			ds.chooser.Remove(name)
		}
	}
	return ds.fill(now, out)
}

// updateUpstream enters an upstream or replaces one whose place in the document has changed.
func (ds *Dispatcher) updateUpstream(now time.Time, up *document.Upstream, warm bool) {
	known, found := ds.byName[up.Name]
	if found && known.Incarnation == up.Incarnation && known.Slots == up.Slots {
		known.FailureDomain = up.FailureDomain
		known.Adapters = up.Adapters
		return
	}
	if found {
		ds.chooser.Remove(up.Name)
	}
	fresh := &choice.Candidate{
		Name: up.Name, FailureDomain: up.FailureDomain, Incarnation: up.Incarnation, Slots: up.Slots,
		Adapters: up.Adapters, Limit: limit.New(ds.policy, up.Slots, ds.peers),
		Leaving: ds.leaving[up.Name] >= up.Incarnation,
	}
	ds.byName[up.Name] = fresh
	ds.chooser.Add(now, fresh, warm)
}

// RequireProbe makes upstreams that were ejected wait for a probe; it is to be called before Update.
func (ds *Dispatcher) RequireProbe() {
	ds.chooser.RequireProbe()
}

// ProbeTargets returns the names of the upstreams that a probe should try.
func (ds *Dispatcher) ProbeTargets(now time.Time) []string {
	names := []string{}
	for _, cd := range ds.chooser.ProbeTargets(now) {
		names = append(names, cd.Name)
	}
	return names
}

// RecordProbe notes whether a probe reached an upstream, and starts what now fits.
func (ds *Dispatcher) RecordProbe(now time.Time, name string, reached bool, out []Action) []Action {
	if cd, known := ds.byName[name]; known {
		ds.chooser.RecordProbe(now, cd, reached)
	}
	return ds.fill(now, out)
}

// SetLiveInstances takes note of how many instances are live, this one included.
func (ds *Dispatcher) SetLiveInstances(peers int) {
	ds.peers = peers
	for _, cd := range ds.byName {
		cd.Limit.SetLiveInstances(peers)
	}
}

// MarkLeaving takes an upstream's incarnation out of use; calls in flight go on.
func (ds *Dispatcher) MarkLeaving(upstream string, incarnation int64) {
	ds.leaving[upstream] = max(ds.leaving[upstream], incarnation)
	if cd, known := ds.byName[upstream]; known && cd.Incarnation <= ds.leaving[upstream] {
		cd.Leaving = true
	}
}

// Submit enters a request, which is started, queued or refused.
func (ds *Dispatcher) Submit(now time.Time, request Request, out []Action) []Action {
	en := &entry{request: request, on: map[string]int{}}
	en.ticket = fairqueue.Ticket{
		ID: request.ID, Organisation: request.Organisation, Weight: request.Weight, Rank: request.Rank,
		Cost: ds.chooser.MeanServiceTime(), Deadline: request.Deadline,
		LatestStart: request.Deadline.Add(-request.RemainingWork - ds.chooser.MeanServiceTime()),
	}
	if ds.queue.Len() >= ds.maxQueue {
		return append(out, ds.refusal(now, en, QueueFull))
	}
	ds.waiting[request.ID] = en
	ds.queue.Push(&en.ticket)
	return ds.fill(now, out)
}

// Reserve counts an admitted request that has still to pass other pools; Submit follows an Unreserve.
func (ds *Dispatcher) Reserve(rank int, organisation string, weight int64) fairqueue.Ticket {
	ticket := fairqueue.Ticket{Organisation: organisation, Weight: weight, Rank: rank, Cost: ds.chooser.MeanServiceTime()}
	ds.queue.Reserve(&ticket)
	return ticket
}

// Unreserve takes back what Reserve counted.
func (ds *Dispatcher) Unreserve(ticket fairqueue.Ticket) {
	ds.queue.Unreserve(&ticket)
}

// Cancel takes out a request that still waits and reports whether it did.
func (ds *Dispatcher) Cancel(id uint64) bool {
	en, found := ds.waiting[id]
	if !found {
		return false
	}
	delete(ds.waiting, id)
	if at := ds.heldAt(en); at >= 0 {
		ds.release(en)
		ds.held = append(ds.held[:at], ds.held[at+1:]...)
		return true
	}
	ds.queue.Remove(&en.ticket)
	return true
}

func (ds *Dispatcher) heldAt(wanted *entry) int {
	for at, en := range ds.held {
		if en == wanted {
			return at
		}
	}
	return -1
}

// Finish books the end of a call and starts what now fits.
func (ds *Dispatcher) Finish(now time.Time, result CallResult, out []Action) []Action {
	en, found := ds.running[result.ID]
	invariant.Check(found && en.on[result.Upstream] > 0, "a call ends once", "request %d on %s", result.ID, result.Upstream)
	en.on[result.Upstream]--
	if en.on[result.Upstream] == 0 {
		delete(en.on, result.Upstream)
	}
	if len(en.on) == 0 {
		delete(ds.running, result.ID)
	}
	if cd, known := ds.byName[result.Upstream]; known {
		ds.book(now, en, cd, result)
	}
	return ds.fill(now, out)
}

// book adjusts what is known of the upstream.
func (ds *Dispatcher) book(now time.Time, en *entry, cd *choice.Candidate, result CallResult) {
	inFlight := cd.InFlight
	cd.InFlight = max(cd.InFlight-1, 0)
	cd.Exclusive = cd.Exclusive && cd.InFlight > 0
	if result.Load >= 0 {
		ds.chooser.RecordLoad(now, cd, result.Load)
	}
	sample := limit.Sample{InFlight: inFlight, Waited: result.Waited, Service: result.Elapsed - result.Waited}
	switch result.Status {
	case Succeeded:
		ds.chooser.RecordSuccess(now, cd, result.Elapsed)
		ds.budget.RecordSuccess()
		ds.queue.CorrectCost(&en.ticket, result.Elapsed)
		cd.Limit.Observe(now, sample)
	case Busy:
		sample.Refused = true
		cd.Limit.Observe(now, sample)
		cd.RecordLoad(now, cd.Slots)
	case Failed:
		ds.chooser.RecordFailure(now, cd)
	case Unreachable:
		ds.chooser.RecordUnreachable(now, cd)
	case Cancelled:
		cd.RecordCancelled(now, result.Elapsed)
	case Leaving:
		ds.MarkLeaving(cd.Name, cd.Incarnation)
	}
}

// SpendRetry spends one retry of the pool's budget and reports whether there was one.
func (ds *Dispatcher) SpendRetry() bool {
	return ds.budget.Spend()
}

// Hedge starts a second call of a running request on another upstream, if one has room and the budget allows.
func (ds *Dispatcher) Hedge(now time.Time, id uint64, out []Action) []Action {
	en, found := ds.running[id]
	if !found {
		return out
	}
	avoid := append([]string{}, en.request.Avoid...)
	for name := range en.on {
		avoid = append(avoid, name)
	}
	wish := wishOf(&en.request)
	wish.Avoid = avoid
	cd := ds.chooser.Pick(now, &wish)
	if cd == nil || !ds.budget.Spend() {
		return out
	}
	return ds.start(now, en, cd, out)
}

// Tick refuses what can no longer be done in time and starts what now fits.
func (ds *Dispatcher) Tick(now time.Time, out []Action) []Action {
	return ds.fill(now, out)
}

// NextExpiry returns when Tick next has something to refuse, and whether it ever has.
func (ds *Dispatcher) NextExpiry() (time.Time, bool) {
	next, found := ds.queue.NextExpiry()
	for _, en := range ds.held {
		if !found || en.ticket.LatestStart.Before(next) {
			next, found = en.ticket.LatestStart, true
		}
	}
	return next, found
}

// Estimate returns the wait and the service time that a new request of the organisation would meet.
func (ds *Dispatcher) Estimate(now time.Time, rank int, organisation string, weight int64) Estimate {
	room := ds.chooser.Capacity(now)
	service := ds.chooser.MeanServiceTime()
	if room == 0 {
		return Estimate{Service: service}
	}
	ahead := ds.queue.CostAhead(rank, organisation, weight)
	if ds.queue.Len() > 0 {
		ahead += service
	}
	return Estimate{Wait: ahead / time.Duration(room), Service: service, Usable: true}
}

// Candidates returns the upstreams as this instance sees them; they belong to the dispatcher.
func (ds *Dispatcher) Candidates() []*choice.Candidate {
	return ds.chooser.Candidates()
}

// Waiting returns how many requests wait.
func (ds *Dispatcher) Waiting() int {
	return len(ds.waiting)
}

// Running returns how many requests have a call in flight.
func (ds *Dispatcher) Running() int {
	return len(ds.running)
}
