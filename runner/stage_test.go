package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/limit"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

const hedgeAfter = 40 * time.Millisecond

// clientFunc is an upstream client that consists of one function.
type clientFunc func(call *upstream.Call) upstream.Outcome

func (cf clientFunc) Do(_ context.Context, call *upstream.Call) upstream.Outcome { return cf(call) }

// unreachable is a prober that reaches no upstream.
type unreachable struct{}

func (unreachable) Reachable(context.Context, string) bool { return false }

// hedgedStage is a stage with a pool of two upstreams that hedges, and the calls that its client has made.
type hedgedStage struct {
	*stageRun
	mu    sync.Mutex
	calls []*upstream.Call
}

// newHedgedStage returns a stage whose client answers each call as reply does.
func newHedgedStage(reply func(hs *hedgedStage, call *upstream.Call) upstream.Outcome) *hedgedStage {
	timers := timer.New()
	config := &document.Pool{Name: "encoders", Kind: document.Encoder, HedgeAfter: hedgeAfter, RetryPercent: 100, StageTime: hedgeAfter}
	for _, name := range []string{"u1", "u2"} {
		config.Upstreams = append(config.Upstreams, &document.Upstream{Name: name, FailureDomain: "a", Slots: 1, Incarnation: 1})
	}
	rank := &document.Rank{Name: "Urgent"}
	dispatcher := dispatch.New(limit.Divided{}, rand.New(rand.NewPCG(1, 2)), 10, config.StageTime)
	encoders := pool.New(timers, dispatcher, unreachable{})
	encoders.Update(config, []*document.Rank{rank})
	stage := &document.Stage{Name: "encode", Pool: config}
	hs := &hedgedStage{}
	client := clientFunc(func(call *upstream.Call) upstream.Outcome {
		hs.mu.Lock()
		hs.calls = append(hs.calls, call)
		hs.mu.Unlock()
		return reply(hs, call)
	})
	request := &Request{
		ID: "r1", Organisation: &document.Organisation{Name: "o", Weight: 1}, Rank: rank, Deadline: timers.Now().Add(time.Minute),
		Pipeline: &document.Pipeline{Name: "search", Idempotent: true, Stages: []*document.Stage{stage}},
	}
	hs.stageRun = &stageRun{
		requestRun: &requestRun{
			runner:  &Runner{Timers: timers, FailureDomain: "a", Client: client, Events: timeline.New("i", hlc.New(timers), 100, nil)},
			request: request, tracker: attempt.New("r1", true), payload: payloadState{Tokens: []string{"input"}},
		},
		stageConfig: stage, pool: encoders,
	}
	return hs
}

func reply(call *upstream.Call) upstream.Outcome {
	return upstream.Replied{Identity: call.Identity, Payload: payloadState{Tokens: []string{"output"}}, Load: -1}
}

// slotsHeld returns how many slots of upstreams the calls of the stage hold.
func slotsHeld(hs *hedgedStage) int64 {
	statuses, _ := hs.pool.Statuses()
	held := int64(0)
	for _, status := range statuses {
		held += status.InFlight
	}
	return held
}

// TestHedgeStartsAfterResult guards against a hedge that fires after the result of the first attempt was accepted and
// before the dispatcher knows of its end, and that is still sent.
func TestHedgeStartsAfterResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted, held := attempt.AttemptUnknown, int64(0)
		hs := newHedgedStage(func(hs *hedgedStage, call *upstream.Call) upstream.Outcome {
			accepted = hs.tracker.Accept(call.Identity)
			time.Sleep(2 * hedgeAfter)
			held = slotsHeld(hs)
			return reply(call)
		})
		hs.acquireAndCall(t.Context(), false)
		must.Eq(t, attempt.Accepted, accepted)
		must.SliceLen(t, 1, hs.calls)
		must.Eq(t, 1, hs.report.Attempts)
		must.Eq(t, 1, held, must.Sprint("the late hedge has released its slot"))
		must.Zero(t, slotsHeld(hs))
	})
}

func TestHedge(t *testing.T) {
	t.Run("a slow call is made a second time with the same payload, and the first result counts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			hs := newHedgedStage(func(_ *hedgedStage, call *upstream.Call) upstream.Outcome {
				if call.Identity.Attempt == 1 {
					time.Sleep(10 * hedgeAfter)
				}
				return reply(call)
			})
			ended := hs.acquireAndCall(t.Context(), false)
			must.Nil(t, ended.failure)
			must.SliceLen(t, 2, hs.calls)
			must.NotEq(t, hs.calls[0].Upstream, hs.calls[1].Upstream)
			must.Eq(t, hs.calls[0].Payload, hs.calls[1].Payload)
			must.Eq(t, hs.calls[1].Upstream, hs.report.Upstream)
			must.Zero(t, slotsHeld(hs))
		})
	})
}

// newEngineStage returns a stage with a pool of engines of the given versions, which does not hedge.
func newEngineStage(versions []string, reply func(hs *hedgedStage, call *upstream.Call) upstream.Outcome) *hedgedStage {
	hs := newHedgedStage(reply)
	engines := &document.Pool{Name: "engines", Kind: document.Engine, RetryPercent: 100, StageTime: hedgeAfter}
	for at, version := range versions {
		engines.Upstreams = append(engines.Upstreams, &document.Upstream{
			Name: fmt.Sprint("e", at), FailureDomain: "a", Slots: 8, Incarnation: 1, Model: "base", SoftwareVersion: version,
		})
	}
	hs.stageConfig.Pool = engines
	hs.payload.Tokens = nil
	hs.pool.Update(engines, []*document.Rank{hs.request.Rank})
	return hs
}

// TestResumedTokensAreOfTwoVersions guards against a stream of serve that holds tokens from engines of two software versions.
func TestResumedTokensAreOfTwoVersions(t *testing.T) {
	versions := []string{"v1", "v2", "v1", "v2", "v1", "v2"}
	breakOff := func(_ *hedgedStage, call *upstream.Call) upstream.Outcome {
		return upstream.Broken{Cause: "reset", Tokens: append(slices.Clone(call.Payload.Tokens), "token")}
	}
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			hs := newEngineStage(versions, breakOff)
			for range 3 {
				hs.acquireAndCall(t.Context(), false)
			}
			must.SliceLen(t, 3, hs.calls)
			first, _ := strconv.Atoi(hs.calls[0].Upstream[1:])
			for _, call := range hs.calls {
				at, _ := strconv.Atoi(call.Upstream[1:])
				must.Eq(t, versions[first], versions[at])
			}
		})
	}
	t.Run("before the first token the request may move to another version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			hs := newEngineStage([]string{"v1", "v2"}, func(*hedgedStage, *upstream.Call) upstream.Outcome { return upstream.Broken{Cause: "reset"} })
			hs.acquireAndCall(t.Context(), false)
			hs.acquireAndCall(t.Context(), false)
			must.NotEq(t, hs.calls[0].Upstream, hs.calls[1].Upstream)
		})
	})
}

// TestRefusalWithoutMarkIsNotRun guards against the outcome NotRun after an upstream that refused a call without stating
// that it had no effect.
func TestRefusalWithoutMarkIsNotRun(t *testing.T) {
	refuse := func(marked bool) (result, int64) {
		ended, refusals := result{}, int64(0)
		synctest.Test(t, func(t *testing.T) {
			hs := newHedgedStage(func(*hedgedStage, *upstream.Call) upstream.Outcome {
				return upstream.Refused{NotRun: marked, Load: -1}
			})
			ended = hs.acquireAndCall(t.Context(), false)
			refusals = hs.report.Attempts
			must.Zero(t, slotsHeld(hs))
		})
		return ended, refusals
	}
	t.Run("an idempotent request may have run and may be retried", func(t *testing.T) {
		ended, attempts := refuse(false)
		must.Eq(t, answer.Failed, ended.failure.Outcome)
		must.Eq(t, answer.Overloaded, ended.failure.Code)
		must.True(t, ended.retryable)
		must.Eq(t, 1, attempts)
	})
	t.Run("a request of which the upstream states that it had no effect has not run", func(t *testing.T) {
		ended, _ := refuse(true)
		must.Eq(t, answer.NotRun, ended.failure.Outcome)
		must.True(t, ended.retryable)
	})
}
