package gather

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/calibration"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// queue holds the accepted jobs of one pool in one failure domain and makes the calls to its upstreams.
type queue struct {
	gatherer *Gatherer
	key      QueueKey
	wakeup   chan struct{}

	mu         sync.Mutex
	scheduler  *batch.Scheduler
	jobs       map[uint64]*pendingJob
	nextID     uint64
	lastSubmit time.Time
	// maxResultBytes is the largest size of one result of any job submitted so far.
	maxResultBytes int64
	// dueSoonFactor and lowUrgencyFactor multiply the scheduler's forecasts of the waits of jobs that are due soon and of
	// all other jobs. Each is the moving average of the ratio of the actual to the forecast wait.
	dueSoonFactor    *calibration.Factor
	lowUrgencyFactor *calibration.Factor
	// pendingFree holds handles of results to be freed, by upstream ID.
	pendingFree map[string][]string
	// resultUpstreams maps handles of results to upstream IDs.
	resultUpstreams map[string]string
	ownerCheckedAt  time.Time
	// notOwnerSince is when another instance was first seen as the owner, or zero while this one is.
	notOwnerSince time.Time
}

// pendingJob is an accepted job and its results so far.
type pendingJob struct {
	job            Job
	results        []ItemResult
	missingResults int
	failedItems    int
	submittedAt    time.Time
	// forecast is the wait expected at submission, already corrected by appliedFactor.
	forecast      time.Duration
	appliedFactor float64
	factor        *calibration.Factor
	done          chan Result
}

// maxFailedItems is how many failed items of a job are sent again; the next failure ends the job.
const maxFailedItems = 3

func (qu *queue) submit(job Job) (*Ticket, *Refused) {
	now := qu.gatherer.timers.Now()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.maxResultBytes = max(qu.maxResultBytes, job.ResultBytes)
	qu.refresh()
	if now.Sub(qu.lastSubmit) > handoverTime {
		qu.scheduler.AdoptSlowdowns(now, qu.gatherer.slow.get(now, qu.key))
	}
	group := batch.Group{
		Count: job.Count, Rank: job.Rank, Due: job.Due, Expires: job.Expires, ResultBytes: job.ResultBytes,
		HasInputs: len(job.Inputs) > 0, MayHaveRun: job.MayHaveRun,
	}
	factor := qu.lowUrgencyFactor
	if job.Due.Sub(now) < dueSoonThreshold {
		factor = qu.dueSoonFactor
	}
	wait := factor.Apply(now, qu.scheduler.ExpectedWait(now, group))
	if now.Add(wait).After(job.Expires) {
		return nil, &Refused{Wait: wait, Cause: fmt.Sprintf("expected wait of %d ms exceeds the time left", wait.Milliseconds())}
	}
	if remaining := qu.gatherer.retryBudget.Remaining(job.Pool); job.MayHaveRun && job.Count > remaining {
		return nil, &Refused{Wait: wait, Cause: fmt.Sprintf("retry budget of the pool has %d sends left for %d items", remaining, job.Count)}
	}
	qu.nextID++
	id := qu.nextID
	accepted := &pendingJob{job: job, results: make([]ItemResult, job.Count), missingResults: job.Count, done: make(chan Result, 1)}
	accepted.submittedAt, accepted.forecast, accepted.factor, accepted.appliedFactor = now, wait, factor, factor.Value(now)
	qu.jobs[id] = accepted
	qu.lastSubmit = now
	qu.gatherer.retryBudget.RecordRequest(job.Pool)
	group.ID = id
	qu.scheduler.Submit(group)
	qu.signal()
	return &Ticket{Wait: wait, Done: accepted.done, queue: qu, id: id}, nil
}

// cancel removes a job and frees the results made so far.
func (qu *queue) cancel(id uint64) {
	qu.mu.Lock()
	pending := qu.jobs[id]
	delete(qu.jobs, id)
	qu.scheduler.Remove(id)
	qu.mu.Unlock()
	if pending == nil {
		return
	}
	handles := []string{}
	for _, one := range pending.results {
		if one.Handle != "" {
			handles = append(handles, one.Handle)
		}
	}
	qu.release(handles)
}

// upcoming returns the items that the requests of the queued jobs will submit to other pools in later stages.
func (qu *queue) upcoming() []PoolItems {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	sums := map[string]PoolItems{}
	for _, each := range qu.jobs {
		for _, later := range each.job.LaterItems {
			sum := sums[later.Pool]
			sum.Pool = later.Pool
			sum.Items += later.Items
			if each.factor == qu.dueSoonFactor {
				sum.DueSoon += later.Items
			}
			sums[later.Pool] = sum
		}
	}
	list := []PoolItems{}
	for _, pool := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, sums[pool])
	}
	return list
}

// load returns the expected waits of new jobs, or false if no job was submitted since the given time.
func (qu *queue) load(since time.Time) (Load, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.lastSubmit.Before(since) {
		return Load{}, false
	}
	now := qu.gatherer.timers.Now()
	dueSoon, lowUrgency := now.Add(dueSoonProbe), now.Add(lowUrgencyProbe)
	return Load{
		DueSoonWait:    qu.dueSoonFactor.Apply(now, qu.scheduler.ExpectedWait(now, batch.Group{Count: 1, Due: dueSoon, Expires: dueSoon})),
		LowUrgencyWait: qu.lowUrgencyFactor.Apply(now, qu.scheduler.ExpectedWait(now, batch.Group{Count: 1, Due: lowUrgency, Expires: lowUrgency})),
		LargeResultWait: qu.dueSoonFactor.Apply(now, qu.scheduler.ExpectedWait(now, batch.Group{
			Count: largeJobItems, Due: dueSoon, Expires: dueSoon, ResultBytes: qu.maxResultBytes,
		})),
		LargeResultBytes: qu.maxResultBytes,
		Slow:             qu.scheduler.SlowUpstreams(now),
	}, true
}

// dueSoonThreshold is the time until its due time below which a job counts as due soon.
const dueSoonThreshold = 1500 * time.Millisecond

const (
	// dueSoonProbe and lowUrgencyProbe are the times until the due times of the hypothetical jobs whose waits load
	// reports; with lowUrgencyProbe a job is behind all others in the queue.
	dueSoonProbe    = time.Second
	lowUrgencyProbe = time.Minute
	// largeJobItems is the item count of the hypothetical job with large results.
	largeJobItems = 3
)

// signal makes run dispatch again without waiting for its timer.
func (qu *queue) signal() {
	select {
	case qu.wakeup <- struct{}{}:
	default:
	}
}

// refresh updates the scheduler with the pool's configuration and its registered upstreams.
func (qu *queue) refresh() {
	if pool, known := qu.gatherer.view.Pool(qu.key.Pool); known && pool.Batching != nil {
		qu.scheduler.SetConfig(batchConfig(pool))
	}
	list := []batch.Upstream{}
	limits := qu.gatherer.limits.Limits()
	for _, up := range qu.gatherer.view.Upstreams(qu.key.Pool, qu.key.FailureDomain) {
		limit, limited := limits[up.Incarnation()]
		list = append(list, batch.Upstream{Name: upstreamName(up), IsLimited: limited, CallsPerSecond: runShare * limit})
	}
	qu.scheduler.SetUpstreams(list)
}

// runShare is the part of the calls to an upstream that run items; the others free their results.
const runShare = 0.5

// upstreamName returns a name that differs between incarnations of an upstream.
func upstreamName(up *roster.Upstream) string {
	return joinName(up.ID, up.StartUnixMs)
}

// run dispatches whenever it is signalled or a wake-up time passes, until ctx ends.
func (qu *queue) run(ctx context.Context) {
	for {
		wake := qu.dispatch(ctx)
		if wake <= 0 {
			select {
			case <-ctx.Done():
				return
			case <-qu.wakeup:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-qu.wakeup:
		case <-qu.gatherer.timers.After(wake):
		}
	}
}

// minWakeInterval bounds how often run dispatches without a signal.
const minWakeInterval = 2 * time.Millisecond

// dispatch executes the scheduler's actions and returns the time until the next dispatch, or 0 to wait for a signal.
func (qu *queue) dispatch(ctx context.Context) time.Duration {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.refresh()
	wake := time.Duration(0)
	now := qu.gatherer.timers.Now()
	if len(qu.jobs) > 0 {
		if !qu.scheduler.HasUsableUpstream(now) || qu.scheduler.IsLimited(now) {
			qu.failOver()
		}
		qu.returnJobsIfNotOwner(now)
		wake = ownerCheckInterval
	}
	for _, action := range qu.scheduler.Step(now, qu.gatherer.retryBudget.Remaining(qu.key.Pool)) {
		switch action := action.(type) {
		case batch.Send:
			qu.send(ctx, action)
		case batch.Drop:
			qu.complete(action.GroupID, Unfinished{Cause: "no time left"})
		case batch.Wake:
			wake = min(max(action.At.Sub(now), minWakeInterval), ownerCheckInterval)
		}
	}
	return wake
}

// failOver returns the jobs to their clients if another failure domain has upstreams of the pool, one of them without a rate
// limit if those of this one are limited. It also returns them if all upstreams of the pool are in evacuated failure domains, since
// waiting for one is of no use then.
func (qu *queue) failOver() {
	if qu.gatherer.view.IsPoolEvacuated(qu.key.Pool) {
		qu.returnJobs(causeNoUpstream)
		return
	}
	limits, wantsUnlimited := qu.gatherer.limits.Limits(), qu.scheduler.HasUsableUpstream(qu.gatherer.timers.Now())
	for _, up := range qu.gatherer.view.Upstreams(qu.key.Pool, "") {
		_, limited := limits[up.Incarnation()]
		if up.FailureDomain != qu.key.FailureDomain && !(wantsUnlimited && limited) {
			qu.returnJobs(causeNoUpstream)
			return
		}
	}
}

const (
	// ownerCheckInterval is how often a queue with jobs looks up its owner.
	ownerCheckInterval = 250 * time.Millisecond
	// ownerChangeDelay is how long another instance must be the owner before jobs are returned: instances see a
	// membership change at different times.
	ownerChangeDelay = 400 * time.Millisecond
)

// returnJobsIfNotOwner returns jobs to their clients when another instance has become the queue's owner.
func (qu *queue) returnJobsIfNotOwner(now time.Time) {
	if now.Sub(qu.ownerCheckedAt) < ownerCheckInterval {
		return
	}
	qu.ownerCheckedAt = now
	switch {
	case qu.gatherer.owns(qu.key):
		qu.notOwnerSince = time.Time{}
	case qu.notOwnerSince.IsZero():
		qu.notOwnerSince = now
	case now.Sub(qu.notOwnerSince) >= ownerChangeDelay:
		qu.notOwnerSince = now
		qu.returnJobs(causeNotOwner)
	}
}

// drain returns to their clients the jobs that were never sent, and reports whether others are left.
func (qu *queue) drain() bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.returnJobs(causeNotOwner)
	return len(qu.jobs) > 0
}

// returnJobs ends the jobs that have no items in flight, so that their clients submit them to another queue. Items that
// were sent before count against the retry budget there: on a change of owner, only jobs that were never sent are returned.
func (qu *queue) returnJobs(cause string) {
	for id := range qu.jobs {
		sent := qu.scheduler.WasSent(id)
		if qu.scheduler.IsInFlight(id) || sent && cause == causeNotOwner {
			continue
		}
		qu.complete(id, Unfinished{Cause: cause, MayHaveRun: sent})
	}
}

// complete removes a job and delivers its result; an Unfinished gets the results made so far.
func (qu *queue) complete(id uint64, result Result) {
	ended := qu.jobs[id]
	if ended == nil {
		return
	}
	delete(qu.jobs, id)
	qu.scheduler.Remove(id)
	if unfinished, is := result.(Unfinished); is {
		unfinished.Results = ended.results
		result = unfinished
	}
	ended.done <- result
}

const (
	// A call times out after callTimeoutFactor times its expected duration plus callTimeoutMargin.
	callTimeoutFactor = 6
	callTimeoutMargin = 700 * time.Millisecond
)

// send spends the retry budget for the items that are sent again and makes the call in the background.
func (qu *queue) send(ctx context.Context, action batch.Send) {
	for range action.RetriedItems {
		qu.gatherer.retryBudget.Spend(qu.key.Pool)
	}
	now := qu.gatherer.timers.Now()
	up := qu.findUpstream(action.Upstream)
	items := []Item{}
	for _, item := range action.Items {
		items = append(items, qu.newItem(now, item))
	}
	if up == nil || !qu.gatherer.view.IsUsable(up.Incarnation()) {
		qu.scheduler.CallEnded(now, batch.CallResult{CallID: action.CallID, Outcome: batch.OutcomeUnreachable, Unsent: action.Items})
		qu.signal()
		return
	}
	qu.gatherer.events.Record(&wire.Event{
		Kind: wire.EventKind_EventBatchSent, Upstream: up.ID, Stage: qu.key.Pool, Attempt: int64(len(items)),
		RequestId: items[0].RequestID, Detail: fmt.Sprintf("expected=%dms repeated=%d", action.ExpectedDuration.Milliseconds(), action.RetriedItems),
	})
	qu.gatherer.background.Go(func() {
		limited, cancel := context.WithTimeout(ctx, callTimeoutFactor*action.ExpectedDuration+callTimeoutMargin)
		defer cancel()
		outcome := qu.gatherer.runItems(limited, up, items)
		qu.callEnded(up, action, outcome, qu.gatherer.timers.Now().Sub(now))
	})
}

func (qu *queue) findUpstream(name string) *roster.Upstream {
	for _, up := range qu.gatherer.view.Upstreams(qu.key.Pool, qu.key.FailureDomain) {
		if upstreamName(up) == name {
			return up
		}
	}
	return nil
}

func (qu *queue) newItem(now time.Time, item batch.Item) Item {
	job := qu.jobs[item.GroupID].job
	return Item{
		RequestID: job.RequestID, Stage: job.Stage, Index: item.Index, Key: job.Key, Inputs: job.Inputs,
		Remaining: max(job.Expires.Sub(now), time.Millisecond),
	}
}

// callEnded records the results of a call, reports its outcome to the scheduler, and completes the finished jobs.
func (qu *queue) callEnded(up *roster.Upstream, action batch.Send, outcome Outcome, took time.Duration) {
	qu.gatherer.events.Record(&wire.Event{
		Kind: wire.EventKind_EventBatchEnded, Upstream: up.ID, Stage: qu.key.Pool, Attempt: int64(len(action.Items)),
		Outcome: outcomeName(outcome), Detail: outcomeDetail(outcome), DurationMicros: took.Microseconds(),
	})
	qu.mu.Lock()
	defer qu.mu.Unlock()
	now := qu.gatherer.timers.Now()
	end := batch.CallResult{CallID: action.CallID, Results: map[batch.Item]string{}}
	switch outcome := outcome.(type) {
	case Ran:
		qu.recordResults(up, action.Items, outcome.Results, &end)
	case NotRun:
		end.Outcome, end.Unsent = batch.OutcomeFull, action.Items
		if outcome.Misdirected {
			end.Outcome = batch.OutcomeFailed
		}
	case NotSent:
		end.Outcome, end.Unsent = batch.OutcomeUnreachable, action.Items
	case Limited:
		end.Outcome, end.Unsent, end.RetryAfter = batch.OutcomeLimited, action.Items, outcome.RetryAfter
		for range action.RetriedItems {
			qu.gatherer.retryBudget.Refund(qu.key.Pool)
		}
	case Lost:
		end.Outcome, end.Failed = batch.OutcomeFailed, action.Items
	}
	qu.scheduler.CallEnded(now, end)
	if end.Outcome == batch.OutcomeFull {
		qu.queryAvailableBytes(up)
	}
	for _, item := range action.Items {
		if pending := qu.jobs[item.GroupID]; pending != nil && pending.missingResults == 0 {
			pending.factor.Observe(now, pending.forecast, now.Sub(pending.submittedAt), pending.appliedFactor)
			qu.complete(item.GroupID, Finished{Results: pending.results})
		}
	}
	qu.signal()
}
