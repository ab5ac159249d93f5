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

// configuration has a pipeline of each kind.
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

// answer is what an upstream does with a send.
type answer struct {
	err    error
	status int
	notRun bool
	bare   bool
	gone   bool
	body   string
	breaks bool
	after  time.Duration
}

// fakes are the upstreams, the stages and the crash reports.
type fakes struct {
	mu       sync.Mutex
	answers  []answer
	sends    []gateway.UpstreamRequest
	works    []gather.Job
	results  []gather.Result
	released []string
	wait     time.Duration
	// waits are the expected times of failure domains, where they are not all the same; ran are those that got work.
	waits    map[string]time.Duration
	ran      []string
	dead     bool
	crashes  []quarantine.Crash
	standing quarantine.Status
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

func (fk *fakes) Send(ctx context.Context, exchange gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	fk.mu.Lock()
	fk.sends = append(fk.sends, exchange)
	next := answer{status: http.StatusOK, body: "whole"}
	if len(fk.answers) > 0 {
		next, fk.answers = fk.answers[0], fk.answers[1:]
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
	if next.breaks {
		body = io.MultiReader(body, broken{})
	}
	return &gateway.UpstreamResponse{
		Status: next.status, Header: http.Header{"X": {"y"}}, Body: io.NopCloser(body), Length: -1, Signed: !next.bare && !next.notRun,
		NotExecuted: next.notRun, InputMissing: next.gone,
	}, nil
}

// broken is a body that breaks off.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

func (fk *fakes) IsReachable(context.Context, *roster.Upstream) bool { return !fk.dead }

func (fk *fakes) Run(_ context.Context, domain string, work gather.Job) gather.Result {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.ran = append(fk.ran, domain)
	fk.works = append(fk.works, work)
	if len(fk.results) > 0 {
		next := fk.results[0]
		fk.results = fk.results[1:]
		return next
	}
	made := gather.Finished{}
	for at := range work.Count {
		made.Results = append(made.Results, gather.ItemResult{Handle: fmt.Sprintf("s%d.%d", work.Stage, at), FailureDomain: "a"})
	}
	return made
}

func (fk *fakes) ShortestWait(_, preferred string, _ time.Duration, _ gather.JobClass) (string, time.Duration) {
	return preferred, fk.wait
}

func (fk *fakes) ExpectedWait(_, domain string, _ gather.JobClass) time.Duration {
	return max(fk.wait, fk.waits[domain])
}

func (fk *fakes) ProjectedWait(pool, domain string, wish gather.JobClass) time.Duration {
	return fk.ExpectedWait(pool, domain, wish)
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

func (fk *fakes) Status(digest.Sum) quarantine.Status { return fk.standing }
func (fk *fakes) ReportSuccess(digest.Sum)            {}
func (fk *fakes) ReportCrash(crash quarantine.Crash) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.crashes = append(fk.crashes, crash)
}

// sink keeps an answer.
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
		terms := retryquota.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
		gw := gateway.New(gateway.Parts{
			FailureDomain: "a", Catalog: ct, Pools: gateway.NewPools(timers, terms, func() int { return 1 }), Stages: fk, Sender: fk,
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

func TestDoor(t *testing.T) {
	cases := []struct {
		name, path, want string
		change           func(*gateway.Request)
	}{
		{"an unknown path", "/nowhere/", "NotFound", nil},
		{"an unknown key", "/once/1", "Unauthorised", func(rq *gateway.Request) { rq.APIKey = "other" }},
		{"no key at a public pipeline", "/open/1", "Answered", func(rq *gateway.Request) { rq.APIKey = "" }},
		{"a known key", "/once/1", "Answered", nil},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			outcome, _ := serve(t, &fakes{}, each.path, each.change)
			assertOutcome(t, each.want, outcome)
		})
	}
	t.Run("a request that crashed upstreams is refused before it is sent", func(t *testing.T) {
		fk := &fakes{standing: quarantine.Blocked}
		outcome, _ := serve(t, fk, "/once/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
}

// TestAtMostOnce sends a request that may run once through every way in which a send fails.
func TestAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		first answer
		want  string
		sends int
	}{
		{"a reset after it was sent", answer{err: errReset}, "Failed", 1},
		{"no connection", answer{err: gateway.NotSentError{Cause: errReset}}, "Answered", 2},
		{"a rejection", answer{status: 503, notRun: true}, "Answered", 2},
		{"an error of the upstream", answer{status: 500, body: "no"}, "Answered", 1},
		{"an answer that breaks off", answer{status: 200, body: "par", breaks: true}, "Failed", 1},
		{"a success without signature", answer{status: 200, bare: true}, "Failed", 1},
		{"silence to its time", answer{after: time.Minute}, "TimedOut", 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			fk := &fakes{answers: []answer{each.first}}
			outcome, out := serve(t, fk, "/once/1", nil)
			assertOutcome(t, each.want, outcome)
			must.SliceLen(t, each.sends, fk.sends)
			if each.want != "Answered" {
				must.Zero(t, out.status, must.Sprint("nothing of a broken answer reaches the caller"))
			}
		})
	}
	t.Run("rejections only lead to a refusal", func(t *testing.T) {
		no := answer{status: 503, notRun: true}
		outcome, _ := serve(t, &fakes{answers: []answer{no, no, no, no}}, "/once/1", nil)
		assertOutcome(t, "Refused", outcome)
	})
}

func TestIdempotent(t *testing.T) {
	cases := map[string]answer{
		"a reset": {err: errReset}, "an error": {status: 500, body: "no"}, "an answer that breaks off": {status: 200, body: "p", breaks: true},
		"silence": {after: time.Minute},
	}
	for name, first := range cases {
		t.Run(name+" leads to another upstream", func(t *testing.T) {
			fk := &fakes{answers: []answer{first}}
			outcome, out := serve(t, fk, "/lookup/1", nil)
			assertOutcome(t, "Answered", outcome)
			must.Eq(t, "whole", out.body)
			must.SliceLen(t, 2, fk.sends)
			must.NotEq(t, fk.sends[0].Upstream.ID, fk.sends[1].Upstream.ID)
		})
	}
	t.Run("never to more upstreams than the pipeline allows", func(t *testing.T) {
		fk := &fakes{answers: []answer{{err: errReset}, {err: errReset}, {err: errReset}}}
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 2, fk.sends)
	})
}

func TestStages(t *testing.T) {
	t.Run("run in order, and the request reads the last results", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "ik", fk.works[0].Key)
		must.Eq(t, []string{"s0.0", "s0.1"}, fk.works[1].Inputs)
		must.Eq(t, "", fk.works[1].Key)
		must.Eq(t, []string{"s1.0"}, fk.sends[0].Inputs)
		must.SliceContainsAll(t, fk.released, []string{"s0.0", "s0.1", "s1.0"})
	})
	t.Run("a stage without items is left out", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/draft/1", func(rq *gateway.Request) { rq.ItemCounts = []int{0, 1} })
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 1, fk.works)
		must.SliceEmpty(t, fk.works[0].Inputs)
	})
	t.Run("a refused stage refuses the request, and what was made is freed", func(t *testing.T) {
		made := gather.Finished{Results: []gather.ItemResult{{Handle: "x"}, {Handle: "y"}}}
		fk := &fakes{results: []gather.Result{made, gather.Refused{Wait: time.Second, Cause: "full"}}}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
		must.SliceContainsAll(t, fk.released, []string{"x", "y"})
	})
	t.Run("results that the engine no longer finds are made again once", func(t *testing.T) {
		fk := &fakes{answers: []answer{{status: 409, notRun: true, gone: true}}}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 4, fk.works)
	})
	t.Run("a request that can't be in time is refused before its first stage", func(t *testing.T) {
		fk := &fakes{wait: 5 * time.Second}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.Greater(t, time.Second, outcome.(gateway.Refused).RetryAfter)
		must.SliceEmpty(t, fk.works)
	})
}

func TestStreams(t *testing.T) {
	t.Run("a stream that breaks off after its begin never looks whole", func(t *testing.T) {
		fk := &fakes{answers: []answer{{status: 200, body: "id: 1\n\n", breaks: true}}}
		outcome, out := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("one that breaks off before its begin is not begun", func(t *testing.T) {
		outcome, out := serve(t, &fakes{answers: []answer{{status: 200, breaks: true}}}, "/draft/1", nil)
		assertOutcome(t, "Failed", outcome)
		must.Zero(t, out.status)
	})
}

func TestResumedStreams(t *testing.T) {
	query := func(rq *gateway.Request) { rq.ItemCounts = nil }
	t.Run("another upstream goes on after the last whole event", func(t *testing.T) {
		fk := &fakes{answers: []answer{{status: 200, body: "id: 1\n\nid: 2\nda", breaks: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}}
		outcome, out := serve(t, fk, "/query/1", query)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "id: 1\n\nid: 2\ndata: b\n\n", out.body)
		must.Eq(t, "1", fk.sends[1].LastEventID)
	})
	t.Run("when no other can, the answer is cut off", func(t *testing.T) {
		breaks := answer{status: 200, body: "id: 1\n\n", breaks: true}
		outcome, out := serve(t, &fakes{answers: []answer{breaks, {err: errReset}}}, "/query/1", query)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
	})
	t.Run("a refusal of the second does not reach a caller who has a part of the answer", func(t *testing.T) {
		breaks := answer{status: 200, body: "id: 1\n\n", breaks: true}
		no := answer{status: 503, notRun: true}
		outcome, out := serve(t, &fakes{answers: []answer{breaks, no, no, no}}, "/query/1", query)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, 200, out.status)
	})
}

func TestTimeLeft(t *testing.T) {
	t.Run("an upstream is told what is left of the shorter of both times", func(t *testing.T) {
		fk := &fakes{}
		_, _ = serve(t, fk, "/once/1", func(rq *gateway.Request) { rq.Arrived = rq.Arrived.Add(-500 * time.Millisecond) })
		must.Eq(t, 1500*time.Millisecond, fk.sends[0].Remaining)
	})
	t.Run("a request whose time is over is refused, as it did not run", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/once/1", func(rq *gateway.Request) { rq.Arrived = rq.Arrived.Add(-3 * time.Second) })
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
}

func TestCrashes(t *testing.T) {
	t.Run("an upstream that died while it ran a request is reported", func(t *testing.T) {
		fk := &fakes{dead: true, answers: []answer{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		must.SliceLen(t, 1, fk.crashes)
	})
	t.Run("one that still takes connections is not", func(t *testing.T) {
		fk := &fakes{answers: []answer{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		must.SliceEmpty(t, fk.crashes)
	})
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	fk := &fakes{answers: []answer{{err: gateway.NotSentError{Cause: errReset}}, {err: gateway.NotSentError{Cause: errReset}}}}
	outcome, _ := serve(t, fk, "/once/1", nil)
	assertOutcome(t, "Refused", outcome)
	for _, each := range fk.sends {
		must.NotEq(t, "p3", each.Upstream.ID)
	}
}
