package runner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/retry"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// payloadState is what the stages so far have made.
type payloadState = upstream.Payload

// output is the answer's content: a service's own body, or the text and passages of a model pipeline.
func output(payload payloadState) json.RawMessage {
	if payload.Body != nil {
		return payload.Body
	}
	encoded, _ := json.Marshal(struct {
		Text     string
		Passages []upstream.Passage `json:",omitempty"`
	}{strings.Join(payload.Tokens, ""), payload.Passages})
	return encoded
}

// stageRun is one stage of a request with its attempts.
type stageRun struct {
	*requestRun
	stageConfig *document.Stage
	at          int
	pool        *pool.Pool
	avoid       []string
	failures    int
	report      answer.Stage
	mu          sync.Mutex
}

// stage runs one stage until it has a result; a nil answer says that it has.
func (rr *requestRun) stage(ctx context.Context, at int, config *document.Stage) *answer.Answer {
	sr := &stageRun{
		requestRun: rr, stageConfig: config, at: at, pool: rr.runner.Pools.Pool(config.Pool.Name),
		report: answer.Stage{Name: config.Name},
	}
	defer func() { rr.reports = append(rr.reports, sr.report) }()
	for {
		failure, again := sr.once(ctx)
		if !again {
			return failure
		}
		if !sr.pool.MayRetry() {
			return failure
		}
		delay := retry.Delay(sr.runner.Chance.Fork(sr.request.ID+config.Name), sr.failures)
		if sr.runner.Timers.Now().Add(delay).After(sr.request.Deadline) || sr.runner.Timers.Sleep(ctx, delay) != nil {
			return failure
		}
	}
}

// once makes one attempt, with its hedge; again says that the failure may be tried again.
func (sr *stageRun) once(ctx context.Context) (failure *answer.Answer, again bool) {
	permit := sr.runner.Guard.Permit(ctx, sr.request.Fingerprint)
	switch permitted := permit.(type) {
	case Denied:
		return sr.denied(permitted), false
	case Alone:
		result := sr.granted(ctx, true)
		permitted.Release(result.failure == nil)
		return result.failure, result.again
	case Free:
	}
	result := sr.granted(ctx, false)
	return result.failure, result.again
}

func (sr *stageRun) denied(permit Denied) *answer.Answer {
	if permit.Condemned {
		return sr.refusal(answer.Quarantined, 0, "the request's content crashed the upstreams that ran it")
	}
	return sr.refusal(answer.SuspectBusy, permit.RetryAfter, "the request's content is suspected of crashing upstreams and can't be tried now")
}

// result is how an attempt ended; failure is nil for a result that was taken.
type result struct {
	failure *answer.Answer
	again   bool
}

// granted waits for an upstream and calls it.
func (sr *stageRun) granted(ctx context.Context, alone bool) result {
	asked := sr.runner.Timers.Now()
	request := sr.dispatchRequest(alone)
	switch granted := sr.pool.Acquire(ctx, request).(type) {
	case pool.Granted:
		sr.report.WaitMs += float64(granted.At.Sub(asked)) / float64(time.Millisecond)
		return sr.call(ctx, request.ID, granted.Upstream)
	case pool.Refused:
		return result{failure: sr.refusal(answer.Code(granted.Reason), granted.RetryAfter, "the stage can't be run in time")}
	default:
		return result{failure: sr.ended(ctx)}
	}
}

// ended is the answer after the request's context ended: by its deadline, or since its caller left.
func (sr *stageRun) ended(ctx context.Context) *answer.Answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return sr.expired()
	}
	return sr.refusal(answer.CallerGone, 0, "the caller went away")
}

// minRetryAfter is when to come back after a deadline passed unexpectedly.
const minRetryAfter = 100 * time.Millisecond

func (sr *stageRun) dispatchRequest(alone bool) dispatch.Request {
	return dispatch.Request{
		ID: sr.runner.lastID.Add(1), Organisation: sr.request.Organisation.Name, Weight: sr.request.Organisation.Weight,
		Rank: sr.request.Rank.Index, Deadline: sr.request.Deadline, Remaining: sr.remaining(sr.at),
		FailureDomain: sr.runner.FailureDomain, Avoid: sr.avoid, Adapter: sr.stageConfig.Adapter,
		Prefix: sr.prefix(), Alone: alone,
	}
}

// prefixBytes is how much of a prompt is compared to find its prefix cached.
const prefixBytes = 512

// prefix identifies the start of an engine's prompt.
func (sr *stageRun) prefix() uint64 {
	if sr.stageConfig.Pool.Kind != document.Engine {
		return 0
	}
	prompt := upstream.Prompt(sr.payload)
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]) | 1
}

// call makes the attempt and, if the pool hedges, a second one beside it.
func (sr *stageRun) call(ctx context.Context, id uint64, first *document.Upstream) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan result, 2)
	hedge := sr.hedgeTimer()
	if hedge == nil {
		// Without a hedge there is nothing to wait for beside the call, and a goroutine of its own would cost a switch.
		sr.attempt(ctx, id, first, ended)
		return <-ended
	}
	return sr.callHedged(ctx, cancel, id, first, hedge, ended)
}

// callHedged makes the attempt and, once it takes long, a second one; the first result ends both.
func (sr *stageRun) callHedged(
	ctx context.Context, cancel context.CancelFunc, id uint64, first *document.Upstream, hedge <-chan time.Time, ended chan result,
) result {
	outstanding := 1
	go sr.attempt(ctx, id, first, ended)
	last := result{}
	for outstanding > 0 {
		select {
		case last = <-ended:
			outstanding--
			if last.failure == nil {
				cancel()
				sr.drain(ended, outstanding)
				return last
			}
		case <-hedge:
			hedge = nil
			if second := sr.pool.Hedge(id); second != nil {
				outstanding++
				go sr.attempt(ctx, id, second, ended)
			}
		}
	}
	return last
}

// drain waits for attempts whose results are no longer wanted.
func (sr *stageRun) drain(ended <-chan result, outstanding int) {
	for range outstanding {
		<-ended
	}
}

func (sr *stageRun) hedgeTimer() <-chan time.Time {
	config := sr.stageConfig.Pool
	if config.HedgeAfter == 0 || config.Kind == document.Engine || !sr.request.Pipeline.Idempotent {
		return nil
	}
	return sr.runner.Timers.After(config.HedgeAfter)
}

// attempt makes one call and reports its end.
func (sr *stageRun) attempt(ctx context.Context, id uint64, up *document.Upstream, ended chan<- result) {
	identity := sr.ledger.Begin(sr.stageConfig.Name)
	sr.event(wire.EventKind_EventAttemptStarted, sr.stageConfig.Name, up.Name, "", "", identity.Attempt, 0)
	if timeout := sr.stageConfig.Pool.AttemptTimeout; timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	began := sr.runner.Timers.Now()
	outcome := sr.runner.Caller.Do(ctx, sr.newCall(identity, up))
	took := sr.runner.Timers.Now().Sub(began)
	verdict := sr.judge(ctx, identity, up, outcome)
	sr.pool.Finish(dispatch.Result{
		ID: id, Upstream: up.Name, Verdict: verdict.verdict, Elapsed: took, Waited: verdict.waited, Load: verdict.load,
	})
	sr.event(wire.EventKind_EventAttemptEnded, sr.stageConfig.Name, up.Name, verdict.name, verdict.detail, identity.Attempt, took)
	sr.mu.Lock()
	sr.book(up, took, verdict)
	sr.mu.Unlock()
	ended <- verdict.result
}

// book keeps the attempt's cost and, after a failure, what the next attempt should know.
func (sr *stageRun) book(up *document.Upstream, took time.Duration, verdict judgement) {
	sr.report.Attempts++
	sr.report.RunMs += float64(took) / float64(time.Millisecond)
	if verdict.result.failure == nil {
		sr.report.Upstream = up.Name
		sr.payload = verdict.payload
		return
	}
	sr.failures++
	sr.avoid = append(sr.avoid, up.Name)
	if len(sr.avoid) >= len(sr.stageConfig.Pool.Upstreams) {
		sr.avoid = nil
	}
	if len(verdict.tokens) > len(sr.payload.Tokens) {
		sr.payload.Tokens = verdict.tokens
	}
}

func (sr *stageRun) newCall(identity attempt.Identity, up *document.Upstream) *upstream.Call {
	config := sr.stageConfig
	sr.mu.Lock()
	payload := sr.payload
	sr.mu.Unlock()
	call := &upstream.Call{
		Kind: config.Pool.Kind, Upstream: up.Name, Address: up.Address, Path: config.Pool.Path, Identity: identity,
		Priority: sr.request.Rank.Index, Payload: payload, Candidates: config.Candidates, MaxTokens: config.MaxTokens,
		Model: up.Model, Adapter: config.Adapter, NonIdempotent: !sr.request.Pipeline.Idempotent,
	}
	if sr.request.Token != nil && sr.at == len(sr.request.Pipeline.Stages)-1 {
		call.Token = sr.request.Token
	}
	if sr.brownout && config.Brownout == document.BrownoutFewer {
		call.Candidates = max(call.Candidates/2, 1)
	}
	if sr.brownout && config.Brownout == document.BrownoutShorter {
		call.MaxTokens = max(call.MaxTokens/2, 1)
	}
	return call
}
