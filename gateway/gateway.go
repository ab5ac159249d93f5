package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/events"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/overload"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/sendaudit"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// CrashTracker tells and knows the contents that crash upstreams.
type CrashTracker interface {
	Status(fingerprint digest.Sum) quarantine.Status
	ReportCrash(crash quarantine.Crash)
	ReportSuccess(fingerprint digest.Sum)
}

// StageRunner has the items of stages made.
type StageRunner interface {
	Run(ctx context.Context, domain string, work gather.Job) gather.Result
	ShortestWait(pool, preferred string, margin time.Duration, wish gather.JobClass) (string, time.Duration)
	ExpectedWait(pool, domain string, wish gather.JobClass) time.Duration
	ProjectedWait(pool, domain string, wish gather.JobClass) time.Duration
	FailureDomains(pool string) []string
	Release(ctx context.Context, pool, domain string, handles []string)
}

// Parts are what a gateway works with.
type Parts struct {
	FailureDomain string
	Catalog       *catalog.Catalog
	Pools         *Pools
	Stages        StageRunner
	Sender        Sender
	Crashes       CrashTracker
	Timers        *timer.Service
	Events        *timeline.Ring
	Metrics       *metric.Set
}

// Gateway serves requests; it is safe for concurrent use.
type Gateway struct {
	Parts
}

// New returns a gateway.
func New(parts Parts) *Gateway {
	return &Gateway{Parts: parts}
}

// run is one request on its way.
type run struct {
	*Gateway
	request      *Request
	sink         Sink
	table        *route.Table
	pipeline     *route.Pipeline
	pool         route.Pool
	organisation route.Organisation
	rank         int
	// patient says that the request has so much time that its items go behind others.
	patient  bool
	forecast forecast
	// domain is the failure domain in which the stages are planned to be done.
	domain      string
	fingerprint digest.Sum
	// end is when the final answer is due, beginBy when the caller leaves without a first part, due when that is late.
	end     time.Time
	beginBy time.Time
	due     time.Time
	sends   *sendaudit.Tracker
	// passed says that a part of the answer went to the sink.
	passed bool
	// cutter cuts a stream that can be resumed into whole events.
	cutter *events.Framer
	// cause is what decided the outcome, for the log.
	cause string
}

// ErrTimeout is the cause of cancelling a request whose time is over, for whatever reason; any other cancelled context
// means that the caller has left.
var ErrTimeout = errors.New("time is over")

// Serve takes a request to its end. The answer of an upstream goes to sink; any other outcome is for the caller
// to be told.
func (gw *Gateway) Serve(ctx context.Context, request *Request, sink Sink) Outcome {
	rn := &run{Gateway: gw, request: request, sink: sink, cutter: events.New(), sends: sendaudit.New(request.ID, sendaudit.Limits{AtMostOnce: true})}
	outcome := rn.serve(ctx)
	rn.record(outcome)
	return outcome
}

func (rn *run) serve(ctx context.Context) Outcome {
	if refusal := rn.admitRoute(); refusal != nil {
		return refusal
	}
	left := rn.end.Sub(rn.Timers.Now())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := rn.Timers.AfterFunc(left, func() { cancel(ErrTimeout) })
	defer stop()
	if refusal := rn.admitLoad(); refusal != nil {
		return refusal
	}
	rn.Pools.RecordRequest(rn.pool.Name)
	return rn.execute(ctx)
}

// defaultPatience stands for the patience of a caller that did not say.
const defaultPatience = 10 * time.Second

// admitRoute finds the pipeline and the organisation of a request.
func (rn *run) admitRoute() Outcome {
	rn.table = rn.Catalog.RoutingTable()
	if rn.table == nil {
		return rn.refuse(unreadyRetry, NoConfiguration, "no configuration yet")
	}
	rn.pipeline = rn.table.Match(rn.request.Host, rn.request.Path)
	if rn.pipeline == nil {
		return NotFound{}
	}
	known := false
	rn.organisation, known = rn.table.Organisations[rn.request.APIKey]
	if !known && !rn.pipeline.Public && len(rn.table.Organisations) > 0 {
		return Unauthorised{}
	}
	rn.pool, known = rn.table.SelectPool(rn.pipeline, rn.request.ID)
	if !known {
		return rn.refuse(unreadyRetry, NoPool, "no pool")
	}
	rn.sends = sendaudit.New(rn.request.ID, sendaudit.Limits{AtMostOnce: rn.pipeline.RetryPolicy == route.AtMostOnce, MaxExecutions: rn.pipeline.MaxUpstreams})
	rn.rank = route.RankOf(rn.pipeline, rn.organisation)
	patience := rn.request.CallerTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if rn.pipeline.Timeout > 0 {
		patience = min(patience, rn.pipeline.Timeout)
	}
	rn.end = rn.request.Arrived.Add(patience)
	rn.beginBy = rn.end
	if rn.pipeline.AbandonAfter > 0 && rn.pipeline.AbandonAfter < patience {
		rn.beginBy = rn.request.Arrived.Add(rn.pipeline.AbandonAfter)
	}
	rn.due = rn.request.Arrived.Add(rn.pipeline.TargetLatency)
	rn.fingerprint = digest.Of([]byte(rn.request.Path), []byte(rn.organisation.Name), rn.request.Body)
	if rn.Crashes.Status(rn.fingerprint) == quarantine.Blocked {
		return rn.refuse(0, CrashesUpstreams, "fingerprint="+rn.fingerprint.String())
	}
	return nil
}

const (
	// unreadyRetry is when to come back to an instance that knows no configuration or upstream yet.
	unreadyRetry = 500 * time.Millisecond
	// minRetry is the shortest time after which a refused caller should come back.
	minRetry = 100 * time.Millisecond
)

func (rn *run) refuse(retryAfter time.Duration, cause Cause, detail string) Outcome {
	rn.cause = detail
	rn.sends.CheckNotExecuted()
	return Refused{RetryAfter: retryAfter, Cause: cause}
}

// admitLoad refuses a request whose stages can't be done in the time that it has.
func (rn *run) admitLoad() Outcome {
	now := rn.Timers.Now()
	active := rn.activeStages()
	rn.patient = rn.isPatient(active)
	chosen := rn.plan(active)
	rn.domain = chosen.domain
	rn.forecast = rn.Pools.correct(rn.pipeline.Name, chosen.expected+rn.engineTime())
	expected := rn.forecast.expected
	load := overload.Estimate{ExpectedLatency: expected, UntilTarget: rn.due.Sub(now), UntilDeadline: rn.beginBy.Sub(now)}
	rn.cause = fmt.Sprintf("expected=%dms due=%dms left=%dms domain=%s", expected.Milliseconds(),
		load.UntilTarget.Milliseconds(), load.UntilDeadline.Milliseconds(), rn.domain)
	if verdict, refused := overload.Decide(load).(overload.Reject); refused && len(active) > 0 {
		return rn.refuse(verdict.RetryAfter, Overload, rn.cause+" too long")
	}
	rn.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventAdmitted, RequestId: rn.request.ID, Organisation: rn.organisation.Name,
		Pipeline: rn.pipeline.Name, Revision: rn.table.Revision, Detail: rn.cause,
	})
	return nil
}

// promptTokensPerMs is how many prompt tokens an engine reads in a millisecond, at the least.
const promptTokensPerMs = 40

// engineTime is the expected time until a model engine's first event.
func (rn *run) engineTime() time.Duration {
	if rn.pool.Engine == nil {
		return 0
	}
	return baseAnswer + time.Duration(rn.request.Prompt.ownTokens()/promptTokensPerMs)*time.Millisecond
}

// record writes what became of the request.
func (rn *run) record(outcome Outcome) {
	took := rn.Timers.Now().Sub(rn.request.Arrived)
	event := &wire.Event{
		Kind: wire.EventKind_EventRequestEnded, RequestId: rn.request.ID, Organisation: rn.organisation.Name,
		Outcome: OutcomeName(outcome), Detail: rn.cause, DurationMicros: took.Microseconds(), Attempt: int64(rn.sends.Executions()),
	}
	if refused, is := outcome.(Refused); is {
		event.Cause = string(refused.Cause)
	}
	name := ""
	if rn.pipeline != nil {
		name = rn.pipeline.Name
		event.Pipeline, event.Revision = name, rn.table.Revision
	}
	rn.Events.Record(event)
	_, answered := outcome.(Answered)
	rn.Metrics.RecordRequest(metric.Request{
		Rank: fmt.Sprint(rn.rank), Organisation: rn.organisation.Name, Pipeline: name, Outcome: OutcomeName(outcome),
		DeadlineMet: answered && !rn.Timers.Now().After(rn.end), Duration: took,
	})
}
