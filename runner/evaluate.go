package runner

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// evaluation is what a call's outcome means for the request and for the upstream.
type evaluation struct {
	// result is the result of the attempt for the request.
	result result
	// status is reported to the dispatcher.
	status dispatch.CallStatus
	// outcomeName and detail are recorded in the attempt's event.
	outcomeName string
	detail      string
	// payload is the payload for the next stage, if the attempt succeeded.
	payload payloadState
	// tokens are the valid tokens that arrived before the attempt failed, from which a retry can resume.
	tokens []string
	waited time.Duration
	load   int64
}

// evaluate evaluates a call's outcome and closes the attempt.
func (sr *stageRun) evaluate(ctx context.Context, id attempt.Identity, up *document.Upstream, outcome upstream.Outcome) evaluation {
	switch ended := outcome.(type) {
	case upstream.Replied:
		return sr.evaluateReply(id, up, ended)
	case upstream.NotSent:
		sr.tracker.MarkNotSent(id)
		failure := sr.refusal(answer.UpstreamFailed, minRetryAfter, "the upstream could not be reached")
		return evaluation{result: result{failure, true}, status: dispatch.Unreachable, outcomeName: "NotSent", detail: ended.Cause, load: -1}
	case upstream.Refused:
		return sr.evaluateRefused(id, up, ended)
	case upstream.Broken:
		return sr.evaluateBroken(ctx, id, up, ended)
	case upstream.Rejected:
		sr.tracker.End(id)
		failure := &answer.Answer{Outcome: answer.Failed, Code: answer.UpstreamRejected, Message: "the upstream rejected the request: " + ended.Detail}
		return evaluation{result: result{failure, false}, status: dispatch.Succeeded, outcomeName: "Rejected", detail: ended.Detail, load: -1}
	case upstream.Garbage:
		sr.tracker.End(id)
		return evaluation{result: sr.failedResult("the upstream's answer made no sense"), status: dispatch.Failed, outcomeName: "Garbage", detail: ended.Cause, tokens: ended.Tokens, load: -1}
	}
	invariant.Check(false, "a call has a known outcome", "outcome of type %T", outcome)
	return evaluation{}
}

// failedResult returns the result of an attempt that may have run. It is retryable only if the pipeline is
// idempotent.
func (sr *stageRun) failedResult(message string) result {
	failure := &answer.Answer{Outcome: sr.outcomeAfterDispatch(), Code: answer.UpstreamFailed, Message: message}
	if sr.request.Pipeline.Idempotent {
		failure.RetryAfter = minRetryAfter
	}
	return result{failure: failure, retryable: sr.request.Pipeline.Idempotent}
}

// evaluateReply accepts a complete answer if its identity is that of this attempt, and drops it otherwise.
func (sr *stageRun) evaluateReply(id attempt.Identity, up *document.Upstream, reply upstream.Replied) evaluation {
	ev := evaluation{status: dispatch.Succeeded, outcomeName: "Replied", payload: reply.Payload, waited: reply.Waited, load: reply.Load}
	if reply.Leaving {
		ev.status = dispatch.Leaving
		sr.runner.LeavingReporter.ReportUpstreamLeaving(up)
	}
	rejection := sr.tracker.Accept(reply.Identity)
	if rejection == attempt.Accepted && reply.Identity == id {
		return ev
	}
	invariant.Check(rejection != attempt.Accepted, "a result belongs to its own call", "request %s accepted the result of %v for the call %v", sr.request.ID, reply.Identity, id)
	sr.tracker.End(id)
	sr.recordEvent(wire.EventKind_EventResultDropped, sr.stageConfig.Name, up.Name, string(rejection), "", id.Attempt, 0)
	ev.result = sr.failedResult("the upstream answered another request")
	ev.outcomeName, ev.detail = "Dropped", string(rejection)
	if rejection != attempt.AttemptClosed {
		ev.status = dispatch.Failed
	}
	return ev
}

// evaluateRefused handles an upstream that has no capacity or is leaving. The attempt counts as not sent only if the
// answer states with the header X-Not-Run that the request did not run, and a non-idempotent request is retried only
// then.
func (sr *stageRun) evaluateRefused(id attempt.Identity, up *document.Upstream, refused upstream.Refused) evaluation {
	ev := evaluation{status: dispatch.Busy, outcomeName: "Refused", load: refused.Load}
	if refused.Leaving {
		ev.status, ev.outcomeName = dispatch.Leaving, "Leaving"
		sr.runner.LeavingReporter.ReportUpstreamLeaving(up)
	}
	if refused.NotRun {
		sr.tracker.MarkNotSent(id)
	} else {
		sr.tracker.End(id)
	}
	if !sr.request.Pipeline.Idempotent && !refused.NotRun {
		ev.result = sr.failedResult("the upstream refused without saying whether the request ran")
		return ev
	}
	ev.result = result{sr.refusal(answer.Overloaded, max(refused.RetryAfter, minRetryAfter), "the upstream has no room"), true}
	return ev
}

// evaluateBroken handles a call that ended without a complete answer, and reports a crash if the upstream's process
// has died.
func (sr *stageRun) evaluateBroken(ctx context.Context, id attempt.Identity, up *document.Upstream, broken upstream.Broken) evaluation {
	sr.tracker.End(id)
	ev := evaluation{status: dispatch.Failed, outcomeName: "Broken", detail: broken.Cause, tokens: broken.Tokens, load: -1}
	if broken.Died {
		ev.outcomeName = "Died"
		sr.runner.Guard.ReportCrash(sr.request.Fingerprint, up.Name, sr.request.ID)
	}
	if ctx.Err() != nil {
		ev.status = dispatch.Cancelled
	}
	ev.result = sr.failedResult("the upstream broke off")
	if sr.deadlinePassed() {
		ev.result = result{failure: sr.deadlineExceeded()}
	}
	return ev
}

// deadlinePassed reports whether the deadline of the request, and not only that of an attempt, has passed.
func (sr *stageRun) deadlinePassed() bool {
	return !sr.runner.Timers.Now().Before(sr.request.Deadline)
}

func (sr *stageRun) deadlineExceeded() *answer.Answer {
	return sr.refusal(answer.DeadlineExceeded, minRetryAfter, "the deadline passed")
}
