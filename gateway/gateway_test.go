package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/retryquota"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// configuration returns a pipeline of each kind.
func configuration() *route.Table {
	pools := func(name string) []route.WeightedPool { return []route.WeightedPool{{Pool: name, Weight: 1}} }
	return route.New(route.Table{
		Revision:      3,
		Organisations: map[string]route.Organisation{"key": {Name: "guild"}},
		Pools: map[string]route.Pool{
			"plain": {Name: "plain"}, "model": {Name: "model", Engine: &route.Engine{Slots: 64}},
			"stage": {Name: "stage", Batching: &route.Batching{MaxBatch: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond}},
		},
		Pipelines: []route.Pipeline{
			{Name: "once", Host: "h", Prefix: "/once/", Pools: pools("plain"), MaxUpstreams: 1, Timeout: 2 * time.Second, TargetLatency: 300 * time.Millisecond},
			{
				Name: "lookup", Host: "h", Prefix: "/lookup/", Pools: pools("plain"), MaxUpstreams: 2, RetryPolicy: route.Idempotent,
				Timeout: 2 * time.Second, TargetLatency: 300 * time.Millisecond,
			},
			{
				Name: "draft", Host: "h", Prefix: "/draft/", Pools: pools("model"), MaxUpstreams: 1, Streaming: true, Timeout: 6 * time.Second,
				TargetLatency: time.Second, AbandonAfter: 4 * time.Second, Stages: []route.Stage{{Pool: "stage", ResultBytes: 3e6}, {Pool: "stage", DependsOn: []int{0}}},
			},
			{
				Name: "query", Host: "h", Prefix: "/query/", Pools: pools("model"), MaxUpstreams: 2, Streaming: true, RetryPolicy: route.Resumable,
				Timeout: 6 * time.Second, TargetLatency: 3 * time.Second,
			},
			{Name: "open", Host: "h", Prefix: "/open/", Pools: pools("plain"), Public: true, MaxUpstreams: 1},
		},
	})
}

// response scripts an upstream's response to one attempt.
type response struct {
	err          error
	status       int
	notExecuted  bool
	unsigned     bool
	inputMissing bool
	body         string
	interrupted  bool
	after        time.Duration
}

// fakes implements the upstreams, the stages and the crash tracker.
type fakes struct {
	mu        sync.Mutex
	responses []response
	sends     []gateway.UpstreamRequest
	jobs      []gather.Job
	results   []gather.Result
	released  []string
	wait      time.Duration
	// waits are the expected waits by failure domain, if they differ; runDomains are the failure domains in which stages ran.
	waits      map[string]time.Duration
	runDomains []string
	dead       bool
	crashes    []quarantine.Crash
	status     quarantine.Status
}

func (fk *fakes) Configuration(replica.Row) (*route.Table, error) { return configuration(), nil }

func (fk *fakes) Registration(row replica.Row, _ time.Time) (roster.Upstream, error) {
	name, pool, _ := strings.Cut(row.Key, "@")
	leaving := strings.HasSuffix(pool, "!")
	_, domain, elsewhere := strings.Cut(name, ".")
	if !elsewhere {
		domain = "a"
	}
	return roster.Upstream{ID: name, Pool: strings.TrimSuffix(pool, "!"), FailureDomain: domain, Slots: 8, Leaving: leaving}, nil
}

func (fk *fakes) Send(ctx context.Context, request gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	fk.mu.Lock()
	fk.sends = append(fk.sends, request)
	next := response{status: http.StatusOK, body: "whole"}
	if len(fk.responses) > 0 {
		next, fk.responses = fk.responses[0], fk.responses[1:]
	}
	fk.mu.Unlock()
	select {
	case <-time.After(next.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	body := io.Reader(strings.NewReader(next.body))
	if next.interrupted {
		body = io.MultiReader(body, broken{})
	}
	return &gateway.UpstreamResponse{
		Status: next.status, Header: http.Header{"X": {"y"}}, Body: io.NopCloser(body), Length: -1, Signed: !next.unsigned && !next.notExecuted,
		NotExecuted: next.notExecuted, InputMissing: next.inputMissing,
	}, nil
}

// broken is a body whose connection is reset.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

func (fk *fakes) IsReachable(context.Context, *roster.Upstream) bool { return !fk.dead }

func (fk *fakes) Run(_ context.Context, domain string, job gather.Job) gather.Result {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.runDomains = append(fk.runDomains, domain)
	fk.jobs = append(fk.jobs, job)
	if len(fk.results) > 0 {
		next := fk.results[0]
		fk.results = fk.results[1:]
		return next
	}
	made := gather.Finished{}
	for at := range job.Count {
		made.Results = append(made.Results, gather.ItemResult{Handle: fmt.Sprintf("s%d.%d", job.Stage, at), FailureDomain: "a"})
	}
	return made
}

func (fk *fakes) ShortestWait(_, preferred string, _ time.Duration, _ gather.JobClass) (string, time.Duration) {
	return preferred, fk.wait
}

func (fk *fakes) ExpectedWait(_, domain string, _ gather.JobClass) time.Duration {
	return max(fk.wait, fk.waits[domain])
}

func (fk *fakes) ProjectedWait(pool, domain string, class gather.JobClass) time.Duration {
	return fk.ExpectedWait(pool, domain, class)
}

func (fk *fakes) FailureDomains(string) []string {
	if len(fk.waits) > 0 {
		return slices.Sorted(maps.Keys(fk.waits))
	}
	return []string{"a"}
}

func (fk *fakes) Release(_ context.Context, _, _ string, handles []string) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.released = append(fk.released, handles...)
}

func (fk *fakes) Status(digest.Sum) quarantine.Status { return fk.status }
func (fk *fakes) ReportSuccess(digest.Sum)            {}
func (fk *fakes) ReportCrash(crash quarantine.Crash) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.crashes = append(fk.crashes, crash)
}

// sink stores a response.
type sink struct {
	status int
	body   string
}

func (sk *sink) Start(status int, _ http.Header, _ int64) { sk.status = status }
func (sk *sink) Write(part []byte) error                  { sk.body += string(part); return nil }

// serve sends one request through a gateway in fake time.
func serve(t *testing.T, fk *fakes, path string, change func(*gateway.Request)) (gateway.Outcome, *sink) {
	t.Helper()
	outcome, out := gateway.Outcome(nil), &sink{}
	synctest.Test(t, func(*testing.T) {
		timers := timer.New()
		events := timeline.New("i", hlc.New(timers), 100, nil)
		ct := catalog.New(fk, catalog.TableNames{Configuration: "c", Registrations: "r"}, timers, events)
		ct.RowsChanged("c", []replica.Row{{Key: "config", Version: 1}}, 1, false)
		for _, key := range []string{"p1@plain", "p2@plain", "p3@plain!", "m1@model", "m2@model", "s1@stage", "s2.b@stage"} {
			ct.RowsChanged("r", []replica.Row{{Key: key, Version: 1}}, 1, false)
		}
		budget := retryquota.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
		gw := gateway.New(gateway.Parts{
			FailureDomain: "a", Catalog: ct, Pools: gateway.NewPools(timers, budget, func() int { return 1 }), Stages: fk, Sender: fk,
			Crashes: fk, Timers: timers, Events: events, Metrics: metric.New(),
		})
		request := &gateway.Request{
			ID: "r1", Method: "POST", Host: "h", Path: path, APIKey: "key", Arrived: time.Now(), CallerTimeout: 4 * time.Second, ItemCounts: []int{2, 1}, ItemKey: "ik",
		}
		if change != nil {
			change(request)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		outcome = gw.Serve(ctx, request, out)
		cancel()
		time.Sleep(2 * time.Second)
	})
	return outcome, out
}

func assertOutcome(t *testing.T, want string, outcome gateway.Outcome) {
	t.Helper()
	must.Eq(t, want, gateway.OutcomeName(outcome), must.Sprintf("%#v", outcome))
}

var errReset = errors.New("connection reset")

func TestAccess(t *testing.T) {
	cases := []struct {
		name, path, want string
		change           func(*gateway.Request)
	}{
		{"an unknown path", "/nowhere/", "NotFound", nil},
		{"an unknown key", "/once/1", "Unauthorised", func(rq *gateway.Request) { rq.APIKey = "other" }},
		{"a public pipeline without a key", "/open/1", "Answered", func(rq *gateway.Request) { rq.APIKey = "" }},
		{"a known key", "/once/1", "Answered", nil},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			outcome, _ := serve(t, &fakes{}, each.path, each.change)
			assertOutcome(t, each.want, outcome)
		})
	}
	t.Run("a request whose content crashed upstreams is refused before it is sent", func(t *testing.T) {
		fk := &fakes{status: quarantine.Blocked}
		outcome, _ := serve(t, fk, "/once/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
}

// TestAtMostOnce guards against a second execution of a non-idempotent request, for each way in which a send can fail.
func TestAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		first response
		want  string
		sends int
	}{
		{"a reset after the request was sent", response{err: errReset}, "Failed", 1},
		{"no connection", response{err: gateway.NotSentError{Cause: errReset}}, "Answered", 2},
		{"a rejection", response{status: 503, notExecuted: true}, "Answered", 2},
		{"an error response", response{status: 500, body: "no"}, "Answered", 1},
		{"an interrupted response", response{status: 200, body: "par", interrupted: true}, "Failed", 1},
		{"an unsigned success", response{status: 200, unsigned: true}, "Failed", 1},
		{"no response before the deadline", response{after: time.Minute}, "TimedOut", 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			fk := &fakes{responses: []response{each.first}}
			outcome, out := serve(t, fk, "/once/1", nil)
			assertOutcome(t, each.want, outcome)
			must.SliceLen(t, each.sends, fk.sends)
			if each.want != "Answered" {
				must.Zero(t, out.status, must.Sprint("no part of a broken response may reach the caller"))
			}
		})
	}
	t.Run("a request that was only rejected is refused", func(t *testing.T) {
		no := response{status: 503, notExecuted: true}
		outcome, _ := serve(t, &fakes{responses: []response{no, no, no, no}}, "/once/1", nil)
		assertOutcome(t, "Refused", outcome)
	})
}

func TestIdempotentRetry(t *testing.T) {
	cases := map[string]response{
		"a reset": {err: errReset}, "an error": {status: 500, body: "no"}, "an interrupted response": {status: 200, body: "p", interrupted: true},
		"no response": {after: time.Minute},
	}
	for name, first := range cases {
		t.Run(name+" is retried at another upstream", func(t *testing.T) {
			fk := &fakes{responses: []response{first}}
			outcome, out := serve(t, fk, "/lookup/1", nil)
			assertOutcome(t, "Answered", outcome)
			must.Eq(t, "whole", out.body)
			must.SliceLen(t, 2, fk.sends)
			must.NotEq(t, fk.sends[0].Upstream.ID, fk.sends[1].Upstream.ID)
		})
	}
	t.Run("at most as many upstreams as the pipeline allows", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset}, {err: errReset}, {err: errReset}}}
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 2, fk.sends)
	})
}

func TestStages(t *testing.T) {
	t.Run("stages run in order, and the request reads the last results", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "ik", fk.jobs[0].Key)
		must.Eq(t, []string{"s0.0", "s0.1"}, fk.jobs[1].Inputs)
		must.Eq(t, "", fk.jobs[1].Key)
		must.Eq(t, []string{"s1.0"}, fk.sends[0].Inputs)
		must.SliceContainsAll(t, fk.released, []string{"s0.0", "s0.1", "s1.0"})
	})
	t.Run("a stage without items is skipped", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/draft/1", func(rq *gateway.Request) { rq.ItemCounts = []int{0, 1} })
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 1, fk.jobs)
		must.SliceEmpty(t, fk.jobs[0].Inputs)
	})
	t.Run("a refused stage refuses the request, and earlier results are released", func(t *testing.T) {
		made := gather.Finished{Results: []gather.ItemResult{{Handle: "x"}, {Handle: "y"}}}
		fk := &fakes{results: []gather.Result{made, gather.Refused{Wait: time.Second, Cause: "full"}}}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
		must.SliceContainsAll(t, fk.released, []string{"x", "y"})
	})
	t.Run("stages run once more if the engine no longer finds their results", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 409, notExecuted: true, inputMissing: true}}}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 4, fk.jobs)
	})
	t.Run("a request that can't meet its deadline is refused before its first stage", func(t *testing.T) {
		fk := &fakes{wait: 5 * time.Second}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.Greater(t, time.Second, outcome.(gateway.Refused).RetryAfter)
		must.SliceEmpty(t, fk.jobs)
	})
}

func TestStreams(t *testing.T) {
	t.Run("a stream that is interrupted after its start never looks complete", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, body: "id: 1\n\n", interrupted: true}}}
		outcome, out := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("a stream that is interrupted before its first event is not started", func(t *testing.T) {
		outcome, out := serve(t, &fakes{responses: []response{{status: 200, interrupted: true}}}, "/draft/1", nil)
		assertOutcome(t, "Failed", outcome)
		must.Zero(t, out.status)
	})
}

func TestResumedStreams(t *testing.T) {
	query := func(rq *gateway.Request) { rq.ItemCounts = nil }
	t.Run("another upstream resumes after the last complete event", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, body: "id: 1\n\nid: 2\nda", interrupted: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}}
		outcome, out := serve(t, fk, "/query/1", query)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "id: 1\n\nid: 2\ndata: b\n\n", out.body)
		must.Eq(t, "1", fk.sends[1].LastEventID)
	})
	t.Run("the response is cut off if no other upstream resumes it", func(t *testing.T) {
		cutStream := response{status: 200, body: "id: 1\n\n", interrupted: true}
		outcome, out := serve(t, &fakes{responses: []response{cutStream, {err: errReset}}}, "/query/1", query)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
	})
	t.Run("a rejection by the second upstream does not reach a caller with a partial response", func(t *testing.T) {
		cutStream := response{status: 200, body: "id: 1\n\n", interrupted: true}
		no := response{status: 503, notExecuted: true}
		outcome, out := serve(t, &fakes{responses: []response{cutStream, no, no, no}}, "/query/1", query)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, 200, out.status)
	})
}

func TestDeadline(t *testing.T) {
	t.Run("the remaining time counts from the shorter of both timeouts", func(t *testing.T) {
		fk := &fakes{}
		_, _ = serve(t, fk, "/once/1", func(rq *gateway.Request) { rq.Arrived = rq.Arrived.Add(-500 * time.Millisecond) })
		must.Eq(t, 1500*time.Millisecond, fk.sends[0].Remaining)
	})
	t.Run("a request whose deadline has passed before it is sent is refused", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/once/1", func(rq *gateway.Request) { rq.Arrived = rq.Arrived.Add(-3 * time.Second) })
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
}

func TestCrashes(t *testing.T) {
	t.Run("an upstream that died while executing a request is reported", func(t *testing.T) {
		fk := &fakes{dead: true, responses: []response{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		must.SliceLen(t, 1, fk.crashes)
	})
	t.Run("an upstream that still accepts connections is not reported", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		must.SliceEmpty(t, fk.crashes)
	})
}

func TestLeavingUpstreamIsSkipped(t *testing.T) {
	fk := &fakes{responses: []response{{err: gateway.NotSentError{Cause: errReset}}, {err: gateway.NotSentError{Cause: errReset}}}}
	outcome, _ := serve(t, fk, "/once/1", nil)
	assertOutcome(t, "Refused", outcome)
	for _, each := range fk.sends {
		must.NotEq(t, "p3", each.Upstream.ID)
	}
}
