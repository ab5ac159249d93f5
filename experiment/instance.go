package experiment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/admission"
	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/fairqueue"
	"github.com/turmericdoor/turmericdoor/limit"
)

// Policy is how entry instances decide when and where to send calls. Baseline, Oracle and Decisions
// implement it.
type Policy interface {
	// Name returns the name of the policy in reports.
	Name() string
}

// Baseline sends each call at once to the next upstream of the pool in turn, without limits, retries or
// refusals. Upstreams execute calls in the order of their arrival.
type Baseline struct{}

// Name returns the name of the policy in reports.
func (Baseline) Name() string { return "baseline" }

// Oracle sends each call at once to the upstream with the fewest running and waiting calls. The count
// includes the calls of all instances, which a real instance can't know.
type Oracle struct{}

// Name returns the name of the policy in reports.
func (Oracle) Name() string { return "full knowledge" }

// Decisions uses the program's decision packages, with Limit as the policy for the limits of calls to an
// upstream. Subset is how many upstreams of a pool each instance uses; 0 means all.
type Decisions struct {
	Title  string
	Limit  limit.Policy
	Subset int
	// NoBrownout turns brownout off: no stage is skipped or reduced when time is short.
	NoBrownout bool
}

// Name returns the name of the policy in reports.
func (dc Decisions) Name() string { return dc.Title }

// entryInstance is a simulated entry instance. With Decisions, pools has a dispatcher for each pool, and
// turn is 1 while a tick of the pool's dispatcher is scheduled. With Baseline and Oracle, pools is empty,
// and turn is the position in each pool's round robin.
type entryInstance struct {
	sim        *simulation
	domain     string
	crashed    bool
	pools      map[string]*dispatch.Dispatcher
	requests   map[uint64]*request
	turn       map[string]int
	noBrownout bool
}

// request is one request in progress. stage is the index of its current stage, avoid has the upstreams on
// which that stage failed, and reserved has the reservations for later stages. isFlood marks requests of
// flows that cover only a part of the run; the figures of ordinary requests leave them out.
type request struct {
	id            uint64
	rank          *document.Rank
	organisation  *document.Organisation
	entry         *entryInstance
	arrivedAt     time.Duration
	deadline      time.Duration
	isFlood       bool
	stage         int
	brownout      bool
	reserved      map[int]fairqueue.Ticket
	call          *call
	callStartedAt time.Duration
	avoid         []string
	ended         bool
	isQueued      bool
}

// maxQueue is the maximum number of requests that wait in one dispatcher.
const maxQueue = 20000

// newEntryInstance returns an instance in a failure domain. number is its index among the instances, which
// selects its subset of upstreams.
func newEntryInstance(sim *simulation, number int, domain string) *entryInstance {
	inst := &entryInstance{sim: sim, domain: domain, pools: map[string]*dispatch.Dispatcher{}, requests: map[uint64]*request{}, turn: map[string]int{}}
	decisions, isDecisions := sim.policy.(Decisions)
	if !isDecisions {
		// Each instance starts its round robin at a random upstream; otherwise all would send to the same
		// upstream at the same time.
		for _, stage := range sim.pipeline.Stages {
			inst.turn[stage.Pool.Name] = sim.random.IntN(len(stage.Pool.Upstreams))
		}
		return inst
	}
	inst.noBrownout = decisions.NoBrownout
	for _, stage := range sim.pipeline.Stages {
		random := rand.New(rand.NewPCG(sim.random.Uint64(), uint64(number)))
		pool := dispatch.New(decisions.Limit, random, maxQueue, stage.Pool.StageTime)
		pool.Update(sim.clock(), sim.subsetOf(stage.Pool, number, decisions.Subset), sim.document.RanksByPrecedence, nil)
		inst.pools[stage.Pool.Name] = pool
	}
	return inst
}

// setLiveInstances sets the number of live instances in all dispatchers.
func (inst *entryInstance) setLiveInstances(count int) {
	for _, pool := range inst.pools {
		pool.SetLiveInstances(count)
	}
}

// admit queues an arriving request for its first stage, or ends it as refused if its deadline can't be met.
// Baseline and Oracle send its first call at once.
func (inst *entryInstance) admit(rq *request) {
	if len(inst.pools) == 0 {
		inst.sendWithoutQueue(rq)
		return
	}
	stages := []admission.Stage{}
	for _, stage := range inst.sim.pipeline.Stages {
		estimate := inst.pools[stage.Pool.Name].Estimate(inst.sim.clock(), rq.rank.Index, rq.organisation.Name, rq.organisation.Weight)
		candidate := admission.NewStage(stage, estimate)
		if inst.noBrownout {
			candidate.Droppable, candidate.Skippable = 0, false
		}
		stages = append(stages, candidate)
	}
	admitted, isAdmitted := admission.Decide(rq.deadline-inst.sim.now, stages).(admission.Admit)
	if !isAdmitted {
		rq.end(outcomeRefused)
		return
	}
	rq.brownout = admitted.Brownout
	rq.reserved = map[int]fairqueue.Ticket{}
	for at, stage := range inst.sim.pipeline.Stages[1:] {
		rq.reserved[at+1] = inst.pools[stage.Pool.Name].Reserve(rq.rank.Index, rq.organisation.Name, rq.organisation.Weight)
	}
	inst.requests[rq.id] = rq
	inst.submit(rq)
}

// currentStage returns the stage that the request waits for or runs in.
func (rq *request) currentStage() *document.Stage {
	return rq.entry.sim.pipeline.Stages[rq.stage]
}

// remainingWork estimates the service time of all stages after the current one.
func (inst *entryInstance) remainingWork(rq *request) time.Duration {
	total := time.Duration(0)
	for _, stage := range inst.sim.pipeline.Stages[rq.stage+1:] {
		estimate := inst.pools[stage.Pool.Name].Estimate(inst.sim.clock(), rq.rank.Index, rq.organisation.Name, rq.organisation.Weight)
		total += estimate.Service
	}
	return total
}

// submit queues a request for its current stage. A request in brownout skips a stage that the document
// allows to skip.
func (inst *entryInstance) submit(rq *request) {
	inst.unreserve(rq, rq.stage)
	if rq.brownout && rq.currentStage().Brownout == document.BrownoutSkip {
		inst.advance(rq)
		return
	}
	pool := inst.pools[rq.currentStage().Pool.Name]
	rq.isQueued = true
	inst.apply(rq.currentStage().Pool.Name, pool.Submit(inst.sim.clock(), dispatch.Request{
		ID: rq.id, Organisation: rq.organisation.Name, Weight: rq.organisation.Weight, Rank: rq.rank.Index,
		Deadline: origin.Add(rq.deadline), RemainingWork: inst.remainingWork(rq), FailureDomain: inst.domain, Avoid: rq.avoid,
	}, nil))
	inst.scheduleTick(rq.currentStage().Pool.Name, pool)
}

// unreserve cancels the reservation of a request for a stage, if there is one.
func (inst *entryInstance) unreserve(rq *request, stage int) {
	if ticket, reserved := rq.reserved[stage]; reserved {
		inst.pools[inst.sim.pipeline.Stages[stage].Pool.Name].Unreserve(ticket)
		delete(rq.reserved, stage)
	}
}

// tickInterval is the time between two ticks of a dispatcher in which requests wait.
const tickInterval = 20 * time.Millisecond

// scheduleTick schedules the next tick of a dispatcher, unless no request waits in it or a tick is already
// scheduled.
func (inst *entryInstance) scheduleTick(name string, pool *dispatch.Dispatcher) {
	if pool.Waiting() == 0 || inst.turn[name] > 0 {
		return
	}
	inst.turn[name] = 1
	inst.sim.scheduleAfter(tickInterval, func() {
		inst.turn[name] = 0
		if inst.crashed {
			return
		}
		inst.apply(name, pool.Tick(inst.sim.clock(), nil))
		inst.scheduleTick(name, pool)
	})
}

// apply executes the actions that a dispatcher returned.
func (inst *entryInstance) apply(pool string, actions []dispatch.Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case dispatch.Start:
			inst.startCall(pool, inst.requests[typed.ID], typed.Upstream)
		case dispatch.Refuse:
			rq := inst.requests[typed.ID]
			rq.isQueued = false
			inst.failStage(rq, outcomeDropped)
		}
	}
}

// startCall sends a request to the upstream that the dispatcher selected.
func (inst *entryInstance) startCall(pool string, rq *request, name string) {
	rq.isQueued = false
	rq.callStartedAt = inst.sim.now
	up := inst.sim.upstreams[name]
	rq.call = up.send(rq.rank.Index, rq.workShare(), func(outcome callOutcome) { inst.callEnded(pool, rq, name, outcome) })
}

// callEnded reports the outcome of a call to the dispatcher. Then the request advances or, after a failure,
// retries the stage if the retry budget allows it.
func (inst *entryInstance) callEnded(pool string, rq *request, name string, outcome callOutcome) {
	if inst.crashed {
		return
	}
	rq.call = nil
	status := dispatch.Failed
	switch {
	case outcome.answered:
		status = dispatch.Succeeded
	case outcome.unreachable:
		status = dispatch.Unreachable
	}
	dispatcher := inst.pools[pool]
	inst.apply(pool, dispatcher.Finish(inst.sim.clock(), dispatch.CallResult{
		ID: rq.id, Upstream: name, Status: status, Elapsed: inst.sim.now - rq.callStartedAt, Waited: outcome.waited, Load: outcome.load,
	}, nil))
	if rq.ended {
		return
	}
	if outcome.answered {
		inst.advance(rq)
		return
	}
	rq.avoid = append(rq.avoid, name)
	if !dispatcher.SpendRetry() {
		inst.failStage(rq, outcomeFailed)
		return
	}
	inst.sim.result.retries++
	inst.submit(rq)
}

// workShare returns the fraction of the current stage's full work that the request needs: 0.5 in a brownout
// that reduces the stage, otherwise 1.
func (rq *request) workShare() float64 {
	kind := rq.currentStage().Brownout
	if rq.brownout && (kind == document.BrownoutShorter || kind == document.BrownoutFewer) {
		return 0.5
	}
	return 1
}

// failStage ends a request with the outcome. If the document allows to skip the current stage and the
// deadline has not passed, the request skips it and continues in brownout instead.
func (inst *entryInstance) failStage(rq *request, outcome string) {
	if inst.noBrownout || rq.currentStage().Brownout != document.BrownoutSkip || inst.sim.now >= rq.deadline {
		rq.end(outcome)
		return
	}
	rq.brownout = true
	inst.advance(rq)
}

// advance moves a request to its next stage, or ends it as answered after the last one.
func (inst *entryInstance) advance(rq *request) {
	rq.stage++
	rq.avoid = nil
	if rq.stage == len(inst.sim.pipeline.Stages) {
		rq.end(outcomeAnswered)
		return
	}
	if len(inst.pools) == 0 {
		inst.sendWithoutQueue(rq)
		return
	}
	inst.submit(rq)
}

// sendWithoutQueue sends the call of the current stage at once, as Baseline and Oracle do. A failed call
// ends the request.
func (inst *entryInstance) sendWithoutQueue(rq *request) {
	stage := rq.currentStage()
	ups := stage.Pool.Upstreams
	name := ups[inst.turn[stage.Pool.Name]%len(ups)].Name
	inst.turn[stage.Pool.Name]++
	if _, isOracle := inst.sim.policy.(Oracle); isOracle {
		name = inst.sim.leastLoaded(stage.Pool)
	}
	rq.call = inst.sim.upstreams[name].send(0, 1, func(outcome callOutcome) {
		rq.call = nil
		if rq.ended || inst.crashed {
			return
		}
		if !outcome.answered {
			rq.end(outcomeFailed)
			return
		}
		inst.advance(rq)
	})
}

// crash stops the instance. Its admitted requests end without an answer; with Baseline and Oracle they end
// at their deadlines.
func (inst *entryInstance) crash() {
	inst.crashed = true
	for _, id := range slices.Sorted(maps.Keys(inst.requests)) {
		rq := inst.requests[id]
		if rq.call != nil {
			rq.call.cancel()
		}
		rq.end(outcomeInstanceCrashed)
	}
}

// expire ends a request whose deadline has passed. With Decisions it also cancels the waiting or running
// call.
func (rq *request) expire() {
	if rq.ended {
		return
	}
	rq.end(outcomeDeadlinePassed)
	if len(rq.entry.pools) == 0 || rq.entry.crashed {
		// Baseline and Oracle do not cancel calls, so the upstream finishes them.
		return
	}
	pool := rq.currentStage().Pool.Name
	dispatcher := rq.entry.pools[pool]
	if rq.isQueued {
		dispatcher.Cancel(rq.id)
		return
	}
	if rq.call == nil {
		return
	}
	name := rq.call.up.config.Name
	rq.call.cancel()
	rq.call = nil
	rq.entry.apply(pool, dispatcher.Finish(rq.entry.sim.clock(), dispatch.CallResult{
		ID: rq.id, Upstream: name, Status: dispatch.Cancelled, Elapsed: rq.entry.sim.now - rq.callStartedAt, Load: -1,
	}, nil))
}

// end records the outcome of a request and cancels its reservations. Further calls of end do nothing.
func (rq *request) end(outcome string) {
	if rq.ended {
		return
	}
	rq.ended = true
	for stage := range rq.reserved {
		rq.entry.unreserve(rq, stage)
	}
	rq.entry.sim.result.recordOutcome(rq, outcome, rq.entry.sim.now)
	if outcome == outcomeAnswered {
		rq.entry.sim.result.latencies = append(rq.entry.sim.result.latencies, rq.entry.sim.now-rq.arrivedAt)
	}
	if outcome != outcomeDeadlinePassed {
		delete(rq.entry.requests, rq.id)
	}
}
