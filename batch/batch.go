package batch

import (
	"cmp"
	"slices"
	"time"
)

// Group is the items of one request's stage, which are waited for together.
type Group struct {
	ID    uint64
	Count int
	Rank  int
	// Due is when the results are wanted for the request to be on time, Expires when they are of no more use.
	Due         time.Time
	Expires     time.Time
	ResultBytes int64
	// MayHaveRun says that the items may have been sent before, by another instance.
	MayHaveRun bool
	// HasInputs says that results of earlier stages are kept for the group.
	HasInputs bool
}

// Item names one item of a group.
type Item struct {
	GroupID uint64
	Index   int
}

// Config describe the upstreams of the pool.
type Config struct {
	Slots          int
	MaxBatch       int
	CallTime       time.Duration
	ItemTime       time.Duration
	ResultCapacity int64
	ResultTTL      time.Duration
}

// Upstream is one that calls can be sent to.
type Upstream struct {
	Name string
}

// Action is what the pool asks for; Send, Drop and Wake are its variants.
type Action interface {
	action()
}

// Send asks for a call; Ended must follow with its number.
type Send struct {
	CallID           uint64
	Upstream         string
	Items            []Item
	ExpectedDuration time.Duration
	// RetriedItems is how many of the items were sent before.
	RetriedItems int
}

func (Send) action() {}

// Drop says that a group has no more chance to be finished in time.
type Drop struct {
	GroupID uint64
}

func (Drop) action() {}

// Wake asks for a Step at a time.
type Wake struct {
	At time.Time
}

func (Wake) action() {}

// Scheduler is the state of the calls of one stage pool; it is not safe for concurrent use.
type Scheduler struct {
	terms     Config
	groups    map[uint64]*group
	order     []*group
	upstreams map[string]*upstream
	names     []string
	calls     map[uint64]*call
	nextCall  uint64
	itemTime  float64
	// hold is for how long a result takes room, in nanoseconds.
	hold float64
}

// group is a Group with the items that are still to be sent.
type group struct {
	Group
	waiting []int
	sent    map[int]int
	// place is the time by which groups are ordered, as of the last look.
	place time.Time
}

// call is one call under way.
type call struct {
	upstream *upstream
	items    []Item
	bytes    int64
	started  time.Time
	expected time.Duration
}

// New returns a pool without upstreams.
func New(terms Config) *Scheduler {
	return &Scheduler{
		terms: terms, groups: map[uint64]*group{}, upstreams: map[string]*upstream{}, calls: map[uint64]*call{},
		itemTime: float64(terms.ItemTime), hold: float64(firstHold),
	}
}

// SetConfig replaces the description of the upstreams.
func (pl *Scheduler) SetConfig(terms Config) {
	if terms.ItemTime != pl.terms.ItemTime {
		pl.itemTime = float64(terms.ItemTime)
	}
	pl.terms = terms
}

// SetUpstreams replaces the upstreams; calls under way to others go on.
func (pl *Scheduler) SetUpstreams(list []Upstream) {
	fresh := map[string]*upstream{}
	pl.names = pl.names[:0]
	for _, one := range list {
		known, found := pl.upstreams[one.Name]
		if !found {
			known = &upstream{name: one.Name, factor: 1, results: map[string]result{}}
		}
		fresh[one.Name] = known
		pl.names = append(pl.names, one.Name)
	}
	slices.Sort(pl.names)
	pl.upstreams = fresh
}

// Submit enters a group.
func (pl *Scheduler) Submit(added Group) {
	entered := &group{Group: added, sent: map[int]int{}}
	for index := range added.Count {
		entered.waiting = append(entered.waiting, index)
		if added.MayHaveRun {
			entered.sent[index] = 1
		}
	}
	pl.groups[added.ID] = entered
	at, _ := slices.BinarySearchFunc(pl.order, entered, before)
	pl.order = slices.Insert(pl.order, at, entered)
}

// rankOffset is how much earlier than a request of the next lower rank one counts as due.
const rankOffset = 400 * time.Millisecond

// urgency is the time by which groups are ordered. A lower rank is only put off, so that none starves.
func (gr *group) urgency() time.Time {
	return gr.Due.Add(time.Duration(gr.Rank) * rankOffset)
}

func before(left, right *group) int {
	if order := left.urgency().Compare(right.urgency()); order != 0 {
		return order
	}
	return cmp.Compare(left.ID, right.ID)
}

// Remove forgets a group whose results are no longer wanted.
func (pl *Scheduler) Remove(ticket uint64) {
	if known, found := pl.groups[ticket]; found {
		delete(pl.groups, ticket)
		pl.order = slices.DeleteFunc(pl.order, func(other *group) bool { return other == known })
	}
}

// CallResult tells how a call went; Unsent are the items that the upstream did not take, Failed those that it ended
// without a result.
type CallResult struct {
	CallID  uint64
	Outcome Outcome
	Results map[Item]string
	Unsent  []Item
	Failed  []Item
}

// Outcome is how a call ended for the upstream's standing.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeAnswered is a call that the upstream worked on.
	OutcomeAnswered Outcome = iota
	// OutcomeFull is a call that the upstream had no room for.
	OutcomeFull
	// OutcomeUnreachable is a call for which there was no connection.
	OutcomeUnreachable
	// OutcomeFailed is a call without an answer.
	OutcomeFailed
)

// CallEnded takes note of a call's end and enters the items that have to be sent again.
func (pl *Scheduler) CallEnded(now time.Time, end CallResult) {
	ended, found := pl.calls[end.CallID]
	if !found {
		return
	}
	delete(pl.calls, end.CallID)
	pl.observe(now, ended, end.Outcome)
	for item, handle := range end.Results {
		if known := pl.groups[item.GroupID]; known != nil {
			ended.upstream.results[handle] = result{bytes: known.ResultBytes, since: ended.started, until: now.Add(pl.terms.ResultTTL)}
		}
	}
	for _, item := range slices.Concat(end.Unsent, end.Failed) {
		if known := pl.groups[item.GroupID]; known != nil {
			known.waiting = append(known.waiting, item.Index)
		}
	}
	for _, item := range end.Unsent {
		if known := pl.groups[item.GroupID]; known != nil && known.sent[item.Index] > 0 && end.Outcome == OutcomeUnreachable {
			known.sent[item.Index]--
		}
	}
}

// ResultReleased forgets a result that was freed.
func (pl *Scheduler) ResultReleased(now time.Time, handle string) {
	for _, one := range pl.upstreams {
		if known, found := one.results[handle]; found {
			pl.hold += holdWeight * (float64(now.Sub(known.since)) - pl.hold)
			delete(one.results, handle)
		}
	}
}

// Step returns what is to be done now; allowed bounds the items that may be sent a second time.
func (pl *Scheduler) Step(now time.Time, allowed int) []Action {
	actions := pl.dropExpired(now)
	order, hopeless := pl.dropHopeless(now)
	actions = append(actions, hopeless...)
	wake := time.Time{}
	for _, name := range pl.byReadiness(now) {
		one := pl.upstreams[name]
		if one.calls >= max(pl.terms.Slots, 1) {
			continue
		}
		if now.Before(one.outUntil) {
			wake = earliest(wake, one.outUntil)
			continue
		}
		if pl.waiting() == 0 {
			continue
		}
		if pl.betterElsewhere(now, one) {
			wake = earliest(wake, now.Add(slowRetry))
			continue
		}
		sent := pl.fill(now, one, order, &allowed)
		if sent == nil {
			wake = earliest(wake, now.Add(roomRetry))
			continue
		}
		actions = append(actions, *sent)
	}
	if pl.waiting() > 0 {
		wake = earliest(wake, pl.nextExpiry())
	}
	if !wake.IsZero() {
		actions = append(actions, Wake{At: wake})
	}
	return actions
}

const (
	// roomRetry is when to look again for room for results at an upstream.
	roomRetry = 30 * time.Millisecond
	// slowRetry is when to look again whether a slow upstream is worth a call.
	slowRetry = 50 * time.Millisecond
)

func earliest(known, other time.Time) time.Time {
	if known.IsZero() || !other.IsZero() && other.Before(known) {
		return other
	}
	return known
}

// dropExpired gives up groups that no call can finish in time any more.
func (pl *Scheduler) dropExpired(now time.Time) []Action {
	actions := []Action{}
	for _, known := range slices.Clone(pl.order) {
		if len(known.waiting) > 0 && now.Add(pl.terms.CallTime).After(known.Expires) {
			actions = append(actions, Drop{GroupID: known.ID})
			pl.Remove(known.ID)
		}
	}
	return actions
}

// dropHopeless gives up groups that can't be on time and whose turn will not come before they expire, and returns the
// others in the order of their turns. One that has begun, or that reads results, keeps its chance: work was done for it.
func (pl *Scheduler) dropHopeless(now time.Time) ([]*group, []Action) {
	order := pl.prefer(now)
	kept, actions := make([]*group, 0, len(order)), []Action{}
	for at, wait := range pl.waits(now, order) {
		known := order[at]
		if len(known.sent) == 0 && !known.HasInputs && pl.isLate(now, known) && now.Add(wait).After(known.Expires) {
			actions = append(actions, Drop{GroupID: known.ID})
			pl.Remove(known.ID)
			continue
		}
		kept = append(kept, known)
	}
	return kept, actions
}

func (pl *Scheduler) nextExpiry() time.Time {
	next := time.Time{}
	for _, known := range pl.order {
		if len(known.waiting) > 0 {
			next = earliest(next, known.Expires.Add(-pl.terms.CallTime+time.Millisecond))
		}
	}
	return next
}

// waiting counts the items that are not sent.
func (pl *Scheduler) waiting() int {
	count := 0
	for _, known := range pl.order {
		count += len(known.waiting)
	}
	return count
}
