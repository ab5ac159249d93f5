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

// Dispatcher assigns the requests of one pool to its upstreams; it is not safe for concurrent use.
type Dispatcher struct {
	policy limit.Policy
	// liveInstances is the number of live instances, this one included.
	liveInstances int
	maxQueue      int
	queue         *fairqueue.Queue
	picker        *choice.Picker
	budget        *retry.Budget
	byName        map[string]*choice.Candidate
	// waiting holds the requests in queue and in deferred, and running those with a call in flight.
	waiting map[uint64]*entry
	running map[uint64]*entry
	// deferred holds requests that were popped from the queue but for which no upstream had capacity.
	deferred []*entry
	// leaving maps the name of an upstream to the latest of its incarnations that is leaving.
	leaving map[string]int64
}

// entry is one waiting or running request.
type entry struct {
	request Request
	ticket  fairqueue.Ticket
	// calls counts the calls in flight by upstream.
	calls map[string]int
	// reserved is the upstream that takes no new work until this exclusive request can run there.
	reserved *choice.Candidate
}

// New returns a dispatcher without upstreams; Update adds them. It draws from random, lets at most maxQueue
// requests wait, and assumes the service time stageTime until calls have been measured.
func New(policy limit.Policy, random *rand.Rand, maxQueue int, stageTime time.Duration) *Dispatcher {
	return &Dispatcher{
		policy: policy, liveInstances: 1, maxQueue: maxQueue,
		queue: fairqueue.New(nil), picker: choice.New(random, stageTime), budget: retry.NewBudget(0),
		byName: map[string]*choice.Candidate{}, waiting: map[uint64]*entry{}, running: map[uint64]*entry{},
		leaving: map[string]int64{},
	}
}

// Update applies the settings and upstreams of pool and the floors of ranks, which are parts of a document, and
// starts the requests that can now run.
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
			ds.picker.Remove(name)
		}
	}
	return ds.startWaiting(now, out)
}

// updateUpstream adds an upstream, or replaces it if its incarnation or its number of slots has changed.
func (ds *Dispatcher) updateUpstream(now time.Time, up *document.Upstream, warm bool) {
	existing, found := ds.byName[up.Name]
	if found && existing.Incarnation == up.Incarnation && existing.Slots == up.Slots {
		existing.FailureDomain = up.FailureDomain
		existing.Adapters = up.Adapters
		return
	}
	if found {
		ds.picker.Remove(up.Name)
	}
	added := &choice.Candidate{
		Name: up.Name, FailureDomain: up.FailureDomain, Incarnation: up.Incarnation, Slots: up.Slots,
		Adapters: up.Adapters, Limit: limit.New(ds.policy, up.Slots, ds.liveInstances),
		Leaving: ds.leaving[up.Name] >= up.Incarnation,
	}
	ds.byName[up.Name] = added
	ds.picker.Add(now, added, warm)
}

// RequireProbe withholds calls from ejected upstreams until a probe has reached them. It must be called before
// Update.
func (ds *Dispatcher) RequireProbe() {
	ds.picker.RequireProbe()
}

// ProbeTargets returns the names of the upstreams that should be probed.
func (ds *Dispatcher) ProbeTargets(now time.Time) []string {
	names := []string{}
	for _, cd := range ds.picker.ProbeTargets(now) {
		names = append(names, cd.Name)
	}
	return names
}

// RecordProbe records whether a probe reached an upstream, and starts the requests that can now run.
func (ds *Dispatcher) RecordProbe(now time.Time, name string, reached bool, out []Action) []Action {
	if cd, existing := ds.byName[name]; existing {
		ds.picker.RecordProbe(now, cd, reached)
	}
	return ds.startWaiting(now, out)
}

// SetLiveInstances sets the number of live instances, this one included.
func (ds *Dispatcher) SetLiveInstances(liveInstances int) {
	ds.liveInstances = liveInstances
	for _, cd := range ds.byName {
		cd.Limit.SetLiveInstances(liveInstances)
	}
}

// MarkLeaving excludes an upstream's incarnation, and earlier ones, from new calls; calls in flight continue.
func (ds *Dispatcher) MarkLeaving(upstream string, incarnation int64) {
	ds.leaving[upstream] = max(ds.leaving[upstream], incarnation)
	if cd, existing := ds.byName[upstream]; existing && cd.Incarnation <= ds.leaving[upstream] {
		cd.Leaving = true
	}
}

// Submit adds a request, which is started, queued or refused.
func (ds *Dispatcher) Submit(now time.Time, request Request, out []Action) []Action {
	en := &entry{request: request, calls: map[string]int{}}
	en.ticket = fairqueue.Ticket{
		ID: request.ID, Organisation: request.Organisation, Weight: request.Weight, Rank: request.Rank,
		Cost: ds.picker.MeanServiceTime(), Deadline: request.Deadline,
		LatestStart: request.Deadline.Add(-request.RemainingWork - ds.picker.MeanServiceTime()),
	}
	if ds.queue.Len() >= ds.maxQueue {
		return append(out, ds.newRefusal(now, en, QueueFull))
	}
	ds.waiting[request.ID] = en
	ds.queue.Push(&en.ticket)
	return ds.startWaiting(now, out)
}

// Reserve counts an admitted request, which is still in an earlier stage, as work of this pool. Unreserve must be
// called before the request is submitted.
func (ds *Dispatcher) Reserve(rank int, organisation string, weight int64) fairqueue.Ticket {
	ticket := fairqueue.Ticket{Organisation: organisation, Weight: weight, Rank: rank, Cost: ds.picker.MeanServiceTime()}
	ds.queue.Reserve(&ticket)
	return ticket
}

// Unreserve removes the work that Reserve counted.
func (ds *Dispatcher) Unreserve(ticket fairqueue.Ticket) {
	ds.queue.Unreserve(&ticket)
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (ds *Dispatcher) Cancel(id uint64) bool {
	en, found := ds.waiting[id]
	if !found {
		return false
	}
	delete(ds.waiting, id)
	if at := ds.deferredIndex(en); at >= 0 {
		ds.releaseReservation(en)
		ds.deferred = append(ds.deferred[:at], ds.deferred[at+1:]...)
		return true
	}
	ds.queue.Remove(&en.ticket)
	return true
}

func (ds *Dispatcher) deferredIndex(wanted *entry) int {
	for at, en := range ds.deferred {
		if en == wanted {
			return at
		}
	}
	return -1
}

// Finish records the end of a call and starts the requests that can now run.
func (ds *Dispatcher) Finish(now time.Time, result CallResult, out []Action) []Action {
	en, found := ds.running[result.ID]
	invariant.Check(found && en.calls[result.Upstream] > 0, "a call ends once", "request %d on upstream %q", result.ID, result.Upstream)
	en.calls[result.Upstream]--
	if en.calls[result.Upstream] == 0 {
		delete(en.calls, result.Upstream)
	}
	if len(en.calls) == 0 {
		delete(ds.running, result.ID)
	}
	if cd, existing := ds.byName[result.Upstream]; existing {
		ds.recordResult(now, en, cd, result)
	}
	return ds.startWaiting(now, out)
}

// recordResult updates the state of the upstream, the retry budget and the queue.
func (ds *Dispatcher) recordResult(now time.Time, en *entry, cd *choice.Candidate, result CallResult) {
	inFlight := cd.InFlight
	cd.InFlight = max(cd.InFlight-1, 0)
	cd.Exclusive = cd.Exclusive && cd.InFlight > 0
	if result.Load >= 0 {
		ds.picker.RecordLoad(now, cd, result.Load)
	}
	sample := limit.Sample{InFlight: inFlight, Waited: result.Waited, Service: result.Elapsed - result.Waited}
	switch result.Status {
	case Succeeded:
		ds.picker.RecordSuccess(now, cd, result.Elapsed)
		ds.budget.RecordSuccess()
		ds.queue.CorrectCost(&en.ticket, result.Elapsed)
		cd.Limit.Observe(now, sample)
	case Busy:
		sample.Refused = true
		cd.Limit.Observe(now, sample)
		cd.RecordLoad(now, cd.Slots)
	case Failed:
		ds.picker.RecordFailure(now, cd)
	case Unreachable:
		ds.picker.RecordUnreachable(now, cd)
	case Cancelled:
		cd.RecordCancelled(now, result.Elapsed)
	case Leaving:
		ds.MarkLeaving(cd.Name, cd.Incarnation)
	}
}

// SpendRetry takes one retry from the pool's retry budget and reports whether the budget allowed it.
func (ds *Dispatcher) SpendRetry() bool {
	return ds.budget.Spend()
}

// Hedge starts a second call of a running request on another upstream, if one has capacity and the retry budget
// allows it.
func (ds *Dispatcher) Hedge(now time.Time, id uint64, out []Action) []Action {
	en, found := ds.running[id]
	if !found {
		return out
	}
	avoid := append([]string{}, en.request.Avoid...)
	for name := range en.calls {
		avoid = append(avoid, name)
	}
	criteria := criteriaOf(&en.request)
	criteria.Avoid = avoid
	cd := ds.picker.Pick(now, &criteria)
	if cd == nil || !ds.budget.Spend() {
		return out
	}
	return ds.startCall(now, en, cd, out)
}

// Tick refuses the requests that can no longer meet their deadline and starts those that can now run.
func (ds *Dispatcher) Tick(now time.Time, out []Action) []Action {
	return ds.startWaiting(now, out)
}

// NextExpiry returns the earliest time after which Tick refuses a waiting request, and whether any waits.
func (ds *Dispatcher) NextExpiry() (time.Time, bool) {
	next, found := ds.queue.NextExpiry()
	for _, en := range ds.deferred {
		if !found || en.ticket.LatestStart.Before(next) {
			next, found = en.ticket.LatestStart, true
		}
	}
	return next, found
}

// Estimate returns the expected wait and service time of a new request of the organisation.
func (ds *Dispatcher) Estimate(now time.Time, rank int, organisation string, weight int64) Estimate {
	capacity := ds.picker.Capacity(now)
	service := ds.picker.MeanServiceTime()
	if capacity == 0 {
		return Estimate{Service: service}
	}
	ahead := ds.queue.CostAhead(rank, organisation, weight)
	if ds.queue.Len() > 0 {
		ahead += service
	}
	return Estimate{Wait: ahead / time.Duration(capacity), Service: service, Usable: true}
}

// Candidates returns the upstreams with their state on this instance; the caller must not modify them.
func (ds *Dispatcher) Candidates() []*choice.Candidate {
	return ds.picker.Candidates()
}

// Waiting returns the number of waiting requests.
func (ds *Dispatcher) Waiting() int {
	return len(ds.waiting)
}

// Running returns the number of requests with a call in flight.
func (ds *Dispatcher) Running() int {
	return len(ds.running)
}
