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

// Pool assigns the calls of concurrent requests to the upstreams of one pool. Its lock is held only while the
// dispatcher decides, never during I/O.
type Pool struct {
	timers     *timer.Service
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	prober     Prober
	waiters    map[uint64]chan dispatch.Action
	wake       chan struct{}
	upstreams  map[string]*document.Upstream
}

// New returns a pool for a dispatcher without upstreams. Run must be running so that expired requests are refused
// on time, and Probe so that ejected upstreams can be used again.
func New(timers *timer.Service, dispatcher *dispatch.Dispatcher, prober Prober) *Pool {
	dispatcher.RequireProbe()
	return &Pool{
		timers: timers, dispatcher: dispatcher, prober: prober, waiters: map[uint64]chan dispatch.Action{},
		wake: make(chan struct{}, 1), upstreams: map[string]*document.Upstream{},
	}
}

// Outcome is how Acquire ended; Granted, Refused and Abandoned are its variants.
type Outcome interface {
	outcome()
}

// Granted allows the call to the upstream, as of the time At; Pool.Finish must follow.
type Granted struct {
	Upstream *document.Upstream
	At       time.Time
}

func (Granted) outcome() {}

// Refused reports that the request is refused. RetryAfter estimates the time after which a retry may succeed.
type Refused struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

func (Refused) outcome() {}

// Abandoned reports that the context ended before a decision.
type Abandoned struct{}

func (Abandoned) outcome() {}

// Acquire waits until the request may be sent or is refused, or until ctx ends. The request's ID must be unique
// among those of the pool that wait or run.
func (pl *Pool) Acquire(ctx context.Context, request dispatch.Request) Outcome {
	waiter := pl.submit(request)
	select {
	case action := <-waiter:
		return pl.toOutcome(action)
	case <-ctx.Done():
		return pl.cancel(request.ID, waiter)
	}
}

func (pl *Pool) submit(request dispatch.Request) chan dispatch.Action {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	waiter := make(chan dispatch.Action, 1)
	pl.waiters[request.ID] = waiter
	pl.deliver(pl.dispatcher.Submit(pl.timers.Now(), request, nil))
	return waiter
}

// cancel withdraws a request. If the dispatcher has started it in the meantime, its call is finished as cancelled.
func (pl *Pool) cancel(id uint64, waiter chan dispatch.Action) Outcome {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.dispatcher.Cancel(id) {
		delete(pl.waiters, id)
		return Abandoned{}
	}
	if start, started := (<-waiter).(dispatch.Start); started {
		result := dispatch.CallResult{ID: id, Upstream: start.Upstream, Status: dispatch.Cancelled, Load: -1}
		pl.deliver(pl.dispatcher.Finish(pl.timers.Now(), result, nil))
	}
	return Abandoned{}
}

func (pl *Pool) toOutcome(action dispatch.Action) Outcome {
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

// deliver sends each action to the Acquire call that waits for it.
func (pl *Pool) deliver(actions []dispatch.Action) {
	for _, action := range actions {
		id := uint64(0)
		switch decided := action.(type) {
		case dispatch.Start:
			id = decided.ID
		case dispatch.Refuse:
			id = decided.ID
		}
		if waiter, found := pl.waiters[id]; found {
			delete(pl.waiters, id)
			waiter <- action
		}
	}
	if pl.dispatcher.Waiting() > 0 {
		pl.wakeRun()
	}
}

// wakeRun wakes Run, which sleeps while no request waits; it does not block.
func (pl *Pool) wakeRun() {
	select {
	case pl.wake <- struct{}{}:
	default:
	}
}

// Finish records the end of a granted call.
func (pl *Pool) Finish(result dispatch.CallResult) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deliver(pl.dispatcher.Finish(pl.timers.Now(), result, nil))
}

// Hedge returns an upstream for a second call of a running request, or nil if no upstream has capacity or the
// retry budget is spent. Finish must follow for this call too.
func (pl *Pool) Hedge(id uint64) *document.Upstream {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, action := range pl.dispatcher.Hedge(pl.timers.Now(), id, nil) {
		if start, started := action.(dispatch.Start); started {
			return pl.upstreams[start.Upstream]
		}
	}
	return nil
}

// SpendRetry takes one retry from the pool's retry budget and reports whether the budget allowed it.
func (pl *Pool) SpendRetry() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.dispatcher.SpendRetry()
}

// Estimate returns the expected wait and service time of a new request of the organisation.
func (pl *Pool) Estimate(rank int, organisation string, weight int64) dispatch.Estimate {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.dispatcher.Estimate(pl.timers.Now(), rank, organisation, weight)
}

// Reserve counts an admitted request, which is still in an earlier stage, as work of this pool. The returned
// function removes it again and may be called more than once.
func (pl *Pool) Reserve(rank int, organisation string, weight int64) func() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ticket := pl.dispatcher.Reserve(rank, organisation, weight)
	once := sync.Once{}
	return func() { once.Do(func() { pl.unreserve(ticket) }) }
}

func (pl *Pool) unreserve(ticket fairqueue.Ticket) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.dispatcher.Unreserve(ticket)
}

// Update applies the pool's settings, its upstreams and the ranks from a document.
func (pl *Pool) Update(config *document.Pool, ranks []*document.Rank) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, up := range config.Upstreams {
		pl.upstreams[up.Name] = up
	}
	pl.deliver(pl.dispatcher.Update(pl.timers.Now(), config, ranks, nil))
}

// SetLiveInstances sets the number of live instances, this one included.
func (pl *Pool) SetLiveInstances(liveInstances int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.dispatcher.SetLiveInstances(liveInstances)
}

// MarkLeaving excludes an upstream's incarnation, and earlier ones, from new calls; calls in flight continue.
func (pl *Pool) MarkLeaving(name string, incarnation int64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.dispatcher.MarkLeaving(name, incarnation)
}

// Status is the state of one upstream as operators see it.
type Status struct {
	Upstream string
	InFlight int64
	Limit    int64
	Leaving  bool
	Ejected  bool
}

// Statuses returns the status of every upstream, and the number of waiting requests.
func (pl *Pool) Statuses() ([]Status, int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := []Status{}
	for _, cd := range pl.dispatcher.Candidates() {
		list = append(list, pl.status(cd))
	}
	return list, pl.dispatcher.Waiting()
}

func (pl *Pool) status(cd *choice.Candidate) Status {
	return Status{
		Upstream: cd.Name, InFlight: cd.InFlight, Limit: cd.Limit.Current(),
		Leaving: cd.Leaving, Ejected: cd.IsEjected(pl.timers.Now()),
	}
}

// maxTickInterval is the longest time between two ticks while requests wait. An ejection ends without an event, so
// waiting for the next expiry alone could leave a usable upstream idle.
const maxTickInterval = 20 * time.Millisecond

// Run refuses waiting requests when they expire and starts those that can run after an ejection has ended, until
// ctx ends; it closes done at the end.
func (pl *Pool) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-pl.wake:
		}
		if pl.timers.Sleep(ctx, pl.untilNextTick()) != nil {
			return
		}
		pl.tick()
	}
}

// untilNextTick returns the time until the next tick is due, or 0 if no request waits.
func (pl *Pool) untilNextTick() time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	next, found := pl.dispatcher.NextExpiry()
	if !found {
		return 0
	}
	return min(max(next.Sub(pl.timers.Now())+time.Microsecond, 0), maxTickInterval)
}

func (pl *Pool) tick() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deliver(pl.dispatcher.Tick(pl.timers.Now(), nil))
}
