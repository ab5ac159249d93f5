package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/overload"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/response"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/sendaudit"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// CrashTracker records which request contents crash upstreams.
type CrashTracker interface {
	Status(fingerprint digest.Sum) quarantine.Status
	ReportCrash(crash quarantine.Crash)
	ReportSuccess(fingerprint digest.Sum)
	// PartStatus returns the worst status of the parts of a prompt, and the part that has it.
	PartStatus(parts []poison.Part) (poison.Status, poison.Part)
	// BeginPartTrial reports whether one request with blocked parts may be sent now.
	BeginPartTrial(parts []poison.Part) bool
	// ReportPartCrash reports that a request with the parts was lost when an upstream crashed, ReportPartsSuccess that the
	// upstream of such a request wrote its answer and lives.
	ReportPartCrash(upstream uint64, parts []poison.Part)
	ReportPartsSuccess(parts []poison.Part)
}

// StageRunner executes the items of stages and forecasts how long they wait.
type StageRunner interface {
	Run(ctx context.Context, domain string, job gather.Job) gather.Result
	ShortestWait(pool, preferred string, margin time.Duration, class gather.JobClass) (string, time.Duration)
	ExpectedWait(pool, domain string, class gather.JobClass) time.Duration
	ProjectedWait(pool, domain string, class gather.JobClass) time.Duration
	FailureDomains(pool string) []string
	Release(ctx context.Context, pool, domain string, handles []string)
}

// Parts holds the dependencies of a gateway.
type Parts struct {
	FailureDomain string
	Catalog       *catalog.Catalog
	Pools         *Pools
	Stages        StageRunner
	Sender        Sender
	Crashes       CrashTracker
	Limits        RateLimiter
	Streams       StreamDirectory
	Timers        *timer.Service
	Events        *timeline.Ring
	Metrics       *metric.Set
}

// Gateway serves callers' requests; it is safe for concurrent use.
type Gateway struct {
	Parts

	// buffered is the memory for responses that are read completely.
	buffered *readbudget.Budget
	// eventBytes is the memory for long events.
	eventBytes *readbudget.Budget
	// inFlight are the requests whose prompt has shared parts.
	inFlight *promptRuns
}

// New returns a gateway with the given dependencies.
func New(parts Parts) *Gateway {
	return &Gateway{Parts: parts, buffered: readbudget.New(bufferedBudget), eventBytes: readbudget.New(eventBudget), inFlight: newPromptRuns()}
}

// run holds the state of one request while the gateway serves it.
type run struct {
	*Gateway
	request      *Request
	response     *response.Response
	table        *route.Table
	pipeline     *route.Pipeline
	pool         route.Pool
	organisation route.Organisation
	rank         int
	// lowUrgency is set when the request has so much slack that its items are queued behind those of other requests.
	lowUrgency bool
	forecast   forecast
	// stageDomain is the failure domain in which the stages are planned to run.
	stageDomain string
	fingerprint digest.Sum
	// parts are the hashes of the prompt's shared parts; isTrial is set if the request may run although one of them is blocked.
	parts   []poison.Part
	isTrial bool
	// isAnswering is set once an upstream has begun to answer.
	isAnswering atomic.Bool
	// deadline is when the whole response must be complete, abandonAt when the caller gives up without a first byte,
	// targetAt when the first byte misses the pipeline's latency target.
	deadline  time.Time
	abandonAt time.Time
	targetAt  time.Time
	audit     *sendaudit.Tracker
	// origin is where the stream began, once that is known: at its first event, or when its caller takes it up.
	origin *origin.Origin
	// sends counts the sends before the first event.
	sends int
	// leaveUnsent is called once the request has a permit.
	leaveUnsent func()
	// detail explains the outcome in the event log.
	detail string
}

// ErrTimeout is the cancellation cause of a request that may run no longer: its deadline has passed or the instance
// is stopping. Any other cancellation means that the caller has disconnected.
var ErrTimeout = errors.New("request timed out")

// Serve processes a request until it ends. An upstream's response is written to sink; every other outcome is returned
// for the caller's connection to report.
func (gw *Gateway) Serve(ctx context.Context, request *Request, sink Sink) Outcome {
	rn := &run{
		Gateway: gw, request: request, response: response.NewAfter(sink, request.LastEventID),
		audit: sendaudit.New(request.ID, sendaudit.Limits{AtMostOnce: true}),
	}
	outcome := rn.finalOutcome(rn.serve(ctx, sink))
	rn.recordEnd(outcome)
	return outcome
}

// finalOutcome adjusts an outcome to the response written so far: a response that has begun can only be completed,
// abandoned by the caller, or cut off.
func (rn *run) finalOutcome(outcome Outcome) Outcome {
	_, answered := outcome.(Answered)
	invariant.Check(answered == rn.response.IsComplete(), "a request is answered exactly if its response is complete",
		"request %s: outcome %s", rn.request.ID, OutcomeName(outcome))
	rn.response.CutOff()
	if !rn.response.IsBegun() {
		return outcome
	}
	switch outcome.(type) {
	case Answered, Gone:
		return outcome
	default:
		return CutOff{}
	}
}

func (rn *run) serve(ctx context.Context, sink Sink) Outcome {
	if refusal := rn.resolveRoute(); refusal != nil {
		return refusal
	}
	sink.SetDeadline(rn.deadline)
	left := rn.deadline.Sub(rn.Timers.Now())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := rn.Timers.AfterFunc(left, func() { cancel(ErrTimeout) })
	defer stop()
	defer rn.inFlight.add(rn, cancel)()
	if refusal := rn.findOrigin(ctx); refusal != nil {
		return refusal
	}
	if refusal := rn.checkEvacuation(); refusal != nil {
		return refusal
	}
	if refusal := rn.checkAdmission(); refusal != nil {
		return refusal
	}
	rn.Pools.RecordRequest(rn.pool.Name)
	rn.leaveUnsent = rn.Pools.enter(rn.pool.Name)
	defer rn.leaveUnsent()
	return rn.execute(ctx)
}

// resolvedHead is what the head of a request selects in the routing table.
type resolvedHead struct {
	table        *route.Table
	pipeline     *route.Pipeline
	organisation route.Organisation
	deadline     time.Time
}

// resolveHead looks up the pipeline and the organisation of a request and computes its deadline. It returns nil or the outcome that rejects the
// request.
func (gw *Gateway) resolveHead(request *Request) (resolvedHead, Outcome) {
	found := resolvedHead{table: gw.Catalog.RoutingTable()}
	if found.table == nil {
		return found, Refused{RetryAfter: notReadyRetryAfter, Cause: NoConfiguration}
	}
	found.pipeline = found.table.Match(request.Host, request.Path)
	if found.pipeline == nil {
		return found, NotFound{}
	}
	allowed := false
	if found.organisation, allowed = found.table.Authorise(found.pipeline, request.APIKey); !allowed {
		return found, Unauthorised{}
	}
	timeout := request.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if found.pipeline.Timeout > 0 {
		timeout = min(timeout, found.pipeline.Timeout)
	}
	found.deadline = request.Arrived.Add(timeout)
	return found, nil
}

// CheckedHead is what the head of a request says that is needed to read its body: whose memory it takes, and until when it may be read.
type CheckedHead struct {
	Organisation string
	Deadline     time.Time
}

// CheckHead checks the route and the API key of a request before its body is read. It returns nil, or the outcome that rejects the request, which
// it records. Serve may still refuse the request for other reasons.
func (gw *Gateway) CheckHead(request *Request) (CheckedHead, Outcome) {
	found, refusal := gw.resolveHead(request)
	if refusal == nil {
		return CheckedHead{Organisation: found.organisation.Name, Deadline: found.deadline}, nil
	}
	rn := &run{
		Gateway: gw, request: request, response: response.NewAfter(nil, ""), audit: sendaudit.New(request.ID, sendaudit.Limits{AtMostOnce: true}),
		table: found.table, pipeline: found.pipeline, organisation: found.organisation, detail: "before its body was read",
	}
	rn.recordEnd(refusal)
	return CheckedHead{}, refusal
}

// defaultCallerTimeout applies to callers that send no timeout.
const defaultCallerTimeout = 10 * time.Second

// resolveRoute looks up the pipeline, the organisation and the pool of a request and sets its deadlines. It returns nil
// or the outcome that rejects the request.
func (rn *run) resolveRoute() Outcome {
	found, refusal := rn.resolveHead(rn.request)
	rn.table, rn.pipeline, rn.organisation, rn.deadline = found.table, found.pipeline, found.organisation, found.deadline
	if refused, is := refusal.(Refused); is {
		return rn.refuse(refused.RetryAfter, refused.Cause, "no configuration loaded yet")
	}
	if refusal != nil {
		return refusal
	}
	known := false
	rn.pool, known = rn.table.SelectPool(rn.pipeline, rn.request.ID)
	if !known {
		return rn.refuse(notReadyRetryAfter, NoPool, fmt.Sprintf("pipeline %q has no configured pool", rn.pipeline.Name))
	}
	rn.audit = sendaudit.New(rn.request.ID, sendaudit.Limits{AtMostOnce: rn.pipeline.RetryPolicy == route.AtMostOnce, MaxExecutions: rn.pipeline.MaxUpstreams})
	rn.rank = route.RankOf(rn.pipeline, rn.organisation)
	if end := rn.request.EndBy; !end.IsZero() && rn.deadline.After(end) {
		return rn.refuse(stoppingRetryAfter, Stopping, fmt.Sprintf("ends %dms before the deadline", rn.deadline.Sub(end).Milliseconds()))
	}
	rn.abandonAt = rn.deadline
	if rn.pipeline.AbandonAfter > 0 && rn.pipeline.AbandonAfter < rn.deadline.Sub(rn.request.Arrived) {
		rn.abandonAt = rn.request.Arrived.Add(rn.pipeline.AbandonAfter)
	}
	rn.targetAt = rn.request.Arrived.Add(rn.pipeline.TargetLatency)
	rn.fingerprint = rn.request.fingerprint(rn.organisation.Name)
	if rn.Crashes.Status(rn.fingerprint) == quarantine.Blocked {
		return rn.refuse(0, CrashesUpstreams, "fingerprint="+rn.fingerprint.String())
	}
	rn.parts = rn.request.Prompt.sharedHashes()
	rn.isTrial = rn.Crashes.BeginPartTrial(rn.parts)
	return rn.checkParts()
}

const (
	// notReadyRetryAfter is the delay after which a caller is asked to retry while the instance has no configuration or pool.
	notReadyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the delay after which a caller is asked to retry, at another instance, while this one stops.
	stoppingRetryAfter = 50 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller is asked to retry if the stages of its request failed.
	minRetryAfter = 100 * time.Millisecond
)

func (rn *run) refuse(retryAfter time.Duration, cause Cause, detail string) Outcome {
	rn.detail = detail
	rn.audit.CheckNotExecuted()
	return Refused{RetryAfter: retryAfter, Cause: cause}
}

// checkAdmission plans the stages and refuses a request that is not expected to meet its target latency or its deadline.
func (rn *run) checkAdmission() Outcome {
	now := rn.Timers.Now()
	active := rn.activeStages()
	rn.lowUrgency = rn.isLowUrgency(active)
	chosen := rn.planStages(active)
	rn.stageDomain = chosen.domain
	rn.forecast = rn.Pools.forecastLatency(rn.pipeline.Name, max(chosen.expected, rn.permitWait())+rn.engineLatency())
	expected := rn.forecast.expected
	estimate := overload.Estimate{ExpectedLatency: expected, UntilTarget: rn.targetAt.Sub(now), UntilDeadline: rn.abandonAt.Sub(now)}
	rn.detail = fmt.Sprintf("expected=%dms due=%dms left=%dms domain=%s", expected.Milliseconds(),
		estimate.UntilTarget.Milliseconds(), estimate.UntilDeadline.Milliseconds(), rn.stageDomain)
	if rn.request.continuesStream() {
		rn.detail += fmt.Sprintf(" after=%s resumes=%s", clip(rn.request.LastEventID), clip(rn.request.Resumes))
	}
	if decision, refused := overload.Decide(estimate).(overload.Reject); refused && len(active) > 0 {
		return rn.refuse(decision.RetryAfter, Overload, rn.detail+" expected latency too long")
	}
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventAdmitted, RequestId: rn.request.ID, Organisation: rn.organisation.Name,
		Pipeline: rn.pipeline.Name, Revision: rn.table.Revision, Detail: rn.detail,
	})
	return nil
}

// minPromptTokensPerMs is the slowest rate at which an engine processes a prompt.
const minPromptTokensPerMs = 40

// engineLatency returns the expected time until a model engine's first event.
func (rn *run) engineLatency() time.Duration {
	if rn.pool.Engine == nil {
		return 0
	}
	return idleLatency + time.Duration(rn.request.Prompt.ownTokens()/minPromptTokensPerMs)*time.Millisecond
}

// recordEnd writes the outcome of the request to the event log and the metrics.
func (rn *run) recordEnd(outcome Outcome) {
	took := rn.Timers.Now().Sub(rn.request.Arrived)
	event := &wire.Event{
		Kind: wire.EventKind_EventRequestEnded, RequestId: rn.request.ID, Organisation: rn.organisation.Name,
		Outcome: OutcomeName(outcome), Detail: rn.detail, DurationMicros: took.Microseconds(), Attempt: int64(rn.audit.Executions()),
	}
	if refused, is := outcome.(Refused); is {
		event.Cause = string(refused.Cause)
	}
	name := ""
	if rn.pipeline != nil {
		name = rn.pipeline.Name
		event.Pipeline, event.Revision = name, rn.table.Revision
	}
	_, answered := outcome.(Answered)
	if rn.response.IsBegun() {
		end := responseEnd(outcome)
		event.Detail += fmt.Sprintf(" %s end=%s", rn.response.Summary(), end)
		rn.Metrics.RecordResponse(metric.Response{Pipeline: name, Resumed: rn.response.IsResumed(), End: end})
	}
	rn.Events.Record(event)
	rn.Metrics.RecordRequest(metric.Request{
		Rank: fmt.Sprint(rn.rank), Organisation: rn.organisation.Name, Pipeline: name, Outcome: OutcomeName(outcome),
		DeadlineMet: answered && !rn.Timers.Now().After(rn.deadline), Duration: took,
	})
}

// responseEnd returns how a response that has begun ended for its caller.
func responseEnd(outcome Outcome) string {
	switch outcome.(type) {
	case Answered:
		return "Complete"
	case Gone:
		return "CallerGone"
	default:
		return "CutOff"
	}
}
