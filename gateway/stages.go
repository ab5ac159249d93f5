package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/route"
)

const (
	// lateReserveCalls is how many durations of a call before their expiry the items of a late request are due.
	lateReserveCalls = 3
	// stageWaitShare is the ratio of a call's time to the usual queue wait of its items.
	stageWaitShare = 2
)

// stageRun is the execution of one stage of a request.
type stageRun struct {
	index  int
	stage  route.Stage
	count  int
	domain string
	done   chan struct{}
	result gather.Result
	// readers is the number of other stages that read the results.
	readers int
	// released is set once the memory of the results has been freed.
	released atomic.Bool
}

// activeStages returns the stages for which the request has items.
func (rn *run) activeStages() []int {
	active := []int{}
	for index := range rn.pipeline.Stages {
		if index < len(rn.request.ItemCounts) && rn.request.ItemCounts[index] > 0 {
			active = append(active, index)
		}
	}
	return active
}

// callTime returns the duration of a call of the stage without queueing.
func (rn *run) callTime(index int) time.Duration {
	pool := rn.table.Pools[rn.pipeline.Stages[index].Pool]
	if pool.Batching == nil {
		return 0
	}
	count := min(rn.request.ItemCounts[index], pool.Batching.MaxBatch)
	return pool.Batching.CallTime + time.Duration(count)*pool.Batching.ItemTime
}

// remainingStageTime returns the duration of the longest chain of stages that depend on a stage.
func (rn *run) remainingStageTime(index int, active []int) time.Duration {
	longest := time.Duration(0)
	for _, later := range active {
		if slices.Contains(rn.pipeline.Stages[later].DependsOn, index) {
			longest = max(longest, rn.callTime(later)+rn.callTime(later)/stageWaitShare+rn.remainingStageTime(later, active))
		}
	}
	return longest
}

// lowUrgencySlack is the slack above which a request has low urgency.
const lowUrgencySlack = time.Second

// isLowUrgency reports whether the request's target latency far exceeds its own processing time.
func (rn *run) isLowUrgency(active []int) bool {
	own := rn.engineLatency()
	for _, index := range active {
		own = max(own, rn.callTime(index)+rn.remainingStageTime(index, active)+rn.engineLatency())
	}
	return rn.pipeline.TargetLatency-own > lowUrgencySlack
}

// jobClass returns the properties of a stage's items that their expected wait depends on: the urgency, and the size of one
// item's result, since items with large results wait until an upstream has memory for them.
func (rn *run) jobClass(index int) gather.JobClass {
	return gather.JobClass{LowUrgency: rn.lowUrgency, ResultBytes: rn.pipeline.Stages[index].ResultBytes}
}

// laterItems returns the items that the request will need from other pools after a stage.
func (rn *run) laterItems(index int, active []int) []gather.PoolItems {
	list := []gather.PoolItems{}
	for _, other := range active {
		if slices.Contains(rn.pipeline.Stages[other].DependsOn, index) {
			list = append(list, gather.PoolItems{Pool: rn.pipeline.Stages[other].Pool, Items: rn.request.ItemCounts[other]})
			list = append(list, rn.laterItems(other, active)...)
		}
	}
	return list
}

// stageError reports why the stages were not completed.
type stageError struct {
	wait  time.Duration
	cause string
	// laterPoolFull is set if a pool after the first stage has no capacity in time in the planned failure domain.
	laterPoolFull bool
}

// Error returns the cause.
func (se stageError) Error() string {
	return se.cause
}

// stages is the execution of all stages of a request.
type stages struct {
	run    *run
	runs   map[int]*stageRun
	domain string
}

// runStages executes all stages of the request. Stages that depend on no other start together.
func (rn *run) runStages(ctx context.Context) (*stages, error) {
	active := rn.activeStages()
	st := &stages{run: rn, runs: map[int]*stageRun{}, domain: rn.stageDomain}
	for _, index := range active {
		st.runs[index] = &stageRun{
			index: index, stage: rn.pipeline.Stages[index], count: rn.request.ItemCounts[index], done: make(chan struct{}),
		}
	}
	for _, each := range st.runs {
		for _, earlier := range each.stage.DependsOn {
			if st.runs[earlier] != nil {
				st.runs[earlier].readers++
			}
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan *stageRun, len(active))
	for _, index := range active {
		go func() {
			defer func() { ended <- st.runs[index] }()
			st.execute(ctx, st.runs[index], active)
		}()
	}
	failure := error(nil)
	for range active {
		each := <-ended
		if err := resultError(each); err != nil && failure == nil {
			failure = err
			cancel()
		}
	}
	if failure != nil {
		st.releaseAll()
		return nil, failure
	}
	return st, nil
}

func resultError(each *stageRun) error {
	switch result := each.result.(type) {
	case gather.Finished:
		return nil
	case gather.Refused:
		return stageError{wait: result.Wait, cause: each.stage.Pool + ": " + result.Cause, laterPoolFull: result.FullPool != ""}
	case gather.Unfinished:
		return stageError{wait: result.Wait, cause: each.stage.Pool + ": " + result.Cause}
	}
	return stageError{cause: each.stage.Pool + ": stage was not started"}
}

// execute waits for the stages that a stage depends on, then executes its items.
func (st *stages) execute(ctx context.Context, each *stageRun, active []int) {
	defer close(each.done)
	inputs := []string{}
	for _, earlier := range each.stage.DependsOn {
		before := st.runs[earlier]
		if before == nil {
			continue
		}
		select {
		case <-before.done:
		case <-ctx.Done():
			return
		}
		finished, complete := before.result.(gather.Finished)
		if !complete {
			return
		}
		inputs = append(inputs, handles(finished.Results)...)
	}
	rn := st.run
	tail := rn.remainingStageTime(each.index, active) + rn.engineLatency()
	// The rest of the request takes the time tail after this stage: results later than Due make the first byte miss the
	// target latency, and results later than Expires make it miss the time at which the caller gives up.
	job := gather.Job{
		Pool: each.stage.Pool, RequestID: rn.request.ID, Stage: each.index, Count: each.count, Inputs: inputs, Rank: rn.rank,
		Due: rn.targetAt.Add(-tail), Expires: rn.abandonAt.Add(-tail), ResultBytes: each.stage.ResultBytes,
		LaterItems: rn.laterItems(each.index, active),
	}
	if rn.Timers.Now().Add(rn.callTime(each.index)).After(job.Due) {
		// This request will miss its target latency. A later due time lets the items of requests that can still meet
		// their own target latencies go first.
		job.Due = job.Expires.Add(-lateReserveCalls * rn.callTime(each.index))
	}
	if len(each.stage.DependsOn) == 0 {
		// FinishBy is when all stages must be done for the request to be on time. The queue's owner refuses the job if
		// the pool of a later stage would take longer. FinishBy stays unset for a request that is late already.
		job.Key, job.LowUrgency = rn.request.ItemKey, rn.lowUrgency
		if finish := rn.targetAt.Add(-rn.engineLatency()); finish.After(rn.Timers.Now()) {
			job.FinishBy = finish
		}
	}
	each.domain = st.selectDomain(each, job.Due)
	each.result = rn.Stages.Run(ctx, each.domain, job)
	st.releaseInputs(each)
}

// selectDomain returns the failure domain in which a stage runs: the planned one if its results are expected there in
// time, or if no other domain has them so much sooner that moving the data is worth it.
func (st *stages) selectDomain(each *stageRun, due time.Time) string {
	rn := st.run
	if len(rn.Catalog.Upstreams(each.stage.Pool, st.domain)) > 0 &&
		!rn.Timers.Now().Add(rn.Stages.ExpectedWait(each.stage.Pool, st.domain, rn.jobClass(each.index))).After(due) {
		return st.domain
	}
	domain, _ := rn.Stages.ShortestWait(each.stage.Pool, st.domain, moveMargin(st.movedBytes(each)), rn.jobClass(each.index))
	return domain
}

// movedBytes returns how many bytes cross failure domains if a stage runs in another one than the rest: the inputs of
// each item and, for a last stage, the results that the engine reads.
func (st *stages) movedBytes(each *stageRun) int64 {
	bytes := int64(0)
	for _, earlier := range each.stage.DependsOn {
		if before := st.runs[earlier]; before != nil {
			bytes += int64(each.count) * int64(before.count) * before.stage.ResultBytes
		}
	}
	if each.readers == 0 {
		bytes += int64(each.count) * each.stage.ResultBytes
	}
	return bytes
}

// handles returns the handles of the items that have a result.
func handles(items []gather.ItemResult) []string {
	list := []string{}
	for _, item := range items {
		if item.Handle != "" {
			list = append(list, item.Handle)
		}
	}
	return list
}

// releaseInputs frees, at the upstreams, the memory of earlier results that only the given stage has read.
func (st *stages) releaseInputs(each *stageRun) {
	for _, earlier := range each.stage.DependsOn {
		if before := st.runs[earlier]; before != nil && before.readers == 1 {
			st.release(before)
		}
	}
}

// releaseAll frees the memory of all results of the request that upstreams still hold.
func (st *stages) releaseAll() {
	for _, each := range st.runs {
		st.release(each)
	}
}

// release frees, in the background, the memory that a stage's results take at upstreams; further calls have no effect.
func (st *stages) release(each *stageRun) {
	list := []string{}
	switch result := each.result.(type) {
	case gather.Finished:
		list = handles(result.Results)
	case gather.Unfinished:
		list = handles(result.Results)
	case gather.Refused, nil:
	}
	if len(list) > 0 && each.released.CompareAndSwap(false, true) {
		go st.run.Stages.Release(context.Background(), each.stage.Pool, each.domain, list)
	}
}

// inputs returns the results that the request itself reads, the failure domain that holds most of their bytes, and the
// number of bytes there.
func (st *stages) inputs() ([]string, string, int64) {
	list := []string{}
	bytes := map[string]int64{}
	for _, index := range st.run.pipeline.LastStages() {
		each := st.runs[index]
		if each == nil {
			continue
		}
		finished, _ := each.result.(gather.Finished)
		for _, item := range finished.Results {
			list = append(list, item.Handle)
			bytes[item.FailureDomain] += each.stage.ResultBytes
		}
	}
	domain, most := st.run.FailureDomain, int64(0)
	for each, size := range bytes {
		if size > most || size == most && each < domain {
			domain, most = each, size
		}
	}
	return list, domain, most
}
