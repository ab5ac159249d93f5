package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/response"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// maxConnectFailures bounds the upstreams that are tried without getting a connection.
	maxConnectFailures = 6
	// maxRejections bounds the upstreams that may reject a request before it is refused.
	maxRejections = 3
	// maxStageRuns bounds how often the stages of a request are executed.
	maxStageRuns = 2
	// noUpstreamRetryAfter is the delay after which a caller is asked to retry if no upstream is available or has capacity.
	noUpstreamRetryAfter = 700 * time.Millisecond
	// minTimeToSend is the least time before the deadline at which a request is still sent.
	minTimeToSend = 10 * time.Millisecond
)

// execute runs the stages and sends the request.
func (rn *run) execute(ctx context.Context) Outcome {
	for range maxStageRuns {
		done, err := rn.runStages(ctx)
		if isLaterPoolFull(err) && ctx.Err() == nil {
			if refusal := rn.checkAdmission(); refusal != nil {
				return refusal
			}
			done, err = rn.runStages(ctx)
		}
		if err != nil {
			return rn.stageFailureOutcome(ctx, err)
		}
		outcome, rerun := rn.send(ctx, done)
		done.releaseAll()
		if !rerun {
			return outcome
		}
	}
	return rn.refuse(minRetryAfter, StagesLost, "stage results were lost repeatedly")
}

// isLaterPoolFull reports whether the stages were refused before the first one started because a later pool has no
// capacity in the planned failure domain, so that another plan may succeed.
func isLaterPoolFull(err error) bool {
	failure := stageError{}
	return errors.As(err, &failure) && failure.laterPoolFull
}

// stageFailureOutcome returns the outcome of a request whose stages failed; the request itself was not sent.
func (rn *run) stageFailureOutcome(ctx context.Context, err error) Outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return Gone{}
	}
	if errors.Is(context.Cause(ctx), errPartBlocked) {
		return rn.blockedOutcome()
	}
	failure := stageError{}
	errors.As(err, &failure)
	if refusal := rn.checkEvacuation(); refusal != nil {
		return refusal
	}
	left := rn.abandonAt.Sub(rn.Timers.Now())
	return rn.refuse(min(max(failure.wait-left, minRetryAfter), max(left, 0)+minRetryAfter), StagesRefused, failure.cause)
}

// attemptResult tells how to continue after an attempt.
type attemptResult struct {
	outcome Outcome
	// tryNext asks for an attempt at another upstream.
	tryNext bool
	// rerunStages asks for the stages to be executed again.
	rerunStages bool
}

// send tries upstreams one after the other until the request has an outcome. The second result asks for the stages to
// be executed again.
func (rn *run) send(ctx context.Context, done *stages) (Outcome, bool) {
	inputs, domain, bytes := done.inputs()
	criteria := placement.Criteria{
		FailureDomain: domain, Session: rn.request.Prompt.session(), SharedTokens: rn.request.Prompt.sharedTokens(),
		PromptTokens: rn.request.Prompt.ownTokens(), InputBytes: bytes,
		MaxInFlight: rn.Pools.maxInFlight(rn.pool), Instances: rn.Pools.liveInstances(),
	}
	connectFailures, rejections := 0, 0
	mayWait := true
	for {
		if failure := rn.checkDeadline(ctx); failure != nil {
			return failure, false
		}
		if failure := rn.checkParts(); failure != nil {
			return failure, false
		}
		criteria.Slack, criteria.Avoided = rn.targetAt.Sub(rn.Timers.Now()), rn.Limits.Avoided()
		choice, maxWait, found := rn.pick(rn.restrict(rn.pinSuspect(criteria)), mayWait)
		if !found {
			return rn.unavailableOutcome(rn.restrict(criteria)), false
		}
		mayWait = mayWait && maxWait == 0
		criteria.IsRepeated = true
		answered := rn.acquire(ctx, choice, criteria, maxWait)
		if answered == nil {
			continue
		}
		rn.leaveUnsent()
		criteria.Exclude = append(criteria.Exclude, choice.Upstream.Incarnation())
		result := rn.sendTo(ctx, choice, criteria, inputs, done, answered)
		if !result.tryNext {
			return result.outcome, result.rerunStages
		}
		switch result.outcome.(type) {
		case Refused:
			rejections++
		default:
			connectFailures++
		}
		mayWait = true
		if connectFailures >= maxConnectFailures || rejections >= maxRejections {
			return result.outcome, false
		}
	}
}

// checkDeadline returns the outcome of a request that has no time left to be sent, or nil.
func (rn *run) checkDeadline(ctx context.Context) Outcome {
	if ctx.Err() == nil && rn.deadline.Sub(rn.Timers.Now()) > minTimeToSend {
		return nil
	}
	return rn.contextOutcome(ctx)
}

// contextOutcome returns the outcome of a request whose context has ended or whose deadline is near.
func (rn *run) contextOutcome(ctx context.Context) Outcome {
	if errors.Is(context.Cause(ctx), errPartBlocked) {
		return rn.blockedOutcome()
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout) {
		return Gone{}
	}
	if rn.audit.Executions() == 0 {
		return rn.refuse(0, NoTime, "deadline passed before the request was sent")
	}
	rn.detail = "deadline passed"
	return TimedOut{}
}

// noUpstreamOutcome returns the outcome of a request for which there is no upstream left to try.
func (rn *run) noUpstreamOutcome() Outcome {
	if rn.audit.Executions() == 0 {
		return rn.refuse(noUpstreamRetryAfter, NoUpstream, "no upstream available")
	}
	rn.detail = "no other upstream available"
	return Failed{Cause: rn.detail}
}

// recordAttemptEnd updates the upstream's state with the result of an attempt and records its ejection, if any.
func (rn *run) recordAttemptEnd(choice placement.Choice, criteria placement.Criteria, answered bool, result placement.Result) {
	ejection := time.Duration(0)
	rn.Pools.withPlacement(rn.pool.Name, func(now time.Time, known *placement.Pool) {
		ejection = known.RecordEnd(now, choice.Upstream.Incarnation(), criteria.PromptTokens, answered, result)
		known.RecordNotRun(choice.Upstream.Incarnation(), criteria.Session, result)
	})
	if ejection > 0 {
		rn.Events.Record(&wire.Event{
			Kind: wire.EventKind_EventUpstreamEjected, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
			DurationMicros: ejection.Microseconds(),
		})
	}
}

// sendTo makes one attempt at an upstream.
func (rn *run) sendTo(
	ctx context.Context, choice placement.Choice, criteria placement.Criteria, inputs []string, done *stages, answered func(notice.Notice),
) attemptResult {
	startedAt := rn.Timers.Now()
	at := &attempt{
		run: rn, number: rn.audit.Executions() + 1, choice: choice, criteria: criteria, startedAt: startedAt, stages: done, answered: answered,
	}
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventUpstreamChosen, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
		Attempt: int64(at.number),
		Detail: fmt.Sprintf("order=%d copies=%d expected=%dms domain=%s wanted=%s version=%s", choice.Order, choice.Engines,
			choice.ExpectedLatency.Milliseconds(), choice.Upstream.FailureDomain, criteria.FailureDomain, choice.Upstream.SoftwareVersion),
	})
	rn.recordSent(choice, criteria)
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	defer at.cancel(nil)
	at.stopTimeout = rn.Timers.AfterFunc(rn.firstByteTimeout(choice), func() { at.cancel(errFirstByteTimeout) })
	defer at.stopTimeout()
	at.recordOrigin()
	rn.audit.Start()
	reply, err := rn.Sender.Send(notice.WithObserver(at.ctx, at.observeNotice), UpstreamRequest{
		Request: rn.request, Upstream: choice.Upstream, Organisation: rn.organisation.Name,
		Remaining: rn.deadline.Sub(startedAt), Inputs: inputs, Rank: rn.rank, Engine: rn.pool.Engine != nil, LastEventID: rn.response.LastEventID(),
	})
	result := at.handleResponse(ctx, reply, err)
	if begunBy := rn.response.BegunBy(); begunBy != 0 && begunBy < at.number {
		at.detail += fmt.Sprintf(" resumes=%d", begunBy)
	}
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventAttemptEnded, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
		Attempt: int64(at.number), Outcome: at.outcome, Detail: at.detail, DurationMicros: rn.Timers.Now().Sub(startedAt).Microseconds(),
	})
	return result
}

const (
	// firstByteTargets is how many target latencies a retryable request waits for the first byte before it is sent to
	// another upstream, but at least minFirstByteTimeout: a sound upstream may be silent for a second.
	firstByteTargets    = 2
	minFirstByteTimeout = 1500 * time.Millisecond
)

// noFirstByteTimeout exceeds every request deadline, which ends the request first.
const noFirstByteTimeout = time.Hour

// firstByteTimeout returns how long to wait for an upstream's first byte; a request that must not be retried waits
// until its deadline.
func (rn *run) firstByteTimeout(choice placement.Choice) time.Duration {
	if rn.pipeline.RetryPolicy == route.AtMostOnce || rn.audit.Executions()+1 >= rn.pipeline.MaxUpstreams {
		return noFirstByteTimeout
	}
	return min(rn.deadline.Sub(rn.Timers.Now()), max(firstByteTargets*rn.pipeline.TargetLatency, minFirstByteTimeout, firstByteTargets*choice.ExpectedLatency))
}

// attempt is one send of a request to an upstream.
type attempt struct {
	run *run
	// number is the number of the attempt, from 1; a send that was not executed is not counted.
	number    int
	choice    placement.Choice
	criteria  placement.Criteria
	startedAt time.Time
	stages    *stages
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// stopTimeout stops the timer of the first byte.
	stopTimeout  func()
	gotFirstByte bool
	firstByteAt  time.Time
	// reportedSuccess is set once the success of the prompt's parts was reported.
	reportedSuccess bool
	// answered is called with what the answer says about the upstream; limit is its rate limit for the log.
	answered func(notice.Notice)
	limit    string
	// origin is where the stream begins if the attempt brings its first event.
	origin origin.Origin
	// output is what the attempt writes to the caller, or nil before its first part.
	output  *response.Body
	outcome string
	detail  string
}

// errRestarted reports that another incarnation of the upstream has answered than the one that is registered.
var errRestarted = errors.New("the upstream was restarted, perhaps with another version")

// errFirstByteTimeout is the cancellation cause of an attempt whose first byte is overdue.
var errFirstByteTimeout = errors.New("timed out waiting for the upstream's first byte")

// handleResponse forwards an upstream's response or decides how to continue without it.
func (at *attempt) handleResponse(ctx context.Context, reply *UpstreamResponse, err error) attemptResult {
	rn := at.run
	switch {
	case err != nil && notSent(err):
		rn.audit.MarkNotSent()
		if isRefused(err) {
			rn.Streams.ReportEnded(at.choice.Upstream.Incarnation())
		}
		at.finish(placement.Unreachable, "NotSent", err.Error())
		return attemptResult{outcome: rn.connectFailureOutcome(ctx), tryNext: ctx.Err() == nil}
	case err != nil:
		rn.audit.MarkMaybeExecuted()
		rn.releaseUnneeded()
		return at.handleLost(ctx, err.Error())
	case reply.RequestMismatch:
		// It says nothing about this request, not even that it was not executed.
		rn.audit.MarkMaybeExecuted()
		_ = reply.Body.Close()
		return at.handleLost(ctx, "response belongs to another request")
	case reply.NotExecuted:
		rn.audit.MarkNotExecuted()
		_ = reply.Body.Close()
		return at.handleRejected(ctx, reply)
	}
	rn.audit.MarkMaybeExecuted()
	rn.releaseUnneeded()
	if reply.Encoded || reply.Status < http.StatusMultipleChoices && !reply.Signed {
		_ = reply.Body.Close()
		return at.handleLost(ctx, "response is unsigned or encoded")
	}
	defer reply.Body.Close()
	if at.isAnotherIncarnation() {
		return at.handleNotContinued(ctx, errRestarted)
	}
	if rn.response.IsBegun() {
		return at.resumeStream(ctx, reply)
	}
	if rn.pipeline.Streaming && reply.Status == http.StatusOK && at.head(reply).MayBeEventStream() {
		return at.forwardStream(ctx, reply)
	}
	return at.forwardBuffered(ctx, reply)
}

// connectFailureOutcome returns the outcome if the failed connection was the last one to try.
func (rn *run) connectFailureOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return rn.contextOutcome(ctx)
	}
	return rn.noUpstreamOutcome()
}

func (at *attempt) finish(result placement.Result, outcome, detail string) {
	at.outcome, at.detail = outcome, detail
	at.run.recordAttemptEnd(at.choice, at.criteria, at.gotFirstByte, result)
	at.recordServiceTime(result)
}

// handleRejected handles a response that says that the request was not executed.
func (at *attempt) handleRejected(ctx context.Context, reply *UpstreamResponse) attemptResult {
	rn := at.run
	at.finish(placement.Rejected, "Rejected", fmt.Sprintf("status=%d", reply.Status))
	if rn.audit.Executions() > 0 {
		return attemptResult{outcome: Failed{Cause: "rejected by the upstream after an earlier attempt"}, tryNext: rn.takeRetry(ctx)}
	}
	left, _ := rn.pauseLeft()
	outcome := rn.refuse(max(left, noUpstreamRetryAfter), UpstreamsFull, "rejected by the upstream")
	if reply.InputMissing {
		return attemptResult{outcome: outcome, rerunStages: rn.takeBudget()}
	}
	return attemptResult{outcome: outcome, tryNext: rn.takeBudget()}
}

// takeRetry reports whether the request may be sent to one more upstream and takes the retry from the budget.
func (rn *run) takeRetry(ctx context.Context) bool {
	if rn.response.IsBegun() && !rn.response.CanResume() || rn.pipeline.RetryPolicy == route.AtMostOnce || rn.audit.Executions() >= rn.pipeline.MaxUpstreams || ctx.Err() != nil {
		return false
	}
	if rn.hasSuspectPart() || !rn.mayContinue() {
		return false
	}
	return rn.takeBudget()
}

// takeBudget takes one retry from the pool's budget and reports whether one was left.
func (rn *run) takeBudget() bool {
	if !rn.Pools.Spend(rn.pool.Name) {
		return false
	}
	rn.audit.GrantRetry()
	rn.Metrics.SetRetryBudgetLeft(rn.pool.Name, rn.Pools.Remaining(rn.pool.Name))
	return true
}

// handleLost handles an attempt that may have been executed but has no usable response.
func (at *attempt) handleLost(ctx context.Context, cause string) attemptResult {
	rn := at.run
	if ctx.Err() != nil {
		at.finish(placement.Abandoned, "Abandoned", cause)
		return attemptResult{outcome: rn.contextOutcome(ctx)}
	}
	at.finish(placement.Failed, "Lost", cause)
	at.cancel(nil)
	if !errors.Is(context.Cause(at.ctx), errFirstByteTimeout) {
		rn.reportCrash(at)
	}
	rn.detail = cause
	return attemptResult{outcome: Failed{Cause: cause}, tryNext: rn.takeRetry(ctx)}
}

// crashProbeTimeout bounds the check whether an upstream that dropped a request still accepts connections.
const crashProbeTimeout = 400 * time.Millisecond

// reportCrash reports the request's content, and the parts of its prompt, to all instances if the upstream has died while
// executing the attempt. An upstream that was leaving before is expected to end. One in an evacuated failure domain is not, but it gets no
// call that asks for its incarnation.
func (rn *run) reportCrash(at *attempt) {
	up, fingerprint, id, isCause, isResumable := at.choice.Upstream, rn.fingerprint, rn.request.ID, at.isCrashCause(), rn.isResumable()
	if !rn.Catalog.Snapshot().IsStaying(up.Incarnation()) {
		return
	}
	detail := fmt.Sprintf("%s began=%s parts=%s", fingerprint, at.sinceFirstByte(), rn.request.Prompt.sharedIDs())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		state := rn.Sender.Probe(ctx, up)
		restarted := state == ProcessAlive && (isCause || isResumable) && rn.Catalog.IsUsable(up.Incarnation()) && rn.hasRestarted(ctx, up)
		if restarted || state == ProcessGone {
			rn.Streams.ReportEnded(up.Incarnation())
		}
		if restarted && isCause {
			state = ProcessGone
		}
		if state == ProcessAlive {
			return
		}
		if state == ProcessGone && isCause {
			rn.Crashes.ReportPartCrash(hashIncarnation(up.Incarnation()), rn.parts)
		}
		rn.Crashes.ReportCrash(quarantine.Crash{
			Fingerprint: fingerprint, Upstream: up.ID, ID: id + "/" + up.ID, At: rn.Timers.Now(),
		})
		rn.Events.Record(&wire.Event{
			Kind: wire.EventKind_EventRequestQuarantined, RequestId: id, Upstream: up.ID, Detail: detail,
		})
	}()
}

// sinceFirstByte returns how long ago the upstream's first byte arrived, or "never".
func (at *attempt) sinceFirstByte() string {
	if !at.gotFirstByte {
		return "never"
	}
	return fmt.Sprintf("%dms", at.run.Timers.Now().Sub(at.firstByteAt).Milliseconds())
}

// observeNotice passes on what the upstream's answer says about the upstream.
func (at *attempt) observeNotice(seen notice.Notice) {
	if limit, is := seen.Limit.(ratelimit.Limit); is {
		at.limit = "ratelimit=" + limit.String()
	}
	at.answered(seen)
}

// recordFirstByte records the latency of the upstream's first byte and stops the timer that waits for it.
func (at *attempt) recordFirstByte() {
	rn := at.run
	at.gotFirstByte = true
	at.firstByteAt = rn.Timers.Now()
	rn.isAnswering.Store(true)
	at.stopTimeout()
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventAnswerBegan, RequestId: rn.request.ID, Upstream: at.choice.Upstream.ID, Stage: rn.pool.Name,
		Attempt: int64(rn.audit.Executions()), DurationMicros: rn.Timers.Now().Sub(at.startedAt).Microseconds(), Detail: at.limit,
	})
	rn.Pools.withPlacement(rn.pool.Name, func(now time.Time, known *placement.Pool) {
		known.RecordFirstByte(now, at.choice.Upstream.Incarnation(), at.criteria.PromptTokens, now.Sub(at.startedAt), at.choice.ExpectedLatency)
	})
}
