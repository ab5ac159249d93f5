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
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/retryquota"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// configuration returns a pipeline of each kind.
func configuration() *route.Table {
	pools := func(name string) []route.WeightedPool { return []route.WeightedPool{{Pool: name, Weight: 1}} }
	return route.New(route.Table{
		Revision:      3,
		Organisations: map[string]route.Organisation{"key": {Name: "guild"}, "patient": {Name: "patient", Rank: 1, HasRank: true}},
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
	// reader replaces body if it is set.
	reader      io.Reader
	interrupted bool
	after       time.Duration
	contentType string
	// sized sets the length to that of the body, mismatch marks the response to another request.
	sized    bool
	mismatch bool
}

// fakes implements the upstreams, the stages and the crash tracker.
type fakes struct {
	mu sync.Mutex
	// pauses are until when upstreams want no requests.
	pauses map[roster.Incarnation]time.Time
	// coldFor is how long the upstreams of permitAfter are cold, or 0 if their limits have another reason.
	coldFor   time.Duration
	coldUntil time.Time
	// log holds the events, metrics the page of the metrics after the request.
	log     []*wire.Event
	metrics string
	// maxUpstreams and budget replace the limits of resumable streams and of retries.
	maxUpstreams int
	budget       retryquota.Config
	responses    []response
	sends        []gateway.UpstreamRequest
	jobs         []gather.Job
	results      []gather.Result
	released     []string
	wait         time.Duration
	// waits are the expected waits by failure domain, if they differ; runDomains are the failure domains in which stages ran.
	waits      map[string]time.Duration
	runDomains []string
	dead       bool
	// restarted makes another incarnation answer at the address, silent makes probes time out.
	restarted bool
	silent    bool
	// partStatuses are the statuses of parts of prompts, trials lets requests with blocked parts through; partCrashes and
	// successfulParts are the parts that were reported.
	partStatuses    map[poison.Part]poison.Status
	trials          bool
	partCrashes     [][]poison.Part
	successfulParts [][]poison.Part
	// duringStages is called by the first stage, blockAfter is when the part "second" is blocked.
	duringStages func()
	blockAfter   time.Duration
	crashes      []quarantine.Crash
	status       quarantine.Status
	// permitAfter is the time until an upstream's rate limit allows a request, asked the upstreams for which permits were asked.
	permitAfter map[string]time.Duration
	asked       []string
	// versions are the software versions of upstreams, origins those of streams by the attempt that began them, ended the upstreams
	// that have ended, and continued the streams that were taken up with their versions.
	versions  map[string]string
	origins   map[string]origin.Origin
	ended     map[roster.Incarnation]bool
	continued []string
	// corrected lists the attempts for whose corrected records was waited, with the versions.
	corrected []string
	notFound  streamdirectory.NotFound
	// evacuated are the failure domains that are evacuated from the beginning. catalog is that of the gateway, also while it serves.
	evacuated []string
	catalog   *catalog.Catalog
	// registered are further upstreams, unregistered those that are not there.
	registered, unregistered []string
	// duringSend is called by the first send, whileWaiting while a permit is awaited.
	duringSend, whileWaiting func()
	// earlier is the number of requests that the gateway serves before the one whose response is checked.
	earlier int
}

func (fk *fakes) Configuration(replica.Row) (*route.Table, error) {
	table := configuration()
	if fk.maxUpstreams > 0 {
		table.Match("h", "/query/").MaxUpstreams = fk.maxUpstreams
	}
	return table, nil
}

func (fk *fakes) Registration(row replica.Row, _ time.Time) (roster.Upstream, error) {
	name, pool, _ := strings.Cut(row.Key, "@")
	leaving := strings.HasSuffix(pool, "!")
	_, domain, elsewhere := strings.Cut(name, ".")
	if !elsewhere {
		domain = "a"
	}
	return roster.Upstream{
		ID: name, Pool: strings.TrimSuffix(pool, "!"), FailureDomain: domain, Slots: 8, Leaving: leaving, SoftwareVersion: fk.versions[name],
	}, nil
}

// evacuationKey begins the key of a row that evacuates a failure domain.
const evacuationKey = "evacuation of "

func (*fakes) Evacuation(row replica.Row) (string, bool, error) {
	domain, is := strings.CutPrefix(row.Key, evacuationKey)
	return domain, is, nil
}

// evacuate evacuates a failure domain.
func (fk *fakes) evacuate(domain string) {
	fk.catalog.RowsChanged("c", []replica.Row{{Key: evacuationKey + domain, Version: 9}}, 9, false)
}

func (fk *fakes) Send(ctx context.Context, request gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	fk.mu.Lock()
	fk.sends = append(fk.sends, request)
	next := response{status: http.StatusOK, body: "whole"}
	if len(fk.responses) > 0 {
		next, fk.responses = fk.responses[0], fk.responses[1:]
	}
	during := fk.duringSend
	fk.duringSend = nil
	fk.mu.Unlock()
	if during != nil {
		during()
	}
	select {
	case <-time.After(next.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	body := io.Reader(strings.NewReader(next.body))
	if next.reader != nil {
		body = next.reader
	}
	if next.interrupted {
		body = io.MultiReader(body, broken{})
	}
	reply := &gateway.UpstreamResponse{
		Status: next.status, Header: http.Header{"X": {"y"}}, Body: io.NopCloser(body), Length: -1, Signed: !next.unsigned && !next.notExecuted,
		NotExecuted: next.notExecuted, InputMissing: next.inputMissing, RequestMismatch: next.mismatch,
	}
	if next.sized {
		reply.Length = int64(len(next.body))
	}
	if next.contentType != "" {
		reply.Header.Set("Content-Type", next.contentType)
	}
	return reply, nil
}

// broken is a body whose connection is reset.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

func (fk *fakes) Probe(context.Context, *roster.Upstream) gateway.ProcessState {
	switch {
	case fk.dead:
		return gateway.ProcessGone
	case fk.silent:
		return gateway.ProcessUnknown
	}
	return gateway.ProcessAlive
}

func (fk *fakes) HasRestarted(context.Context, *roster.Upstream) bool { return fk.restarted }

// setStatus sets the status of the part "second".
func (fk *fakes) setStatus(status poison.Status) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.partStatuses = statusOf(status)
}

func (fk *fakes) Run(_ context.Context, domain string, job gather.Job) gather.Result {
	if fk.duringStages != nil {
		fk.duringStages()
	}
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

func (fk *fakes) PartStatus(parts []poison.Part) (poison.Status, poison.Part) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	worst, of := poison.Clear, poison.Part(0)
	for _, part := range parts {
		if status := fk.partStatuses[part]; status > worst {
			worst, of = status, part
		}
	}
	return worst, of
}

func (fk *fakes) BeginPartTrial([]poison.Part) bool { return fk.trials }

func (fk *fakes) ReportPartCrash(_ uint64, parts []poison.Part) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.partCrashes = append(fk.partCrashes, parts)
}

func (fk *fakes) ReportPartsSuccess(parts []poison.Part) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.successfulParts = append(fk.successfulParts, parts)
}

func (fk *fakes) ReportCrash(crash quarantine.Crash) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.crashes = append(fk.crashes, crash)
}

// sink stores a response.
type sink struct {
	status int
	body   string
	// heads counts the heads written; gone makes writes fail as on a connection that the caller closed.
	heads int
	gone  bool
}

func (*sink) SetDeadline(time.Time) {}

func (sk *sink) Start(status int, _ http.Header, _ int64) { sk.status, sk.heads = status, sk.heads+1 }

func (sk *sink) Write(part []byte) error {
	if sk.gone {
		return errReset
	}
	sk.body += string(part)
	return nil
}

// serve sends one request through a gateway in fake time.
func serve(t *testing.T, fk *fakes, path string, change func(*gateway.Request)) (gateway.Outcome, *sink) {
	t.Helper()
	out := &sink{}
	return serveTo(t, fk, path, change, out), out
}

// serveTo sends one request through a gateway in fake time and writes the response to out.
func serveTo(t *testing.T, fk *fakes, path string, change func(*gateway.Request), out *sink) gateway.Outcome {
	t.Helper()
	outcome := gateway.Outcome(nil)
	synctest.Test(t, func(*testing.T) {
		if fk.origins == nil {
			fk.origins = map[string]origin.Origin{begunElsewhere: {Pool: "model"}}
		}
		timers := timer.New()
		events := timeline.New("i", hlc.New(timers), 100, fk.record)
		ct := catalog.New(fk, catalog.TableNames{Configuration: "c", Registrations: "r"}, timers, events)
		ct.RowsChanged("c", []replica.Row{{Key: "config", Version: 1}}, 1, false)
		keys := []string{"p1@plain", "p2@plain", "p3@plain!", "m1@model", "m2@model", "m3@model", "s1@stage", "s2.b@stage"}
		for _, key := range append(keys, fk.registered...) {
			if slices.Contains(fk.unregistered, key) {
				continue
			}
			ct.RowsChanged("r", []replica.Row{{Key: key, Version: 1}}, 1, false)
		}
		fk.catalog = ct
		for _, domain := range fk.evacuated {
			fk.evacuate(domain)
		}
		budget := retryquota.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
		if fk.budget.Window > 0 {
			budget = fk.budget
		}
		set := metric.New()
		gw := gateway.New(gateway.Parts{
			FailureDomain: "a", Catalog: ct, Pools: gateway.NewPools(timers, budget, func() int { return 1 }), Stages: fk, Sender: fk,
			Crashes: fk, Limits: fk, Streams: fk, Timers: timers, Events: events, Metrics: set,
		})
		if fk.blockAfter > 0 {
			time.AfterFunc(fk.blockAfter, func() {
				fk.setStatus(poison.Blocked)
				gw.PartsBlocked(partsOf("second"))
			})
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		for range fk.earlier {
			_ = gw.Serve(ctx, newRequest(path, change), &sink{})
		}
		outcome = gw.Serve(ctx, newRequest(path, change), out)
		cancel()
		time.Sleep(2 * time.Second)
		page := &strings.Builder{}
		set.Write(page)
		fk.metrics = page.String()
	})
	return outcome
}

// newRequest returns a request that arrives now.
func newRequest(path string, change func(*gateway.Request)) *gateway.Request {
	request := &gateway.Request{
		ID: "r1", Method: "POST", Host: "h", Path: path, APIKey: "key", Arrived: time.Now(), CallerTimeout: 4 * time.Second, ItemCounts: []int{2, 1}, ItemKey: "ik",
	}
	if change != nil {
		change(request)
	}
	return request
}

func (fk *fakes) record(event *wire.Event) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.log = append(fk.log, event)
}

// assertDetails checks the details of the log lines of a kind.
func assertDetails(t *testing.T, fk *fakes, kind wire.EventKind, want ...string) {
	t.Helper()
	details := []string{}
	for _, event := range fk.log {
		if event.GetKind() == kind {
			details = append(details, event.GetDetail())
		}
	}
	must.Eq(t, want, details)
}

func assertOutcome(t *testing.T, want string, outcome gateway.Outcome) {
	t.Helper()
	must.Eq(t, want, gateway.OutcomeName(outcome), must.Sprintf("%#v", outcome))
}
