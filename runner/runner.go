package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/admission"
	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Runner runs requests; it is safe for concurrent use.
type Runner struct {
	Timers        *timer.Service
	FailureDomain string
	Caller        Caller
	Pools         Pools
	Guard         Guard
	Leavings      Leavings
	Events        *timeline.Ring
	Chance        *entropy.Source
	lastID        atomic.Uint64
}

// Admitted is a request that was let in; Run or Release must follow.
type Admitted struct {
	request  *Request
	brownout bool
	release  map[string]func()
}

// Release takes back what admission counted for stages that were not reached.
func (ad *Admitted) Release() {
	for _, release := range ad.release {
		release()
	}
}

// Admit decides whether a request can be answered in time; a refusal comes as a NotRun answer.
func (rn *Runner) Admit(request *Request) (*Admitted, answer.Answer) {
	stages := []admission.Stage{}
	for _, stage := range request.Pipeline.Stages {
		estimate := rn.Pools.Pool(stage.Pool.Name).Estimate(request.Rank.Index, request.Organisation.Name, request.Organisation.Weight)
		stages = append(stages, admission.StageOf(stage, estimate))
	}
	left := request.Deadline.Sub(rn.Timers.Now())
	switch verdict := admission.Decide(left, stages).(type) {
	case admission.Admit:
		return rn.reserve(request, verdict.Brownout), answer.Answer{}
	case admission.Refuse:
		return nil, answer.NotRunFor(answer.Code(verdict.Reason), verdict.RetryAfter, "the deadline can't be met with the work that is ahead")
	}
	invariant.Check(false, "admission has two verdicts", "request %s", request.ID)
	return nil, answer.Answer{}
}

func (rn *Runner) reserve(request *Request, brownout bool) *Admitted {
	admitted := &Admitted{request: request, brownout: brownout, release: map[string]func(){}}
	for at, stage := range request.Pipeline.Stages {
		if at == 0 {
			continue
		}
		pool := rn.Pools.Pool(stage.Pool.Name)
		admitted.release[stage.Name] = pool.Reserve(request.Rank.Index, request.Organisation.Name, request.Organisation.Weight)
	}
	return admitted
}

// Run takes an admitted request through its stages and returns its final answer.
func (rn *Runner) Run(ctx context.Context, admitted *Admitted) answer.Answer {
	defer admitted.Release()
	request := admitted.request
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	run := &requestRun{
		runner: rn, request: request, ledger: attempt.New(request.ID, request.Pipeline.Idempotent),
		payload: request.Payload, brownout: admitted.brownout,
	}
	for at, stage := range request.Pipeline.Stages {
		if release, reserved := admitted.release[stage.Name]; reserved {
			release()
		}
		if run.skips(at) {
			continue
		}
		if failure := run.stage(ctx, at, stage); failure != nil && !run.goesOn(ctx, at) {
			return run.finish(*failure)
		}
	}
	return run.finish(answer.Answer{Outcome: answer.Answered})
}

// requestRun is one request on its way.
type requestRun struct {
	runner   *Runner
	request  *Request
	ledger   *attempt.Ledger
	payload  payloadState
	brownout bool
	reports  []answer.Stage
}

// skips reports whether the stage is left out to save time.
func (rr *requestRun) skips(at int) bool {
	stage := rr.request.Pipeline.Stages[at]
	return stage.Brownout == document.BrownoutSkip && rr.short(at)
}

// goesOn reports whether the request goes on without a stage that failed: the document lets it be left out,
// and the request still has time.
func (rr *requestRun) goesOn(ctx context.Context, at int) bool {
	if rr.request.Pipeline.Stages[at].Brownout != document.BrownoutSkip || ctx.Err() != nil {
		return false
	}
	rr.brownout = true
	return true
}

// short reports whether the time left is less than the stages from here on are expected to take.
func (rr *requestRun) short(at int) bool {
	if rr.brownout {
		return true
	}
	left := rr.request.Deadline.Sub(rr.runner.Timers.Now())
	if rr.remaining(at-1) <= left {
		return false
	}
	rr.brownout = true
	return true
}

// remaining is the expected work of the stages after one.
func (rr *requestRun) remaining(at int) time.Duration {
	total := time.Duration(0)
	for _, stage := range rr.request.Pipeline.Stages[at+1:] {
		pool := rr.runner.Pools.Pool(stage.Pool.Name)
		total += pool.Estimate(rr.request.Rank.Index, rr.request.Organisation.Name, rr.request.Organisation.Weight).Service
	}
	return total
}

// finish completes an answer; NotRun is checked against what was sent.
func (rr *requestRun) finish(result answer.Answer) answer.Answer {
	invariant.Check(result.Outcome != answer.NotRun || !rr.ledger.Dispatched(),
		"a request that is refused as not run did not run", "request %s code %s", rr.request.ID, result.Code)
	result.RequestID = rr.request.ID
	result.Revision = rr.request.Document.Revision
	result.Stages = rr.reports
	result.Brownout = rr.brownout
	result.Tokens = len(rr.payload.Tokens)
	if result.Outcome == answer.Answered {
		result.Output = output(rr.payload)
	}
	return result
}

// refusal is the answer after a pool gave up: NotRun as long as nothing was sent.
func (rr *requestRun) refusal(code answer.Code, retryAfter time.Duration, message string) *answer.Answer {
	outcome := answer.NotRun
	if rr.ledger.Dispatched() {
		outcome = rr.lost()
	}
	return &answer.Answer{Outcome: outcome, Code: code, RetryAfter: retryAfter, Message: message}
}

// lost is the outcome of a request that was sent and has no answer.
func (rr *requestRun) lost() answer.Outcome {
	if rr.request.Pipeline.Idempotent {
		return answer.Failed
	}
	return answer.Unknown
}

// event records something about the request.
func (rr *requestRun) event(kind wire.EventKind, stage, up, outcome, detail string, number int64, took time.Duration) {
	rr.runner.Events.Record(&wire.Event{
		Kind: kind, RequestId: rr.request.ID, Organisation: rr.request.Organisation.Name,
		Rank: rr.request.Rank.Name, Pipeline: rr.request.Pipeline.Name, Stage: stage, Upstream: up,
		Attempt: number, Outcome: outcome, Detail: detail, DurationMicros: took.Microseconds(),
	})
}
