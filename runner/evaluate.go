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

// judgement is what an attempt's outcome means for the request and for the upstream.
type judgement struct {
	result  result
	verdict dispatch.CallStatus
	name    string
	detail  string
	payload payloadState
	tokens  []string
	waited  time.Duration
	load    int64
}

// judge turns a call's outcome into a judgement and closes the attempt.
func (sr *stageRun) judge(ctx context.Context, id attempt.Identity, up *document.Upstream, outcome upstream.Outcome) judgement {
	switch ended := outcome.(type) {
	case upstream.Replied:
		return sr.judgeReply(id, up, ended)
	case upstream.NotSent:
		sr.ledger.MarkNotSent(id)
		failure := sr.refusal(answer.UpstreamFailed, minRetryAfter, "the upstream could not be reached")
		return judgement{result: result{failure, true}, verdict: dispatch.Unreachable, name: "NotSent", detail: ended.Cause, load: -1}
	case upstream.Refused:
		return sr.judgeRefusal(id, up, ended)
	case upstream.Broken:
		return sr.judgeBroken(ctx, id, up, ended)
	case upstream.Rejected:
		sr.ledger.End(id)
		failure := &answer.Answer{Outcome: answer.Failed, Code: answer.UpstreamRejected, Message: "the upstream rejected the request: " + ended.Detail}
		return judgement{result: result{failure, false}, verdict: dispatch.Succeeded, name: "Rejected", detail: ended.Detail, load: -1}
	case upstream.Garbage:
		sr.ledger.End(id)
		return judgement{result: sr.failed("the upstream's answer made no sense"), verdict: dispatch.Failed, name: "Garbage", detail: ended.Cause, load: -1}
	}
	invariant.Check(false, "a call has a known outcome", "%T", outcome)
	return judgement{}
}

// failed is the result of an attempt that may have run; only an idempotent one may be tried again.
func (sr *stageRun) failed(message string) result {
	failure := &answer.Answer{Outcome: sr.lost(), Code: answer.UpstreamFailed, Message: message}
	if sr.request.Pipeline.Idempotent {
		failure.RetryAfter = minRetryAfter
	}
	return result{failure: failure, again: sr.request.Pipeline.Idempotent}
}

func (sr *stageRun) judgeReply(id attempt.Identity, up *document.Upstream, reply upstream.Replied) judgement {
	verdict := judgement{verdict: dispatch.Succeeded, name: "Replied", payload: reply.Payload, waited: reply.Waited, load: reply.Load}
	if reply.Leaving {
		verdict.verdict = dispatch.Leaving
		sr.runner.LeavingReporter.UpstreamSaysLeaving(up)
	}
	rejection := sr.ledger.Accept(reply.Identity)
	if rejection == attempt.Accepted && reply.Identity == id {
		return verdict
	}
	invariant.Check(rejection != attempt.Accepted, "a result belongs to its own call", "request %s took %v for %v", sr.request.ID, reply.Identity, id)
	sr.ledger.End(id)
	sr.event(wire.EventKind_EventResultDropped, sr.stageConfig.Name, up.Name, string(rejection), "", id.Attempt, 0)
	verdict.result = sr.failed("the upstream answered another request")
	verdict.name, verdict.detail = "Dropped", string(rejection)
	if rejection != attempt.AttemptClosed {
		verdict.verdict = dispatch.Failed
	}
	return verdict
}

// judgeRefusal handles an upstream that has no room or is leaving. A plain service's word that it did not
// act is only taken if it says so in the protocol's own terms.
func (sr *stageRun) judgeRefusal(id attempt.Identity, up *document.Upstream, refused upstream.Refused) judgement {
	verdict := judgement{verdict: dispatch.Busy, name: "Refused", load: refused.Load}
	if refused.Leaving {
		verdict.verdict, verdict.name = dispatch.Leaving, "Leaving"
		sr.runner.LeavingReporter.UpstreamSaysLeaving(up)
	}
	if !sr.request.Pipeline.Idempotent && !refused.NotRun {
		sr.ledger.End(id)
		verdict.result = sr.failed("the upstream refused without saying whether the request ran")
		return verdict
	}
	sr.ledger.MarkNotSent(id)
	verdict.result = result{sr.refusal(answer.Overloaded, max(refused.RetryAfter, minRetryAfter), "the upstream has no room"), true}
	return verdict
}

func (sr *stageRun) judgeBroken(ctx context.Context, id attempt.Identity, up *document.Upstream, broken upstream.Broken) judgement {
	sr.ledger.End(id)
	verdict := judgement{verdict: dispatch.Failed, name: "Broken", detail: broken.Cause, tokens: broken.Tokens, load: -1}
	if broken.Died {
		verdict.name = "Died"
		sr.runner.Guard.ReportCrash(sr.request.Fingerprint, up.Name, sr.request.ID)
	}
	if ctx.Err() != nil {
		verdict.verdict = dispatch.Cancelled
	}
	verdict.result = sr.failed("the upstream broke off")
	if sr.requestEnded() {
		verdict.result = result{failure: sr.expired()}
	}
	return verdict
}

// requestEnded reports whether the request itself, and not just an attempt, is out of time.
func (sr *stageRun) requestEnded() bool {
	return !sr.runner.Timers.Now().Before(sr.request.Deadline)
}

func (sr *stageRun) expired() *answer.Answer {
	return sr.refusal(answer.DeadlineExceeded, minRetryAfter, "the deadline passed")
}
