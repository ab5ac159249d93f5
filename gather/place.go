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

// place is the calls to the upstreams of one pool in one failure domain.
type place struct {
	gatherer *Gatherer
	at       QueueKey
	kick     chan struct{}

	mu       sync.Mutex
	pool     *batch.Scheduler
	jobs     map[uint64]*job
	next     uint64
	lastWork time.Time
	// largeBytes is the size of the largest results that work here has.
	largeBytes int64
	// soonFactor and lastFactor correct the forecasts for items that are due soon and for the others.
	soonFactor *calibration.Factor
	lastFactor *calibration.Factor
	toFree     map[string][]string
	makers     map[string]string
	// checkedAt is when the place's owner was looked up, othersSince is since when it is another instance, or zero.
	checkedAt   time.Time
	othersSince time.Time
}

// job is one work that was accepted.
type job struct {
	work    Job
	results []ItemResult
	missing int
	errors  int
	// forecast is the wait that was expected when the work came, corrected by applied.
	began    time.Time
	forecast time.Duration
	applied  float64
	factor   *calibration.Factor
	done     chan Result
}

// maxItemErrors is how many items of one work may fail before the work does.
const maxItemErrors = 3

func (pc *place) submit(work Job) (*Ticket, *Refused) {
	now := pc.gatherer.timers.Now()
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.largeBytes = max(pc.largeBytes, work.ResultBytes)
	pc.refresh()
	group := batch.Group{
		Count: work.Count, Rank: work.Rank, Due: work.Due, Expires: work.Expires, ResultBytes: work.ResultBytes,
		HasInputs: len(work.Inputs) > 0, MayHaveRun: work.MayHaveRun,
	}
	factor := pc.lastFactor
	if work.Due.Sub(now) < patientHorizon {
		factor = pc.soonFactor
	}
	wait := factor.Apply(now, pc.pool.ExpectedWait(now, group))
	if now.Add(wait).After(work.Expires) {
		return nil, &Refused{Wait: wait, Cause: fmt.Sprintf("wait of %d ms", wait.Milliseconds())}
	}
	if left := pc.gatherer.repeats.Remaining(work.Pool); work.MayHaveRun && work.Count > left {
		return nil, &Refused{Wait: wait, Cause: fmt.Sprintf("%d repeated sends left", left)}
	}
	pc.next++
	id := pc.next
	accepted := &job{work: work, results: make([]ItemResult, work.Count), missing: work.Count, done: make(chan Result, 1)}
	accepted.began, accepted.forecast, accepted.factor, accepted.applied = now, wait, factor, factor.Value(now)
	pc.jobs[id] = accepted
	pc.lastWork = now
	pc.gatherer.repeats.RecordRequest(work.Pool)
	group.ID = id
	pc.pool.Submit(group)
	pc.signal()
	return &Ticket{Wait: wait, Done: accepted.done, place: pc, id: id}, nil
}

// withdraw gives a job up and frees the results that were made of it.
func (pc *place) withdraw(id uint64) {
	pc.mu.Lock()
	known := pc.jobs[id]
	delete(pc.jobs, id)
	pc.pool.Remove(id)
	pc.mu.Unlock()
	if known == nil {
		return
	}
	made := []string{}
	for _, one := range known.results {
		if one.Handle != "" {
			made = append(made, one.Handle)
		}
	}
	pc.release(made)
}

// upcoming returns the items that the requests at this place will need of other pools.
func (pc *place) upcoming() []PoolItems {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	sums := map[string]PoolItems{}
	for _, each := range pc.jobs {
		for _, later := range each.work.LaterItems {
			sum := sums[later.Pool]
			sum.Pool = later.Pool
			sum.Items += later.Items
			if each.factor == pc.soonFactor {
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

// load returns the expected waits, and whether there was work after a time.
func (pc *place) load(since time.Time) (Load, bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.lastWork.Before(since) {
		return Load{}, false
	}
	now := pc.gatherer.timers.Now()
	soon, last := now.Add(soonHorizon), now.Add(lastHorizon)
	return Load{
		DueSoonWait:    pc.soonFactor.Apply(now, pc.pool.ExpectedWait(now, batch.Group{Count: 1, Due: soon, Expires: soon})),
		LowUrgencyWait: pc.lastFactor.Apply(now, pc.pool.ExpectedWait(now, batch.Group{Count: 1, Due: last, Expires: last})),
		LargeResultWait: pc.soonFactor.Apply(now, pc.pool.ExpectedWait(now, batch.Group{
			Count: largeItems, Due: soon, Expires: soon, ResultBytes: pc.largeBytes,
		})),
		LargeResultBytes: pc.largeBytes,
	}, true
}

// patientHorizon is how much time work must have for its items to go behind others.
const patientHorizon = 1500 * time.Millisecond

const (
	// soonHorizon is the due time of an item that is due soon, lastHorizon that of one behind all others.
	soonHorizon = time.Second
	lastHorizon = time.Minute
	// largeItems is the number of items of work with large results.
	largeItems = 3
)

func (pc *place) signal() {
	select {
	case pc.kick <- struct{}{}:
	default:
	}
}

// refresh takes over the pool's description and the upstreams that may get work.
func (pc *place) refresh() {
	if pool, known := pc.gatherer.view.Pool(pc.at.Pool); known && pool.Batching != nil {
		pc.pool.SetConfig(termsOf(pool))
	}
	list := []batch.Upstream{}
	for _, up := range pc.gatherer.view.Upstreams(pc.at.Pool, pc.at.FailureDomain) {
		list = append(list, batch.Upstream{Name: upstreamName(up)})
	}
	pc.pool.SetUpstreams(list)
}

// upstreamName tells incarnations of one upstream apart.
func upstreamName(up *roster.Upstream) string {
	return fmt.Sprintf("%s@%d", up.ID, up.StartUnixMs)
}

// run carries out what the pool asks for until ctx ends.
func (pc *place) run(ctx context.Context) {
	for {
		wake := pc.advance(ctx)
		if wake <= 0 {
			select {
			case <-ctx.Done():
				return
			case <-pc.kick:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-pc.kick:
		case <-pc.gatherer.timers.After(wake):
		}
	}
}

// minWake bounds how often a place looks again.
const minWake = 2 * time.Millisecond

// advance makes the calls that are due and returns when to look again, or 0.
func (pc *place) advance(ctx context.Context) time.Duration {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.refresh()
	wake := time.Duration(0)
	now := pc.gatherer.timers.Now()
	if len(pc.jobs) > 0 {
		if !pc.pool.HasUsableUpstream(now) {
			pc.leaveDomain()
		}
		pc.checkOwner(now)
		wake = ownerCheck
	}
	for _, action := range pc.pool.Step(now, pc.gatherer.repeats.Remaining(pc.at.Pool)) {
		switch action := action.(type) {
		case batch.Send:
			pc.send(ctx, action)
		case batch.Drop:
			pc.give(action.GroupID, Unfinished{Cause: "no time left"})
		case batch.Wake:
			wake = min(max(action.At.Sub(now), minWake), ownerCheck)
		}
	}
	return wake
}

// leaveDomain gives work back when the place's upstreams are all out of use and another failure domain has any.
func (pc *place) leaveDomain() {
	for _, up := range pc.gatherer.view.Upstreams(pc.at.Pool, "") {
		if up.FailureDomain != pc.at.FailureDomain {
			pc.giveBack(causeNoUpstream)
			return
		}
	}
}

const (
	// ownerCheck is how often a place with work looks whose turn it is to gather.
	ownerCheck = 250 * time.Millisecond
	// ownerSettles is how long another instance must be the owner for work to be handed to it: instances learn of
	// each other's start and end one after the other.
	ownerSettles = 400 * time.Millisecond
)

// checkOwner gives work back when it has become another instance's turn to gather it.
func (pc *place) checkOwner(now time.Time) {
	if now.Sub(pc.checkedAt) < ownerCheck {
		return
	}
	pc.checkedAt = now
	switch {
	case pc.gatherer.owns(pc.at):
		pc.othersSince = time.Time{}
	case pc.othersSince.IsZero():
		pc.othersSince = now
	case now.Sub(pc.othersSince) >= ownerSettles:
		pc.othersSince = now
		pc.giveBack(causeMoved)
	}
}

// handOn gives all work back that is not in a call and reports whether any is left.
func (pc *place) handOn() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.giveBack(causeMoved)
	return len(pc.jobs) > 0
}

// giveBack ends the jobs of which nothing is in a call, for their callers to hand them to another place. Items that were
// sent count as repeated there: where it can be helped, only untouched jobs are given back.
func (pc *place) giveBack(cause string) {
	for id := range pc.jobs {
		sent := pc.pool.WasSent(id)
		if pc.pool.IsInFlight(id) || sent && cause == causeMoved {
			continue
		}
		pc.give(id, Unfinished{Cause: cause, MayHaveRun: sent})
	}
}

// give ends a job.
func (pc *place) give(id uint64, result Result) {
	ended := pc.jobs[id]
	if ended == nil {
		return
	}
	delete(pc.jobs, id)
	pc.pool.Remove(id)
	if unfinished, is := result.(Unfinished); is {
		unfinished.Results = ended.results
		result = unfinished
	}
	ended.done <- result
}

const (
	// callPatience is how many times longer than expected a call may take, beside callSlack.
	callPatience = 6
	callSlack    = 300 * time.Millisecond
)

// send makes a call in the background.
func (pc *place) send(ctx context.Context, action batch.Send) {
	for range action.RetriedItems {
		pc.gatherer.repeats.Spend(pc.at.Pool)
	}
	now := pc.gatherer.timers.Now()
	up := pc.find(action.Upstream)
	items := []Item{}
	for _, item := range action.Items {
		items = append(items, pc.item(now, item))
	}
	if up == nil || !pc.gatherer.view.IsUsable(up.Incarnation()) {
		pc.pool.CallEnded(now, batch.CallResult{CallID: action.CallID, Outcome: batch.OutcomeUnreachable, Unsent: action.Items})
		pc.signal()
		return
	}
	pc.gatherer.events.Record(&wire.Event{
		Kind: wire.EventKind_EventBatchSent, Upstream: up.ID, Stage: pc.at.Pool, Attempt: int64(len(items)),
		RequestId: items[0].RequestID, Detail: fmt.Sprintf("expected=%dms repeated=%d", action.ExpectedDuration.Milliseconds(), action.RetriedItems),
	})
	pc.gatherer.parts.Go(func() {
		limited, cancel := context.WithTimeout(ctx, callPatience*action.ExpectedDuration+callSlack)
		defer cancel()
		outcome := pc.gatherer.caller.RunItems(limited, up, items)
		pc.ended(up, action, outcome, pc.gatherer.timers.Now().Sub(now))
	})
}

func (pc *place) find(name string) *roster.Upstream {
	for _, up := range pc.gatherer.view.Upstreams(pc.at.Pool, pc.at.FailureDomain) {
		if upstreamName(up) == name {
			return up
		}
	}
	return nil
}

func (pc *place) item(now time.Time, item batch.Item) Item {
	work := pc.jobs[item.GroupID].work
	return Item{
		RequestID: work.RequestID, Stage: work.Stage, Index: item.Index, Key: work.Key, Inputs: work.Inputs,
		Remaining: max(work.Expires.Sub(now), time.Millisecond),
	}
}

// ended takes a call's outcome over.
func (pc *place) ended(up *roster.Upstream, action batch.Send, outcome Outcome, took time.Duration) {
	pc.gatherer.events.Record(&wire.Event{
		Kind: wire.EventKind_EventBatchEnded, Upstream: up.ID, Stage: pc.at.Pool, Attempt: int64(len(action.Items)),
		Outcome: outcomeName(outcome), Detail: outcomeDetail(outcome), DurationMicros: took.Microseconds(),
	})
	pc.mu.Lock()
	defer pc.mu.Unlock()
	now := pc.gatherer.timers.Now()
	end := batch.CallResult{CallID: action.CallID, Results: map[batch.Item]string{}}
	switch outcome := outcome.(type) {
	case Ran:
		pc.takeResults(up, action.Items, outcome.Results, &end)
	case NotRun:
		end.Outcome, end.Unsent = batch.OutcomeFull, action.Items
		if outcome.Misdirected {
			end.Outcome = batch.OutcomeFailed
		}
	case NotSent:
		end.Outcome, end.Unsent = batch.OutcomeUnreachable, action.Items
	case Lost:
		end.Outcome, end.Failed = batch.OutcomeFailed, action.Items
	}
	pc.pool.CallEnded(now, end)
	if end.Outcome == batch.OutcomeFull {
		pc.askRoom(up)
	}
	for _, item := range action.Items {
		if known := pc.jobs[item.GroupID]; known != nil && known.missing == 0 {
			known.factor.Observe(now, known.forecast, now.Sub(known.began), known.applied)
			pc.give(item.GroupID, Finished{Results: known.results})
		}
	}
	pc.signal()
}
