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
	// lateReserve is how many calls before the end the items of a late request are due.
	lateReserve = 3
	// stageWaitShare is how many times longer a call takes than its items usually wait for it.
	stageWaitShare = 2
)

// stageRun is one stage of a request on its way.
type stageRun struct {
	index  int
	stage  route.Stage
	count  int
	domain string
	done   chan struct{}
	result gather.Result
	// readers is how many other stages read the results.
	readers  int
	released atomic.Bool
}

// activeStages returns the stages that the request has items for.
func (rn *run) activeStages() []int {
	active := []int{}
	for index := range rn.pipeline.Stages {
		if index < len(rn.request.ItemCounts) && rn.request.ItemCounts[index] > 0 {
			active = append(active, index)
		}
	}
	return active
}

// callTime is how long a stage takes without a wait.
func (rn *run) callTime(index int) time.Duration {
	pool := rn.table.Pools[rn.pipeline.Stages[index].Pool]
	if pool.Batching == nil {
		return 0
	}
	count := min(rn.request.ItemCounts[index], pool.Batching.MaxBatch)
	return pool.Batching.CallTime + time.Duration(count)*pool.Batching.ItemTime
}

// afterStage returns the time that the longest chain of stages behind a stage takes.
func (rn *run) afterStage(index int, active []int) time.Duration {
	longest := time.Duration(0)
	for _, later := range active {
		if slices.Contains(rn.pipeline.Stages[later].DependsOn, index) {
			longest = max(longest, rn.callTime(later)+rn.callTime(later)/stageWaitShare+rn.afterStage(later, active))
		}
	}
	return longest
}

// patientSlack is the time beyond its own work that makes a request patient.
const patientSlack = time.Second

// isPatient reports whether the request has much more time than its own work takes.
func (rn *run) isPatient(active []int) bool {
	own := rn.engineTime()
	for _, index := range active {
		own = max(own, rn.callTime(index)+rn.afterStage(index, active)+rn.engineTime())
	}
	return rn.pipeline.TargetLatency-own > patientSlack
}

// wish is what decides how long the items of a stage wait.
func (rn *run) wish(index int) gather.JobClass {
	return gather.JobClass{LowUrgency: rn.patient, ResultBytes: rn.pipeline.Stages[index].ResultBytes}
}

// later returns what the request will need of other pools after a stage.
func (rn *run) later(index int, active []int) []gather.PoolItems {
	list := []gather.PoolItems{}
	for _, other := range active {
		if slices.Contains(rn.pipeline.Stages[other].DependsOn, index) {
			list = append(list, gather.PoolItems{Pool: rn.pipeline.Stages[other].Pool, Items: rn.request.ItemCounts[other]})
			list = append(list, rn.later(other, active)...)
		}
	}
	return list
}

// stageError says why the stages have no result.
type stageError struct {
	refused bool
	wait    time.Duration
	cause   string
	// full says that a pool behind the first stage has no room in time in the planned failure domain.
	full bool
}

// Error returns the cause.
func (se stageError) Error() string {
	return se.cause
}

// stages carries out the stages of a request.
type stages struct {
	run    *run
	runs   map[int]*stageRun
	domain string
}

// runStages has all stages of the request done. Those that read no other's results start together.
func (rn *run) runStages(ctx context.Context) (*stages, error) {
	active := rn.activeStages()
	st := &stages{run: rn, runs: map[int]*stageRun{}, domain: rn.domain}
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
		if err := failureOf(each); err != nil && failure == nil {
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

func failureOf(each *stageRun) error {
	switch result := each.result.(type) {
	case gather.Finished:
		return nil
	case gather.Refused:
		return stageError{refused: true, wait: result.Wait, cause: each.stage.Pool + ": " + result.Cause, full: result.FullPool != ""}
	case gather.Unfinished:
		return stageError{wait: result.Wait, cause: each.stage.Pool + ": " + result.Cause}
	}
	return stageError{cause: each.stage.Pool + ": not begun"}
}

// execute waits for the stages before and has the items of one stage made.
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
		finished, whole := before.result.(gather.Finished)
		if !whole {
			return
		}
		inputs = append(inputs, handles(finished.Results)...)
	}
	rn := st.run
	tail := rn.afterStage(each.index, active) + rn.engineTime()
	work := gather.Job{
		Pool: each.stage.Pool, RequestID: rn.request.ID, Stage: each.index, Count: each.count, Inputs: inputs, Rank: rn.rank,
		Due: rn.due.Add(-tail), Expires: rn.beginBy.Add(-tail), ResultBytes: each.stage.ResultBytes,
		LaterItems: rn.later(each.index, active),
	}
	if rn.Timers.Now().Add(rn.callTime(each.index)).After(work.Due) {
		// Too late for the target: the items yield to those of requests that can still meet it.
		work.Due = work.Expires.Add(-lateReserve * rn.callTime(each.index))
	}
	if len(each.stage.DependsOn) == 0 {
		work.Key, work.LowUrgency = rn.request.ItemKey, rn.patient
		if finish := rn.due.Add(-rn.engineTime()); finish.After(rn.Timers.Now()) {
			work.FinishBy = finish
		}
	}
	each.domain = st.place(each, work.Due)
	each.result = rn.Stages.Run(ctx, each.domain, work)
	st.releaseRead(each)
}

// place chooses the failure domain of one stage: the planned one as long as its results are there in time, or as
// long as no other has them so much sooner that moving bytes is worth it.
func (st *stages) place(each *stageRun, due time.Time) string {
	rn := st.run
	if len(rn.Catalog.Upstreams(each.stage.Pool, st.domain)) > 0 &&
		!rn.Timers.Now().Add(rn.Stages.ExpectedWait(each.stage.Pool, st.domain, rn.wish(each.index))).After(due) {
		return st.domain
	}
	domain, _ := rn.Stages.ShortestWait(each.stage.Pool, st.domain, moveMargin(st.moved(each)), rn.wish(each.index))
	return domain
}

// moved is how many bytes move when a stage is done in another failure domain than the others: what each of its
// items reads, and what the engine reads of its results.
func (st *stages) moved(each *stageRun) int64 {
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

func handles(items []gather.ItemResult) []string {
	list := []string{}
	for _, item := range items {
		if item.Handle != "" {
			list = append(list, item.Handle)
		}
	}
	return list
}

// releaseRead frees the results of stages that no other stage reads than the one that has ended.
func (st *stages) releaseRead(each *stageRun) {
	for _, earlier := range each.stage.DependsOn {
		if before := st.runs[earlier]; before != nil && before.readers == 1 {
			st.release(before)
		}
	}
}

// releaseAll frees all results that are not freed yet.
func (st *stages) releaseAll() {
	for _, each := range st.runs {
		st.release(each)
	}
}

// release frees the results of a stage once.
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

// inputs returns the results that the request itself reads, and the failure domain where most of their bytes lie.
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
