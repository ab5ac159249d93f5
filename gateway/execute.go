package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// maxConnects is how many upstreams are tried for a connection.
	maxConnects = 6
	// maxRejections is how many upstreams may reject a request before its caller is told to come back.
	maxRejections = 3
	// maxGraphs is how often the stages of a request are done.
	maxGraphs = 2
	// emptyPoolRetry is when to come back to a pool without a usable upstream.
	emptyPoolRetry = 700 * time.Millisecond
	// minSend is the least time left with which a request is worth sending.
	minSend = 10 * time.Millisecond
)

// execute does the stages and sends the request.
func (rn *run) execute(ctx context.Context) Outcome {
	for range maxGraphs {
		done, err := rn.runStages(ctx)
		if isFull(err) && ctx.Err() == nil {
			if refusal := rn.admitLoad(); refusal != nil {
				return refusal
			}
			done, err = rn.runStages(ctx)
		}
		if err != nil {
			return rn.stageFailure(ctx, err)
		}
		outcome, again := rn.send(ctx, done)
		done.releaseAll()
		if !again {
			return outcome
		}
	}
	return rn.refuse(minRetry, StagesLost, "results of stages were lost")
}

// isFull reports whether stages were refused before the first was begun, so that another plan may do.
func isFull(err error) bool {
	failure := stageError{}
	return errors.As(err, &failure) && failure.full
}

// stageFailure is the outcome of a request whose stages were not done: it never ran.
func (rn *run) stageFailure(ctx context.Context, err error) Outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return Gone{}
	}
	failure := stageError{}
	errors.As(err, &failure)
	left := rn.beginBy.Sub(rn.Timers.Now())
	return rn.refuse(min(max(failure.wait-left, minRetry), max(left, 0)+minRetry), StagesRefused, failure.cause)
}

// ended is how one send ended.
type ended struct {
	outcome Outcome
	// next says to try another upstream.
	next bool
	// redo says to do the stages again.
	redo bool
}

// send sends the request to one upstream after the other until there is an outcome.
func (rn *run) send(ctx context.Context, done *stages) (Outcome, bool) {
	inputs, domain, bytes := done.inputs()
	want := placement.Criteria{
		FailureDomain: domain, Session: rn.request.Prompt.session(), SharedTokens: rn.request.Prompt.sharedTokens(),
		PromptTokens: rn.request.Prompt.ownTokens(), InputBytes: bytes,
		MaxInFlight: rn.Pools.mostRunning(rn.pool),
	}
	connects, rejections := 0, 0
	for {
		if failure := rn.timeLeft(ctx); failure != nil {
			return rn.cutOff(failure), false
		}
		want.Slack = rn.due.Sub(rn.Timers.Now())
		choice, found := rn.Pools.pick(rn.pool.Name, rn.Catalog.Upstreams(rn.pool.Name, ""), want, want.PromptTokens)
		if !found {
			return rn.cutOff(rn.noUpstream()), false
		}
		want.Exclude = append(want.Exclude, choice.Upstream.Incarnation())
		if !rn.Catalog.IsUsable(choice.Upstream.Incarnation()) {
			rn.ended(choice, want, false, placement.Abandoned)
			continue
		}
		result := rn.attempt(ctx, choice, want, inputs, done)
		if !result.next {
			return rn.cutOff(result.outcome), result.redo
		}
		switch result.outcome.(type) {
		case Refused:
			rejections++
		default:
			connects++
		}
		if connects >= maxConnects || rejections >= maxRejections {
			return rn.cutOff(result.outcome), false
		}
	}
}

// cutOff is the outcome of a request a part of whose answer has been passed on: only its end can be whole.
func (rn *run) cutOff(outcome Outcome) Outcome {
	if !rn.passed {
		return outcome
	}
	switch outcome.(type) {
	case Answered, Gone:
		return outcome
	default:
		return CutOff{}
	}
}

// timeLeft returns the outcome of a request that is not worth sending any more, or nil.
func (rn *run) timeLeft(ctx context.Context) Outcome {
	if ctx.Err() == nil && rn.end.Sub(rn.Timers.Now()) > minSend {
		return nil
	}
	return rn.overOutcome(ctx)
}

// overOutcome is the outcome of a request whose context has ended.
func (rn *run) overOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout) {
		return Gone{}
	}
	if rn.sends.Executions() == 0 {
		return rn.refuse(0, NoTime, "no time left")
	}
	rn.cause = "no time left"
	return TimedOut{}
}

// noUpstream is the outcome when no upstream may be tried, or none again.
func (rn *run) noUpstream() Outcome {
	if rn.sends.Executions() == 0 {
		return rn.refuse(emptyPoolRetry, NoUpstream, "no usable upstream")
	}
	rn.cause = "no other upstream to try"
	return Failed{Cause: rn.cause}
}

func (rn *run) ended(choice placement.Choice, want placement.Criteria, answered bool, end placement.Result) {
	out := time.Duration(0)
	rn.Pools.with(rn.pool.Name, func(now time.Time, known *placement.Pool) {
		out = known.RecordEnd(now, choice.Upstream.Incarnation(), want.PromptTokens, answered, end)
	})
	if out > 0 {
		rn.Events.Record(&wire.Event{
			Kind: wire.EventKind_EventUpstreamEjected, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
			DurationMicros: out.Microseconds(),
		})
	}
}

// attempt sends the request to one upstream.
func (rn *run) attempt(ctx context.Context, choice placement.Choice, want placement.Criteria, inputs []string, done *stages) ended {
	began := rn.Timers.Now()
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventUpstreamChosen, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
		Attempt: int64(rn.sends.Executions() + 1),
		Detail: fmt.Sprintf("order=%d expected=%dms domain=%s wanted=%s", choice.Order, choice.ExpectedLatency.Milliseconds(),
			choice.Upstream.FailureDomain, want.FailureDomain),
	})
	at := &attempt{run: rn, choice: choice, want: want, began: began, stages: done}
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	defer at.cancel(nil)
	at.stopLimit = rn.Timers.AfterFunc(rn.firstAnswerLimit(choice), func() { at.cancel(errUnanswered) })
	defer at.stopLimit()
	rn.sends.Start()
	reply, err := rn.Sender.Send(at.ctx, UpstreamRequest{
		Request: rn.request, Upstream: choice.Upstream, Organisation: rn.organisation.Name,
		Remaining: rn.end.Sub(began), Inputs: inputs, Rank: rn.rank, Engine: rn.pool.Engine != nil, LastEventID: rn.lastEventID(),
	})
	result := at.judge(ctx, reply, err)
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventAttemptEnded, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
		Attempt: int64(rn.sends.Executions()), Outcome: at.outcome, Detail: at.detail, DurationMicros: rn.Timers.Now().Sub(began).Microseconds(),
	})
	return result
}

// lastEventID is the event after which the stream goes on.
func (rn *run) lastEventID() string {
	if id := rn.cutter.LastEventID(); id != "" {
		return id
	}
	return rn.request.LastEventID
}

const (
	// silentTargets is how many times its target a repeatable request waits for a first answer before it is sent
	// to another upstream, at least silentLeast.
	silentTargets = 2
	silentLeast   = 700 * time.Millisecond
)

// noLimit is longer than any request takes: its own end comes first.
const noLimit = time.Hour

// firstAnswerLimit is how long an upstream may be silent; a request that can't be sent again waits to its end.
func (rn *run) firstAnswerLimit(choice placement.Choice) time.Duration {
	if rn.pipeline.RetryPolicy == route.AtMostOnce || rn.sends.Executions()+1 >= rn.pipeline.MaxUpstreams {
		return noLimit
	}
	return min(rn.end.Sub(rn.Timers.Now()), max(silentTargets*rn.pipeline.TargetLatency, silentLeast, silentTargets*choice.ExpectedLatency))
}

// attempt is one send.
type attempt struct {
	run    *run
	choice placement.Choice
	want   placement.Criteria
	began  time.Time
	stages *stages
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stopLimit ends the time in which the upstream must answer.
	stopLimit func()
	answered  bool
	outcome   string
	detail    string
}

// errUnanswered cancels a send whose upstream stays silent.
var errUnanswered = errors.New("upstream is silent")

// judge decides what follows from an upstream's answer.
func (at *attempt) judge(ctx context.Context, reply *UpstreamResponse, err error) ended {
	rn := at.run
	switch {
	case err != nil && notSent(err):
		rn.sends.MarkNotSent()
		at.end(placement.Unreachable, "NotSent", err.Error())
		return ended{outcome: rn.afterNoConnection(ctx), next: ctx.Err() == nil}
	case err != nil:
		rn.sends.MarkMaybeExecuted()
		return at.lost(ctx, err.Error())
	case reply.NotExecuted:
		rn.sends.MarkNotExecuted()
		_ = reply.Body.Close()
		return at.rejected(ctx, reply)
	}
	rn.sends.MarkMaybeExecuted()
	if reply.RequestMismatch || reply.Status < http.StatusMultipleChoices && !reply.Signed {
		_ = reply.Body.Close()
		return at.lost(ctx, "answer without signature or of another request")
	}
	defer reply.Body.Close()
	if rn.pipeline.Streaming && reply.Status == http.StatusOK {
		return at.passStream(ctx, reply)
	}
	return at.passWhole(ctx, reply)
}

// afterNoConnection is the outcome if no other upstream can be tried.
func (rn *run) afterNoConnection(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return rn.overOutcome(ctx)
	}
	return rn.noUpstream()
}

func (at *attempt) end(end placement.Result, outcome, detail string) {
	at.outcome, at.detail = outcome, detail
	at.run.ended(at.choice, at.want, at.answered, end)
}

// rejected handles an upstream that did not run the request.
func (at *attempt) rejected(ctx context.Context, reply *UpstreamResponse) ended {
	rn := at.run
	at.end(placement.Rejected, "Rejected", fmt.Sprintf("status=%d", reply.Status))
	if rn.sends.Executions() > 0 {
		return ended{outcome: Failed{Cause: "rejected after another send"}, next: rn.mayRepeat(ctx)}
	}
	outcome := rn.refuse(emptyPoolRetry, UpstreamsFull, "rejected by the upstream")
	if reply.InputMissing {
		return ended{outcome: outcome, redo: rn.spend()}
	}
	return ended{outcome: outcome, next: rn.spend()}
}

// mayRepeat reports whether the request may be sent to one more upstream, and spends a repeated send.
func (rn *run) mayRepeat(ctx context.Context) bool {
	if rn.passed && rn.cutter.LastEventID() == "" || rn.pipeline.RetryPolicy == route.AtMostOnce || rn.sends.Executions() >= rn.pipeline.MaxUpstreams || ctx.Err() != nil {
		return false
	}
	return rn.spend()
}

// spend takes one repeated send out of the budget and reports whether there was one.
func (rn *run) spend() bool {
	if !rn.Pools.Spend(rn.pool.Name) {
		return false
	}
	rn.sends.GrantRetry()
	rn.Metrics.SetRetryBudgetLeft(rn.pool.Name, rn.Pools.Remaining(rn.pool.Name))
	return true
}

// lost handles a send that may have run and has no usable answer.
func (at *attempt) lost(ctx context.Context, cause string) ended {
	rn := at.run
	if ctx.Err() != nil {
		at.end(placement.Abandoned, "Abandoned", cause)
		return ended{outcome: rn.overOutcome(ctx)}
	}
	at.end(placement.Failed, "Lost", cause)
	at.cancel(nil)
	if !errors.Is(context.Cause(at.ctx), errUnanswered) {
		rn.reportCrash(at.choice.Upstream)
	}
	rn.cause = cause
	return ended{outcome: Failed{Cause: cause}, next: rn.mayRepeat(ctx)}
}

// crashProbeTimeout bounds the look whether an upstream that broke off still takes connections.
const crashProbeTimeout = 400 * time.Millisecond

// reportCrash tells all instances of a request whose upstream died while it ran it.
func (rn *run) reportCrash(up *roster.Upstream) {
	fingerprint, id := rn.fingerprint, rn.request.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		if rn.Sender.IsReachable(ctx, up) || !rn.Catalog.IsUsable(up.Incarnation()) {
			return
		}
		rn.Crashes.ReportCrash(quarantine.Crash{
			Fingerprint: fingerprint, Upstream: up.ID, ID: id + "/" + up.ID, At: rn.Timers.Now(),
		})
		rn.Events.Record(&wire.Event{
			Kind: wire.EventKind_EventRequestQuarantined, RequestId: id, Upstream: up.ID, Detail: fingerprint.String(),
		})
	}()
}

// answering books the first part of an answer.
func (at *attempt) answering() {
	rn := at.run
	at.answered = true
	at.stopLimit()
	rn.Pools.observe(rn.pipeline.Name, rn.forecast, rn.Timers.Now().Sub(rn.request.Arrived))
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventAnswerBegan, RequestId: rn.request.ID, Upstream: at.choice.Upstream.ID, Stage: rn.pool.Name,
		Attempt: int64(rn.sends.Executions()), DurationMicros: rn.Timers.Now().Sub(at.began).Microseconds(),
	})
	rn.Pools.with(rn.pool.Name, func(now time.Time, known *placement.Pool) {
		known.RecordFirstByte(now, at.choice.Upstream.Incarnation(), at.want.PromptTokens, now.Sub(at.began), at.choice.ExpectedLatency)
	})
}

// maxAnswer bounds an answer that is read whole before it is passed on, in bytes.
const maxAnswer = 8 << 20

// passWhole reads the whole answer and passes it on, or tries again where that may help.
func (at *attempt) passWhole(ctx context.Context, reply *UpstreamResponse) ended {
	rn := at.run
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return at.lost(ctx, fmt.Sprintf("answer broke off: %v", err))
	}
	at.answering()
	failed := reply.Status >= http.StatusInternalServerError
	if failed && rn.mayRepeat(ctx) {
		at.end(placement.Failed, "Error", fmt.Sprintf("status=%d", reply.Status))
		return ended{outcome: Failed{Cause: "error of the upstream"}, next: true}
	}
	if rn.Crashes.Status(rn.fingerprint) != quarantine.Clear {
		rn.Crashes.ReportSuccess(rn.fingerprint)
	}
	result := placement.Served
	if failed {
		result = placement.Failed
	}
	at.end(result, "Answered", fmt.Sprintf("status=%d bytes=%d", reply.Status, len(body)))
	rn.passed = true
	rn.cause = fmt.Sprintf("status=%d", reply.Status)
	rn.sink.Start(reply.Status, reply.Header, int64(len(body)))
	if err := rn.sink.Write(body); err != nil {
		return ended{outcome: Gone{}}
	}
	return ended{outcome: Answered{}}
}
