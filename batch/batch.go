package batch

import (
	"cmp"
	"slices"
	"time"
)

// Group is the items of one stage of a request, whose results are needed together.
type Group struct {
	ID    uint64
	Count int
	// Rank is the priority, of which 0 is the highest.
	Rank int
	// Due is when the results are needed for the request to be on time.
	Due time.Time
	// Expires is when the results are of no more use.
	Expires time.Time
	// ResultBytes is the size of one item's result.
	ResultBytes int64
	// MayHaveRun is set if another instance may have sent the items before.
	MayHaveRun bool
	// HasInputs is set if upstreams hold results of earlier stages for the group.
	HasInputs bool
}

// Item identifies one item of a group.
type Item struct {
	GroupID uint64
	Index   int
}

// Config describes the upstreams of a pool.
type Config struct {
	// Slots is how many calls an upstream takes at a time.
	Slots int
	// MaxBatch is the maximum number of items in a call.
	MaxBatch int
	// A call with n items takes CallTime + n*ItemTime.
	CallTime time.Duration
	ItemTime time.Duration
	// ResultCapacity is the memory for results of an upstream in bytes, or 0 if it is not limited.
	ResultCapacity int64
	// ResultTTL is how long an upstream holds a result that is not freed.
	ResultTTL time.Duration
}

// Upstream is an upstream that calls may be sent to.
type Upstream struct {
	Name string
	// CallsPerSecond bounds the calls if IsLimited is set.
	IsLimited      bool
	CallsPerSecond float64
}

// Action is what Step asks its caller to do. It is sealed: its variants are Send, Drop and Wake.
type Action interface {
	action()
}

// Send asks for a call; CallEnded must be called with its CallID afterwards.
type Send struct {
	CallID           uint64
	Upstream         string
	Items            []Item
	ExpectedDuration time.Duration
	// RetriedItems is how many of the items were sent before, and count against the retry budget.
	RetriedItems int
}

func (Send) action() {}

// Drop reports that a group was removed because it would not finish before it expires.
type Drop struct {
	GroupID uint64
}

func (Drop) action() {}

// Wake asks for the next Step at a time.
type Wake struct {
	At time.Time
}

func (Wake) action() {}

// Scheduler holds the queued groups, the calls and the upstreams of one stage pool; it is not safe for concurrent use.
type Scheduler struct {
	config Config
	groups map[uint64]*group
	// queue holds the groups in the order of compareGroups.
	queue     []*group
	upstreams map[string]*upstream
	names     []string
	// absent holds the upstreams that are no longer listed but still have calls or results, by name. They may be listed again, as after an
	// evacuation, and then what they have counts.
	absent     map[string]*upstream
	calls      map[uint64]*call
	lastCallID uint64
	// itemTime is the moving average of the time for one item, in nanoseconds.
	itemTime float64
	// resultLifetime is the moving average of how long a result takes memory, in nanoseconds.
	resultLifetime float64
}

// group is a queued Group and the state of its items.
type group struct {
	Group
	// waiting holds the indexes of the items to be sent.
	waiting []int
	// sendCounts is how often each item was sent, by index.
	sendCounts map[int]int
	// sortKey orders the groups in the current Step.
	sortKey time.Time
}

// call is a call in flight.
type call struct {
	upstream *upstream
	items    []Item
	bytes    int64
	started  time.Time
	expected time.Duration
}

// New returns a scheduler without upstreams.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, groups: map[uint64]*group{}, upstreams: map[string]*upstream{}, absent: map[string]*upstream{}, calls: map[uint64]*call{},
		itemTime: float64(config.ItemTime), resultLifetime: float64(initialResultLifetime),
	}
}

// SetConfig replaces the configuration. A changed ItemTime replaces the moving average of the time for one item.
func (sc *Scheduler) SetConfig(config Config) {
	if config.ItemTime != sc.config.ItemTime {
		sc.itemTime = float64(config.ItemTime)
	}
	sc.config = config
}

// SetUpstreams replaces the upstreams; calls in flight to removed ones continue. The calls and results of an upstream that is removed and
// listed again count as before.
func (sc *Scheduler) SetUpstreams(list []Upstream) {
	fresh := map[string]*upstream{}
	sc.names = sc.names[:0]
	for _, one := range list {
		up, found := sc.upstreams[one.Name]
		if !found {
			up, found = sc.absent[one.Name]
			delete(sc.absent, one.Name)
		}
		if !found {
			up = &upstream{name: one.Name, slowdown: 1, results: map[string]result{}}
		}
		up.isLimited, up.callsPerSecond = one.IsLimited, one.CallsPerSecond
		fresh[one.Name] = up
		sc.names = append(sc.names, one.Name)
	}
	slices.Sort(sc.names)
	for name, up := range sc.upstreams {
		if fresh[name] == nil && (up.calls > 0 || len(up.results) > 0) {
			sc.absent[name] = up
		}
	}
	sc.upstreams = fresh
}

// pruneAbsent drops the absent upstreams that have no calls and no results left.
func (sc *Scheduler) pruneAbsent(now time.Time) {
	for name, up := range sc.absent {
		if up.calls == 0 && up.usedBytes(now) == 0 {
			delete(sc.absent, name)
		}
	}
}

// Submit enqueues a group.
func (sc *Scheduler) Submit(added Group) {
	gr := &group{Group: added, sendCounts: map[int]int{}}
	for index := range added.Count {
		gr.waiting = append(gr.waiting, index)
		if added.MayHaveRun {
			gr.sendCounts[index] = 1
		}
	}
	sc.groups[added.ID] = gr
	at, _ := slices.BinarySearchFunc(sc.queue, gr, compareGroups)
	sc.queue = slices.Insert(sc.queue, at, gr)
}

// rankOffset is how much each rank delays the due time that orders the queue.
const rankOffset = 400 * time.Millisecond

// virtualDeadline orders the queue. A lower priority only adds a delay, so that no group starves.
func (gr *group) virtualDeadline() time.Time {
	return gr.Due.Add(time.Duration(gr.Rank) * rankOffset)
}

func compareGroups(left, right *group) int {
	if order := left.virtualDeadline().Compare(right.virtualDeadline()); order != 0 {
		return order
	}
	return cmp.Compare(left.ID, right.ID)
}

// Remove removes a group whose results are no longer needed; its items in flight are not cancelled.
func (sc *Scheduler) Remove(id uint64) {
	if gr, found := sc.groups[id]; found {
		delete(sc.groups, id)
		sc.queue = slices.DeleteFunc(sc.queue, func(other *group) bool { return other == gr })
	}
}

// CallResult is the result of a call.
type CallResult struct {
	CallID  uint64
	Outcome Outcome
	// Results holds the handles of the results.
	Results map[Item]string
	// Unsent are the items that the upstream did not accept.
	Unsent []Item
	// Failed are the items that the upstream accepted and that have no result.
	Failed []Item
	// RetryAfter is when the upstream takes another call after OutcomeLimited.
	RetryAfter time.Duration
}

// Outcome is how a call ended, as far as it decides when the upstream gets further calls.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeAnswered is the outcome of a call that the upstream executed.
	OutcomeAnswered Outcome = iota
	// OutcomeFull is the outcome of a call for which the upstream lacked the capacity.
	OutcomeFull
	// OutcomeUnreachable is the outcome of a call for which no connection could be made.
	OutcomeUnreachable
	// OutcomeLimited is the outcome of a call that was not sent, since the upstream's rate limit allows none.
	OutcomeLimited
	// OutcomeFailed is the outcome of a call that returned no answer, or that reached another upstream.
	OutcomeFailed
)

// CallEnded updates the upstream of a call with its result and enqueues the items that have to be sent again.
func (sc *Scheduler) CallEnded(now time.Time, report CallResult) {
	ended, found := sc.calls[report.CallID]
	if !found {
		return
	}
	delete(sc.calls, report.CallID)
	sc.updateUpstream(now, ended, report)
	for item, handle := range report.Results {
		if gr := sc.groups[item.GroupID]; gr != nil {
			ended.upstream.addResult(handle, result{bytes: gr.ResultBytes, sentAt: ended.started, expiresAt: now.Add(sc.config.ResultTTL)})
		}
	}
	for _, item := range slices.Concat(report.Unsent, report.Failed) {
		if gr := sc.groups[item.GroupID]; gr != nil {
			gr.waiting = append(gr.waiting, item.Index)
		}
	}
	// Only an upstream without a connection, or without a call, got no items: those that an upstream refused have reached it,
	// and the retry budget counts that.
	notReached := report.Outcome == OutcomeUnreachable || report.Outcome == OutcomeLimited
	for _, item := range report.Unsent {
		if gr := sc.groups[item.GroupID]; gr != nil && notReached {
			gr.takeBackSend(item.Index)
		}
	}
}

// ResultReleased removes a result that was freed from the used memory of its upstream.
func (sc *Scheduler) ResultReleased(now time.Time, handle string) {
	for _, list := range []map[string]*upstream{sc.upstreams, sc.absent} {
		for _, up := range list {
			if freed, found := up.removeResult(handle); found {
				sc.resultLifetime += resultLifetimeWeight * (float64(now.Sub(freed.sentAt)) - sc.resultLifetime)
			}
		}
	}
}

// takeBackSend takes back one send of an item that did not reach an upstream.
func (gr *group) takeBackSend(index int) {
	gr.sendCounts[index]--
	if gr.sendCounts[index] <= 0 {
		delete(gr.sendCounts, index)
	}
}

// Step returns the actions that are due; retriesLeft bounds the items that may be sent again.
func (sc *Scheduler) Step(now time.Time, retriesLeft int) []Action {
	sc.pruneAbsent(now)
	actions := sc.dropExpired(now)
	order, infeasible := sc.dropInfeasible(now)
	actions = append(actions, infeasible...)
	wake := time.Time{}
	for _, name := range sc.upstreamsBySpeed(now) {
		up := sc.upstreams[name]
		if up.calls >= max(sc.config.Slots, 1) {
			continue
		}
		if until := up.unavailableUntil(); now.Before(until) {
			wake = earliest(wake, until)
			continue
		}
		if sc.waitingItems() == 0 {
			continue
		}
		if sc.waitingIsFaster(now, up) {
			wake = earliest(wake, now.Add(slowUpstreamRetry))
			continue
		}
		sent := sc.buildCall(now, up, order, &retriesLeft)
		if sent == nil {
			wake = earliest(wake, now.Add(capacityRetry))
			continue
		}
		actions = append(actions, *sent)
	}
	if sc.waitingItems() > 0 {
		wake = earliest(earliest(wake, sc.nextExpiry()), sc.nextLate(now))
	}
	if !wake.IsZero() {
		actions = append(actions, Wake{At: wake})
	}
	return actions
}

const (
	// capacityRetry is how long to wait before checking an upstream for free memory again.
	capacityRetry = 30 * time.Millisecond
	// slowUpstreamRetry is how long to wait before considering a slow upstream again.
	slowUpstreamRetry = 50 * time.Millisecond
)

// earliest returns the earlier of two times, where zero stands for no time.
func earliest(known, other time.Time) time.Time {
	if known.IsZero() || !other.IsZero() && other.Before(known) {
		return other
	}
	return known
}

// dropExpired removes groups with waiting items that no call can finish before they expire.
func (sc *Scheduler) dropExpired(now time.Time) []Action {
	actions := []Action{}
	for _, gr := range slices.Clone(sc.queue) {
		if len(gr.waiting) > 0 && now.Add(sc.config.CallTime).After(gr.Expires) {
			actions = append(actions, Drop{GroupID: gr.ID})
			sc.Remove(gr.ID)
		}
	}
	return actions
}

// dropInfeasible removes late groups that are not expected to be served, and returns the others in the order in which they
// are sent. Groups with sent items or with inputs stay, since work was already done for them.
func (sc *Scheduler) dropInfeasible(now time.Time) ([]*group, []Action) {
	order := sc.orderForCall(now)
	kept, actions := make([]*group, 0, len(order)), []Action{}
	areAllLimited, canSend := sc.areAllLimited(), sc.capacity(now).firstIdleIn == 0
	for index, wait := range sc.expectedWaits(now, order) {
		gr := order[index]
		// Behind rate limits the groups that are on time take all calls.
		isDenied := areAllLimited && !(canSend && len(kept) == 0)
		if len(gr.sendCounts) == 0 && !gr.HasInputs && sc.isLate(now, gr) && (isDenied || now.Add(wait).After(gr.Expires)) {
			actions = append(actions, Drop{GroupID: gr.ID})
			sc.Remove(gr.ID)
			continue
		}
		kept = append(kept, gr)
	}
	return kept, actions
}

// areAllLimited reports whether all upstreams have a rate limit.
func (sc *Scheduler) areAllLimited() bool {
	for _, up := range sc.upstreams {
		if !up.isLimited {
			return false
		}
	}
	return len(sc.upstreams) > 0
}

// nextExpiry returns when dropExpired will remove the next group.
func (sc *Scheduler) nextExpiry() time.Time {
	next := time.Time{}
	for _, gr := range sc.queue {
		if len(gr.waiting) > 0 {
			next = earliest(next, gr.Expires.Add(-sc.config.CallTime+time.Millisecond))
		}
	}
	return next
}

// nextLate returns when the next group becomes late that dropInfeasible may then remove behind a rate limit, or zero.
func (sc *Scheduler) nextLate(now time.Time) time.Time {
	next := time.Time{}
	if !sc.areAllLimited() {
		return next
	}
	for _, gr := range sc.queue {
		if len(gr.sendCounts) == 0 && !sc.isLate(now, gr) {
			next = earliest(next, sc.lateAt(gr).Add(time.Millisecond))
		}
	}
	return next
}

// waitingItems returns the number of items to be sent.
func (sc *Scheduler) waitingItems() int {
	count := 0
	for _, gr := range sc.queue {
		count += len(gr.waiting)
	}
	return count
}
