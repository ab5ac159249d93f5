package gather

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/calibration"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// RetryBudget bounds how many items of a pool are sent again.
type RetryBudget interface {
	RecordRequest(pool string)
	Remaining(pool string) int
	Spend(pool string) bool
	// Refund returns one retry that was not sent.
	Refund(pool string)
}

// RateLimiter keeps the calls of all instances to an upstream within the rate limit that it announces.
type RateLimiter interface {
	// Acquire waits until a call may be made, at most maxWait, and returns the function to call with what its answer
	// announces. The error is ratelimit.Exceeded or that of ctx; then the call must not be made.
	Acquire(ctx context.Context, upstream *roster.Upstream, maxWait time.Duration) (func(notice.Notice), error)
	// Limits returns the limits in force, in requests per second.
	Limits() map[roster.Incarnation]float64
}

// View is the part of the configuration and of the upstreams' registrations that a Gatherer reads.
type View interface {
	Pool(name string) (route.Pool, bool)
	Upstreams(pool, failureDomain string) []*roster.Upstream
	// IsPoolEvacuated reports whether a pool has no usable upstream because failure domains are evacuated.
	IsPoolEvacuated(pool string) bool
	IsUsable(incarnation roster.Incarnation) bool
	Find(id string) *roster.Upstream
}

// Gatherer batches the items of jobs in one queue for each pool and failure domain; it is safe for concurrent use.
type Gatherer struct {
	view        View
	caller      Caller
	retryBudget RetryBudget
	limits      RateLimiter
	owns        func(key QueueKey) bool
	timers      *timer.Service
	events      *timeline.Ring

	mu     sync.Mutex
	queues map[QueueKey]*queue
	// waitingFrees holds the results to be freed at upstreams whose rate limit is used up, by the upstream's id.
	waitingFrees map[string]*waitingFree
	// slow holds the estimates of slow upstreams that this instance starts with if it becomes the owner of a queue.
	slow       slowReports
	ctx        context.Context
	background inflight.Group
	stopping   atomic.Bool
}

// QueueKey identifies the queue of one pool in one failure domain.
type QueueKey struct {
	Pool          string
	FailureDomain string
}

// Parts are the dependencies of a Gatherer.
type Parts struct {
	View        View
	Caller      Caller
	RetryBudget RetryBudget
	Limits      RateLimiter
	Timers      *timer.Service
	Events      *timeline.Ring
	// Owns reports whether this instance owns a queue.
	Owns func(key QueueKey) bool
}

// New returns a gatherer whose queues run until ctx ends.
func New(ctx context.Context, parts Parts) *Gatherer {
	return &Gatherer{
		view: parts.View, caller: parts.Caller, retryBudget: parts.RetryBudget, limits: parts.Limits, owns: parts.Owns,
		timers: parts.Timers, events: parts.Events, queues: map[QueueKey]*queue{}, waitingFrees: map[string]*waitingFree{}, ctx: ctx,
		slow: slowReports{byQueue: map[QueueKey]slowReport{}},
	}
}

// Run waits until ctx and all background calls have ended; done is closed at the end.
func (gt *Gatherer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	<-ctx.Done()
	gt.background.Wait()
}

// queue returns a queue, which it starts if necessary, or nil if the configuration has no such pool or sets no batching
// for it.
func (gt *Gatherer) queue(key QueueKey) *queue {
	pool, known := gt.view.Pool(key.Pool)
	if !known || pool.Batching == nil {
		return nil
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if found := gt.queues[key]; found != nil {
		return found
	}
	fresh := &queue{
		gatherer: gt, key: key, scheduler: batch.New(batchConfig(pool)), jobs: map[uint64]*pendingJob{}, wakeup: make(chan struct{}, 1),
		dueSoonFactor: calibration.New(), lowUrgencyFactor: calibration.New(),
	}
	gt.queues[key] = fresh
	gt.background.Go(func() { fresh.run(gt.ctx) })
	return fresh
}

func batchConfig(pool route.Pool) batch.Config {
	batching := pool.Batching
	return batch.Config{
		Slots: batching.Slots, MaxBatch: batching.MaxBatch, CallTime: batching.CallTime, ItemTime: batching.ItemTime,
		ResultCapacity: batching.ResultCapacity, ResultTTL: batching.ResultTTL,
	}
}

// ActiveLoads returns the loads of the queues to which jobs were submitted since the given time.
func (gt *Gatherer) ActiveLoads(since time.Time) map[QueueKey]Load {
	active := map[QueueKey]Load{}
	for _, each := range gt.allQueues() {
		if load, busy := each.load(since); busy {
			active[each.key] = load
		}
	}
	return active
}

// Ticket is an accepted job; Done delivers its result.
type Ticket struct {
	Wait  time.Duration
	Done  <-chan Result
	queue *queue
	id    uint64
}

// Cancel removes the job from its queue: items that were not sent yet never are.
func (tk *Ticket) Cancel() {
	tk.queue.cancel(tk.id)
}

// Drain refuses new jobs, returns to their clients those that were never sent, and waits until the others or ctx have
// ended.
func (gt *Gatherer) Drain(ctx context.Context) {
	gt.stopping.Store(true)
	for {
		jobsLeft := false
		for _, each := range gt.allQueues() {
			jobsLeft = each.drain() || jobsLeft
		}
		if !jobsLeft || gt.timers.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}

// drainPollInterval is how often Drain checks for jobs left.
const drainPollInterval = 20 * time.Millisecond

func (gt *Gatherer) allQueues() []*queue {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return slices.Collect(maps.Values(gt.queues))
}

// Submit enters a job in its queue in a failure domain, or returns Refused if its results can't be ready in time.
func (gt *Gatherer) Submit(failureDomain string, job Job) (*Ticket, *Refused) {
	found := gt.queue(QueueKey{Pool: job.Pool, FailureDomain: failureDomain})
	if found == nil {
		return nil, &Refused{Cause: fmt.Sprintf("the configuration has no stage pool %q", job.Pool)}
	}
	if gt.stopping.Load() {
		return nil, &Refused{Cause: causeNotOwner}
	}
	return found.submit(job)
}

// Load returns the expected waits in a queue, or zero waits if its pool has no queues.
func (gt *Gatherer) Load(key QueueKey) Load {
	found := gt.queue(key)
	if found == nil {
		return Load{}
	}
	load, _ := found.load(time.Time{})
	return load
}

// Upcoming returns the items that the requests in a queue will submit to other pools in later stages.
func (gt *Gatherer) Upcoming(key QueueKey) []PoolItems {
	if found := gt.queue(key); found != nil {
		return found.upcoming()
	}
	return nil
}

// hasQueue reports whether this instance has a queue.
func (gt *Gatherer) hasQueue(key QueueKey) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.queues[key] != nil
}

// Release frees results that the upstreams of a pool hold.
func (gt *Gatherer) Release(pool string, handles []string) {
	left := handles
	for _, each := range gt.allQueues() {
		if each.key.Pool == pool {
			left = each.release(left)
		}
	}
	if len(left) > 0 {
		gt.freeUntracked(pool, left)
	}
}
