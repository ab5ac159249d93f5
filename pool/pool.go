package pool

import (
	"context"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/choice"
	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/fairqueue"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Pool hands out calls on the upstreams of one pool. Its lock is held for decisions only, never over I/O.
type Pool struct {
	timers    *timer.Service
	mu        sync.Mutex
	decider   *dispatch.Dispatcher
	prober    Prober
	waiters   map[uint64]chan dispatch.Action
	wake      chan struct{}
	upstreams map[string]*document.Upstream
}

// New returns a pool around a dispatcher; Run must be running for late work to be refused on time, and Probe
// for upstreams that were ejected to come back.
func New(timers *timer.Service, decider *dispatch.Dispatcher, prober Prober) *Pool {
	decider.RequireProbe()
	return &Pool{
		timers: timers, decider: decider, prober: prober, waiters: map[uint64]chan dispatch.Action{},
		wake: make(chan struct{}, 1), upstreams: map[string]*document.Upstream{},
	}
}

// Outcome is how a wait ended; Granted, Refused and Abandoned are its variants.
type Outcome interface {
	outcome()
}

// Granted says that the call may go to the upstream; Finish must follow.
type Granted struct {
	Upstream *document.Upstream
	At       time.Time
}

func (Granted) outcome() {}

// Refused says that the pool gave up on the request.
type Refused struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

func (Refused) outcome() {}

// Abandoned says that the context ended first.
type Abandoned struct{}

func (Abandoned) outcome() {}

// Acquire waits until the request may be sent, is refused, or its context ends.
func (pl *Pool) Acquire(ctx context.Context, request dispatch.Request) Outcome {
	waiter := pl.submit(request)
	select {
	case action := <-waiter:
		return pl.outcome(action)
	case <-ctx.Done():
		return pl.abandon(request.ID, waiter)
	}
}

func (pl *Pool) submit(request dispatch.Request) chan dispatch.Action {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	waiter := make(chan dispatch.Action, 1)
	pl.waiters[request.ID] = waiter
	pl.deliver(pl.decider.Submit(pl.timers.Now(), request, nil))
	return waiter
}

// abandon takes a request back; a start that was decided meanwhile is undone.
func (pl *Pool) abandon(id uint64, waiter chan dispatch.Action) Outcome {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.decider.Cancel(id) {
		delete(pl.waiters, id)
		return Abandoned{}
	}
	if start, started := (<-waiter).(dispatch.Start); started {
		result := dispatch.CallResult{ID: id, Upstream: start.Upstream, Status: dispatch.Cancelled, Load: -1}
		pl.deliver(pl.decider.Finish(pl.timers.Now(), result, nil))
	}
	return Abandoned{}
}

func (pl *Pool) outcome(action dispatch.Action) Outcome {
	switch decided := action.(type) {
	case dispatch.Start:
		pl.mu.Lock()
		defer pl.mu.Unlock()
		return Granted{Upstream: pl.upstreams[decided.Upstream], At: pl.timers.Now()}
	case dispatch.Refuse:
		return Refused{Reason: decided.Reason, RetryAfter: decided.RetryAfter}
	default:
		return Abandoned{}
	}
}

// deliver hands each decision to the request that waits for it.
func (pl *Pool) deliver(actions []dispatch.Action) {
	for _, action := range actions {
		id := uint64(0)
		switch decided := action.(type) {
		case dispatch.Start:
			id = decided.ID
		case dispatch.Refuse:
			id = decided.ID
		}
		if waiter, waits := pl.waiters[id]; waits {
			delete(pl.waiters, id)
			waiter <- action
		}
	}
	if pl.decider.Waiting() > 0 {
		pl.signal()
	}
}

func (pl *Pool) signal() {
	select {
	case pl.wake <- struct{}{}:
	default:
	}
}

// Finish books the end of a granted call.
func (pl *Pool) Finish(result dispatch.CallResult) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deliver(pl.decider.Finish(pl.timers.Now(), result, nil))
}

// Hedge asks for a second upstream for a running request and returns it, or nil.
func (pl *Pool) Hedge(id uint64) *document.Upstream {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, action := range pl.decider.Hedge(pl.timers.Now(), id, nil) {
		if start, started := action.(dispatch.Start); started {
			return pl.upstreams[start.Upstream]
		}
	}
	return nil
}

// SpendRetry spends one retry of the pool's budget and reports whether there was one.
func (pl *Pool) SpendRetry() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.decider.SpendRetry()
}

// Estimate returns what a new request would meet.
func (pl *Pool) Estimate(rank int, organisation string, weight int64) dispatch.Estimate {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.decider.Estimate(pl.timers.Now(), rank, organisation, weight)
}

// Reserve counts an admitted request on its way to this pool; the returned function takes it back and may
// be called more than once.
func (pl *Pool) Reserve(rank int, organisation string, weight int64) func() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ticket := pl.decider.Reserve(rank, organisation, weight)
	done := sync.Once{}
	return func() { done.Do(func() { pl.unreserve(ticket) }) }
}

func (pl *Pool) unreserve(ticket fairqueue.Ticket) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.decider.Unreserve(ticket)
}

// Update takes over the pool's part of a document.
func (pl *Pool) Update(part *document.Pool, ranks []*document.Rank) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, up := range part.Upstreams {
		pl.upstreams[up.Name] = up
	}
	pl.deliver(pl.decider.Update(pl.timers.Now(), part, ranks, nil))
}

// SetLiveInstances takes note of how many instances are live, this one included.
func (pl *Pool) SetLiveInstances(peers int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.decider.SetLiveInstances(peers)
}

// MarkLeaving takes an upstream's incarnation out of use.
func (pl *Pool) MarkLeaving(name string, incarnation int64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.decider.MarkLeaving(name, incarnation)
}

// Status is what an operator sees of one upstream.
type Status struct {
	Upstream string
	InFlight int64
	Limit    int64
	Leaving  bool
	Ejected  bool
}

// Statuses returns the state of every upstream and the number of waiting requests.
func (pl *Pool) Statuses() ([]Status, int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := []Status{}
	for _, cd := range pl.decider.Candidates() {
		list = append(list, pl.status(cd))
	}
	return list, pl.decider.Waiting()
}

func (pl *Pool) status(cd *choice.Candidate) Status {
	return Status{
		Upstream: cd.Name, InFlight: cd.InFlight, Limit: cd.Limit.Current(),
		Leaving: cd.Leaving, Ejected: cd.IsEjected(pl.timers.Now()),
	}
}

// maxPause is the longest time between two looks at waiting work: an ejection may end without an event.
const maxPause = 20 * time.Millisecond

// Run refuses waiting work when it becomes too late, until ctx ends; done is closed at the end.
func (pl *Pool) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-pl.wake:
		}
		if pl.timers.Sleep(ctx, pl.pause()) != nil {
			return
		}
		pl.tick()
	}
}

// pause is how long the next look may wait.
func (pl *Pool) pause() time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	next, found := pl.decider.NextExpiry()
	if !found {
		return 0
	}
	return min(max(next.Sub(pl.timers.Now())+time.Microsecond, 0), maxPause)
}

func (pl *Pool) tick() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deliver(pl.decider.Tick(pl.timers.Now(), nil))
}
