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

// Runner admits requests and runs them through their pipelines; it is safe for concurrent use.
type Runner struct {
	Timers          *timer.Service
	FailureDomain   string
	Client          UpstreamClient
	Pools           Pools
	Guard           Guard
	LeavingReporter LeavingReporter
	Events          *timeline.Ring
	Random          *entropy.Source
	lastID          atomic.Uint64
}

// Admitted is an admitted request; Runner.Run or Release must follow.
type Admitted struct {
	request  *Request
	brownout bool
	// release holds, by stage name, the functions that remove the work reserved for the stages after the first.
	release map[string]func()
}

// Release removes the work that admission reserved for stages that the request has not reached.
func (ad *Admitted) Release() {
	for _, release := range ad.release {
		release()
	}
}

// Admit decides whether a request can be expected to meet its deadline. It returns nil and a NotRun answer for a
// refused request.
func (rn *Runner) Admit(request *Request) (*Admitted, answer.Answer) {
	stages := []admission.Stage{}
	for _, stage := range request.Pipeline.Stages {
		estimate := rn.Pools.Pool(stage.Pool.Name).Estimate(request.Rank.Index, request.Organisation.Name, request.Organisation.Weight)
		stages = append(stages, admission.NewStage(stage, estimate))
	}
	timeLeft := request.Deadline.Sub(rn.Timers.Now())
	switch decision := admission.Decide(timeLeft, stages).(type) {
	case admission.Admit:
		return rn.reserve(request, decision.Brownout), answer.Answer{}
	case admission.Refuse:
		return nil, answer.NewNotRun(answer.Code(decision.Reason), decision.RetryAfter, "the deadline can't be met with the work that is ahead")
	}
	invariant.Check(false, "admission either admits or refuses", "request %s", request.ID)
	return nil, answer.Answer{}
}

// reserve counts the admitted request as work of the pools of all stages after the first.
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

// Run runs an admitted request through its stages and returns its final answer.
func (rn *Runner) Run(ctx context.Context, admitted *Admitted) answer.Answer {
	defer admitted.Release()
	request := admitted.request
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	run := &requestRun{
		runner: rn, request: request, tracker: attempt.New(request.ID, request.Pipeline.Idempotent),
		payload: request.Payload, brownout: admitted.brownout,
	}
	for at, stage := range request.Pipeline.Stages {
		if release, reserved := admitted.release[stage.Name]; reserved {
			release()
		}
		if run.shouldSkip(at) {
			continue
		}
		before := run.payload
		if failure := run.runStage(ctx, at, stage); failure != nil {
			if !run.continueWithout(ctx, at) {
				return run.complete(*failure)
			}
			run.payload = before
		}
	}
	return run.complete(answer.Answer{Outcome: answer.Answered})
}

// requestRun is the state of one running request.
type requestRun struct {
	runner       *Runner
	request      *Request
	tracker      *attempt.Tracker
	payload      payloadState
	brownout     bool
	stageReports []answer.StageReport
}

// shouldSkip reports whether the stage is skipped because time is short.
func (rr *requestRun) shouldSkip(at int) bool {
	stage := rr.request.Pipeline.Stages[at]
	return stage.Brownout == document.BrownoutSkip && rr.isShortOfTime(at)
}

// continueWithout reports whether the request continues without a stage that failed, which requires that the
// document allows to skip the stage and that ctx has not ended. It marks the request as browned out in that case.
func (rr *requestRun) continueWithout(ctx context.Context, at int) bool {
	if rr.request.Pipeline.Stages[at].Brownout != document.BrownoutSkip || ctx.Err() != nil {
		return false
	}
	rr.brownout = true
	return true
}

// isShortOfTime reports whether the stages from at on are expected to take longer than the time left, now or at an
// earlier stage. It marks the request as browned out in that case.
func (rr *requestRun) isShortOfTime(at int) bool {
	if rr.brownout {
		return true
	}
	timeLeft := rr.request.Deadline.Sub(rr.runner.Timers.Now())
	if rr.remainingWork(at-1) <= timeLeft {
		return false
	}
	rr.brownout = true
	return true
}

// remainingWork returns the expected service time of the stages after the one at the index at.
func (rr *requestRun) remainingWork(at int) time.Duration {
	total := time.Duration(0)
	for _, stage := range rr.request.Pipeline.Stages[at+1:] {
		pool := rr.runner.Pools.Pool(stage.Pool.Name)
		total += pool.Estimate(rr.request.Rank.Index, rr.request.Organisation.Name, rr.request.Organisation.Weight).Service
	}
	return total
}

// complete fills in the fields that all answers have. It checks that no answer claims NotRun after a call was sent.
func (rr *requestRun) complete(result answer.Answer) answer.Answer {
	invariant.Check(result.Outcome != answer.NotRun || !rr.tracker.AnyDispatched(),
		"a request that is refused as not run did not run", "request %s code %s", rr.request.ID, result.Code)
	result.RequestID = rr.request.ID
	result.Revision = rr.request.Document.Revision
	result.Stages = rr.stageReports
	result.Brownout = rr.brownout
	result.Tokens = len(rr.payload.Tokens)
	if result.Outcome == answer.Answered {
		result.Output = output(rr.payload)
	}
	return result
}

// refusal returns the answer to a request that is refused: its outcome is NotRun as long as no call was sent.
func (rr *requestRun) refusal(code answer.Code, retryAfter time.Duration, message string) *answer.Answer {
	outcome := answer.NotRun
	if rr.tracker.AnyDispatched() {
		outcome = rr.outcomeAfterDispatch()
	}
	return &answer.Answer{Outcome: outcome, Code: code, RetryAfter: retryAfter, Message: message}
}

// outcomeAfterDispatch returns the outcome of a request of which a call was sent but not answered.
func (rr *requestRun) outcomeAfterDispatch() answer.Outcome {
	if rr.request.Pipeline.Idempotent {
		return answer.Failed
	}
	return answer.Unknown
}

// recordEvent records an event of the request on the timeline.
func (rr *requestRun) recordEvent(kind wire.EventKind, stage, up, outcome, detail string, number int64, elapsed time.Duration) {
	rr.runner.Events.Record(&wire.Event{
		Kind: kind, RequestId: rr.request.ID, Organisation: rr.request.Organisation.Name,
		Rank: rr.request.Rank.Name, Pipeline: rr.request.Pipeline.Name, Stage: stage, Upstream: up,
		Attempt: number, Outcome: outcome, Detail: detail, DurationMicros: elapsed.Microseconds(),
	})
}
