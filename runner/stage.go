package runner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
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

// payloadState is the payload as the stages that have run left it.
type payloadState = upstream.Payload

// output returns the answer's content: the body of a plain service, or the text and passages of a model pipeline.
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

// stageRun is the state of one running stage of a request; mu guards it while two attempts run.
type stageRun struct {
	*requestRun
	stageConfig *document.Stage
	at          int
	pool        *pool.Pool
	avoid       []string
	// origin is the engine that brought the first token, or nil: only those of its model and software version may go on.
	origin   *document.Upstream
	failures int
	report   answer.StageReport
	mu       sync.Mutex
}

// runStage runs one stage with retries. It returns nil if the stage has a result, and otherwise the answer to the
// failed request.
func (rr *requestRun) runStage(ctx context.Context, at int, config *document.Stage) *answer.Answer {
	sr := &stageRun{
		requestRun: rr, stageConfig: config, at: at, pool: rr.runner.Pools.Pool(config.Pool.Name),
		report: answer.StageReport{Name: config.Name},
	}
	if config.Pool.Kind == document.Engine {
		// An engine resumes from the tokens of its own stage only.
		rr.payload.Tokens = nil
	}
	defer func() { rr.stageReports = append(rr.stageReports, sr.report) }()
	for {
		failure, retryable := sr.tryOnce(ctx)
		if !retryable {
			return failure
		}
		if !sr.pool.SpendRetry() {
			return failure
		}
		delay := retry.Backoff(sr.runner.Random.Fork(sr.request.ID+config.Name), sr.failures)
		if sr.runner.Timers.Now().Add(delay).After(sr.request.Deadline) || sr.runner.Timers.Sleep(ctx, delay) != nil {
			return failure
		}
	}
}

// tryOnce makes one attempt, with its hedge if any, under the permit of the crash guard. retryable reports whether
// the failure may be retried.
func (sr *stageRun) tryOnce(ctx context.Context) (failure *answer.Answer, retryable bool) {
	permit := sr.runner.Guard.Permit(ctx, sr.request.Fingerprint)
	switch permitted := permit.(type) {
	case Denied:
		return sr.refuseDenied(permitted), false
	case Exclusive:
		result := sr.acquireAndCall(ctx, true)
		permitted.Release(result.failure == nil)
		return result.failure, result.retryable
	case Unrestricted:
	}
	result := sr.acquireAndCall(ctx, false)
	return result.failure, result.retryable
}

func (sr *stageRun) refuseDenied(permit Denied) *answer.Answer {
	if permit.Blocked {
		return sr.refusal(answer.Quarantined, 0, "the request's content crashed the upstreams that ran it")
	}
	return sr.refusal(answer.SuspectBusy, permit.RetryAfter, "the request's content is suspected of crashing upstreams and can't be tried now")
}

// result is how an attempt ended; failure is nil if the attempt's result was accepted.
type result struct {
	failure   *answer.Answer
	retryable bool
}

// acquireAndCall waits for an upstream and calls it.
func (sr *stageRun) acquireAndCall(ctx context.Context, exclusive bool) result {
	requestedAt := sr.runner.Timers.Now()
	request := sr.dispatchRequest(exclusive)
	switch granted := sr.pool.Acquire(ctx, request).(type) {
	case pool.Granted:
		sr.report.WaitMs += float64(granted.At.Sub(requestedAt)) / float64(time.Millisecond)
		return sr.call(ctx, request.ID, granted.Upstream)
	case pool.Refused:
		return result{failure: sr.refusal(answer.Code(granted.Reason), granted.RetryAfter, "the stage can't be run in time")}
	default:
		return result{failure: sr.contextEnded(ctx)}
	}
}

// contextEnded returns the answer after the request's context ended, either by its deadline or because the caller
// disconnected.
func (sr *stageRun) contextEnded(ctx context.Context) *answer.Answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return sr.deadlineExceeded()
	}
	return sr.refusal(answer.CallerGone, 0, "the caller went away")
}

// minRetryAfter is the RetryAfter of failures for which no better estimate exists, and the lower bound of others.
const minRetryAfter = 100 * time.Millisecond

func (sr *stageRun) dispatchRequest(exclusive bool) dispatch.Request {
	return dispatch.Request{
		ID: sr.runner.lastID.Add(1), Organisation: sr.request.Organisation.Name, Weight: sr.request.Organisation.Weight,
		Rank: sr.request.Rank.Index, Deadline: sr.request.Deadline, RemainingWork: sr.remainingWork(sr.at),
		FailureDomain: sr.runner.FailureDomain, Avoid: append(sr.otherVersions(), sr.avoid...), Adapter: sr.stageConfig.Adapter,
		PrefixHash: sr.prefixHash(), Exclusive: exclusive,
	}
}

// otherVersions returns the names of the upstreams that can't continue the tokens which have arrived.
func (sr *stageRun) otherVersions() []string {
	names := []string{}
	for _, up := range sr.stageConfig.Pool.Upstreams {
		if sr.origin != nil && (up.Model != sr.origin.Model || up.SoftwareVersion != sr.origin.SoftwareVersion) {
			names = append(names, up.Name)
		}
	}
	return names
}

// prefixBytes is the length of the prompt prefix that is hashed to find upstreams with this prefix in their cache.
const prefixBytes = 512

// prefixHash returns the hash of the start of an engine's prompt, which is never 0, or 0 for other kinds of pools.
func (sr *stageRun) prefixHash() uint64 {
	if sr.stageConfig.Pool.Kind != document.Engine {
		return 0
	}
	prompt := upstream.Prompt(sr.payload)
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]) | 1
}

// call makes an attempt on the upstream first and, if the pool hedges, possibly a second one beside it.
func (sr *stageRun) call(ctx context.Context, id uint64, first *document.Upstream) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan result, 2)
	hedge := sr.hedgeTimer()
	if hedge == nil {
		// Without a hedge the call can run in this goroutine, which saves a context switch.
		sr.makeAttempt(ctx, id, first, ended)
		return <-ended
	}
	return sr.callHedged(ctx, cancel, id, first, hedge, ended)
}

// callHedged makes an attempt and, when the hedge timer fires first, a second one. The first accepted result cancels
// the other attempt.
func (sr *stageRun) callHedged(
	ctx context.Context, cancel context.CancelFunc, id uint64, first *document.Upstream, hedge <-chan time.Time, ended chan result,
) result {
	outstanding := 1
	go sr.makeAttempt(ctx, id, first, ended)
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
			if sr.startHedge(ctx, id, ended) {
				outstanding++
			}
		}
	}
	return last
}

// startHedge starts a second attempt and reports whether it did. It starts none if no upstream has capacity or if the
// stage has got its result; the attempt is not counted then and its slot is released.
func (sr *stageRun) startHedge(ctx context.Context, id uint64, ended chan<- result) bool {
	// The payload is read before the attempt begins: after that, the first attempt may replace it by its result.
	payload := sr.currentPayload()
	second := sr.pool.Hedge(id)
	if second == nil {
		return false
	}
	identity, begun := sr.tracker.BeginBeside(sr.stageConfig.Name)
	if !begun {
		sr.pool.Finish(dispatch.CallResult{ID: id, Upstream: second.Name, Status: dispatch.Cancelled, Load: -1})
		return false
	}
	go sr.runAttempt(ctx, id, sr.newCall(identity, second, payload), second, ended)
	return true
}

// currentPayload returns the payload that an attempt which begins now gets.
func (sr *stageRun) currentPayload() payloadState {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.payload
}

// drain waits for attempts whose results are no longer needed.
func (sr *stageRun) drain(ended <-chan result, outstanding int) {
	for range outstanding {
		<-ended
	}
}

// hedgeTimer returns a channel that fires when a hedge is due, or nil if the stage must not be hedged.
func (sr *stageRun) hedgeTimer() <-chan time.Time {
	config := sr.stageConfig.Pool
	if config.HedgeAfter == 0 || config.Kind == document.Engine || !sr.request.Pipeline.Idempotent {
		return nil
	}
	return sr.runner.Timers.After(config.HedgeAfter)
}

// makeAttempt begins an attempt, makes its call and sends its result to ended.
func (sr *stageRun) makeAttempt(ctx context.Context, id uint64, up *document.Upstream, ended chan<- result) {
	identity := sr.tracker.Begin(sr.stageConfig.Name)
	sr.runAttempt(ctx, id, sr.newCall(identity, up, sr.currentPayload()), up, ended)
}

// runAttempt makes the call of an attempt that has begun and sends its result to ended.
func (sr *stageRun) runAttempt(ctx context.Context, id uint64, call *upstream.Call, up *document.Upstream, ended chan<- result) {
	identity := call.Identity
	sr.recordEvent(wire.EventKind_EventAttemptStarted, sr.stageConfig.Name, up.Name, "", "", identity.Attempt, 0)
	if timeout := sr.stageConfig.Pool.AttemptTimeout; timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	startedAt := sr.runner.Timers.Now()
	outcome := sr.runner.Client.Do(ctx, call)
	elapsed := sr.runner.Timers.Now().Sub(startedAt)
	ev := sr.evaluate(ctx, identity, up, outcome)
	sr.pool.Finish(dispatch.CallResult{
		ID: id, Upstream: up.Name, Status: ev.status, Elapsed: elapsed, Waited: ev.waited, Load: ev.load,
	})
	sr.recordEvent(wire.EventKind_EventAttemptEnded, sr.stageConfig.Name, up.Name, ev.outcomeName, ev.detail, identity.Attempt, elapsed)
	sr.mu.Lock()
	sr.recordAttempt(up, elapsed, ev)
	sr.mu.Unlock()
	ended <- ev.result
}

// recordAttempt adds the attempt to the stage's report. After a success it keeps the payload, and after a failure
// the upstream to avoid and the tokens to resume from.
func (sr *stageRun) recordAttempt(up *document.Upstream, elapsed time.Duration, ev evaluation) {
	sr.report.Attempts++
	sr.report.RunMs += float64(elapsed) / float64(time.Millisecond)
	if ev.result.failure == nil {
		sr.report.Upstream = up.Name
		sr.payload = ev.payload
		return
	}
	sr.failures++
	sr.avoid = append(sr.avoid, up.Name)
	if len(ev.tokens) > len(sr.payload.Tokens) {
		sr.payload.Tokens = ev.tokens
		if sr.origin == nil {
			sr.origin = up
		}
	}
	if sr.hasTriedAll() {
		sr.avoid = nil
	}
}

// hasTriedAll reports whether attempts have failed on each upstream that may be used.
func (sr *stageRun) hasTriedAll() bool {
	excluded := append(sr.otherVersions(), sr.avoid...)
	return !slices.ContainsFunc(sr.stageConfig.Pool.Upstreams, func(up *document.Upstream) bool { return !slices.Contains(excluded, up.Name) })
}

func (sr *stageRun) newCall(identity attempt.Identity, up *document.Upstream, payload payloadState) *upstream.Call {
	config := sr.stageConfig
	call := &upstream.Call{
		Kind: config.Pool.Kind, Upstream: up.Name, Address: up.Address, Path: config.Pool.Path, Identity: identity,
		Priority: sr.request.Rank.Index, Payload: payload, Candidates: config.Candidates, MaxTokens: config.MaxTokens,
		Model: up.Model, Adapter: config.Adapter, NonIdempotent: !sr.request.Pipeline.Idempotent,
	}
	if sr.request.OnToken != nil && sr.at == len(sr.request.Pipeline.Stages)-1 {
		call.OnToken = sr.request.OnToken
	}
	if sr.brownout && config.Brownout == document.BrownoutFewer {
		call.Candidates = max(call.Candidates/2, 1)
	}
	if sr.brownout && config.Brownout == document.BrownoutShorter {
		call.MaxTokens = max(call.MaxTokens/2, 1)
	}
	return call
}
