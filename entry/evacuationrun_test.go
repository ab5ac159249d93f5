package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/requestbody"
	"github.com/turmericdoor/turmericdoor/retryquota"
)

// evacuationRun sends requests of all kinds to a fleet whose failure domains are evacuated.
type evacuationRun struct {
	*soak
	// pipelines are those to which requests are sent, until stop is closed.
	pipelines []string
	stop      chan struct{}
	sending   sync.WaitGroup

	mu       sync.Mutex
	requests []evacuationRequest
	// number is the number of requests.
	number int
}

// evacuationRequest is a request, how it ended, and when.
type evacuationRequest struct {
	path        string
	sent, ended time.Time
	outcome     gateway.Outcome
}

const (
	evacuationSeed = 3
	// evacuationEvery is the interval in which a request of each kind is sent.
	evacuationEvery = 20 * time.Millisecond
)

// generous is a retry budget that no run uses up.
var generous = retryquota.Config{Ratio: 5, Extra: 5000, Window: 10 * time.Second}

// playEvacuation runs a test on fleets of both sizes.
func playEvacuation(t *testing.T, variant defects, play func(t *testing.T, er *evacuationRun)) {
	t.Helper()
	playEvacuationOf(t, variant, pipelineNames, play)
}

// playEvacuationOf runs a test with requests to some pipelines.
func playEvacuationOf(t *testing.T, variant defects, pipelines []string, play func(t *testing.T, er *evacuationRun)) {
	t.Helper()
	for _, size := range []int{8, 18} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				er := newEvacuationRun(size, variant, pipelines)
				defer er.end()
				play(t, er)
			})
		})
	}
}

// newEvacuationRun starts a fleet and sends requests to it from then on.
func newEvacuationRun(instances int, variant defects, pipelines []string) *evacuationRun {
	fl := newFleetOf(instances, max(*soakSeed, evacuationSeed), variant)
	er := &evacuationRun{
		soak:      &soak{fleet: fl, variant: variant, random: fl.random.Fork("evacuations"), keyHolders: []string{organisationName(0)}, outcomes: map[string]int{}, lastOutcome: map[string]string{}},
		pipelines: pipelines, stop: make(chan struct{}),
	}
	er.configure()
	time.Sleep(convergenceTime + time.Second)
	er.sending.Go(er.sendAll)
	time.Sleep(time.Second)
	return er
}

// end ends the requests and the fleet.
func (er *evacuationRun) end() {
	close(er.stop)
	er.sending.Wait()
	er.group.Wait()
	er.fleet.stop()
}

// sendAll sends a request of each kind every evacuationEvery.
func (er *evacuationRun) sendAll() {
	for {
		select {
		case <-er.stop:
			return
		case <-time.After(evacuationEvery):
		}
		for _, name := range er.pipelines {
			nodes := er.fleet.live()
			er.send(nodes[er.random.IntN(len(nodes))], name)
		}
	}
}

// send sends a request in the background.
func (er *evacuationRun) send(nd *node, pipeline string) {
	er.mu.Lock()
	er.number++
	id := fmt.Sprint("e", er.number)
	er.mu.Unlock()
	request := &gateway.Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/" + pipeline + "/" + id, APIKey: "key-" + organisationName(0), Body: requestbody.Of([]byte(id)),
		Arrived: time.Now(), CallerTimeout: requestTimeout, ItemCounts: []int{2, 1}, ItemKey: id,
		Prompt: promptOf("first", fmt.Sprint("session-", er.random.IntN(20)), "own-"+id),
	}
	er.group.Go(func() {
		outcome := er.serve(context.Background(), nd, request)
		if nd.dead.Load() {
			return
		}
		er.mu.Lock()
		defer er.mu.Unlock()
		er.requests = append(er.requests, evacuationRequest{path: pipeline, sent: request.Arrived, ended: time.Now(), outcome: outcome})
	})
}

// sentBetween returns the ended requests that were sent in a time.
func (er *evacuationRun) sentBetween(from, until time.Time) []evacuationRequest {
	er.mu.Lock()
	defer er.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(er.requests), func(each evacuationRequest) bool { return each.sent.Before(from) || !each.sent.Before(until) })
}

// assertAnswered checks that nearly all requests of a time were answered; they must have ended.
func (er *evacuationRun) assertAnswered(t *testing.T, from, until time.Time) {
	t.Helper()
	answered, others := 0, map[string]int{}
	for _, each := range er.sentBetween(from, until) {
		if _, is := each.outcome.(gateway.Answered); is {
			answered++
			continue
		}
		others[fmt.Sprintf("%s %T %v", each.path, each.outcome, each.outcome)]++
	}
	t.Logf("%d answered, others: %v", answered, others)
	must.Positive(t, answered)
	for _, count := range others {
		must.LessEq(t, answered/50, count, must.Sprint("requests that were not answered: ", others))
	}
}

// awaitAll waits until all instances know which failure domains are evacuated, and returns how long that takes.
func (er *evacuationRun) awaitAll(t *testing.T, count int) time.Duration {
	t.Helper()
	began := time.Now()
	knows := func(nd *node) bool { return len(nd.entry.Catalog().Snapshot().EvacuatedDomains()) == count }
	for slices.ContainsFunc(er.fleet.live(), func(nd *node) bool { return !knows(nd) }) {
		must.LessEq(t, evacuateBound, time.Since(began), must.Sprint("all instances must know"))
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// evacuateAll evacuates failure domains and waits until all instances know of it.
func (er *evacuationRun) evacuateAll(t *testing.T, names ...string) []*evacuation {
	t.Helper()
	list := []*evacuation{}
	for _, name := range names {
		list = append(list, er.fleet.upstreams.evacuate(name))
	}
	took := er.awaitAll(t, len(names))
	t.Logf("all instances know of the evacuation after %v", took)
	er.fleet.upstreams.mu.Lock()
	defer er.fleet.upstreams.mu.Unlock()
	for _, each := range list {
		each.knownAt = time.Now()
	}
	return list
}

// withdrawAll withdraws evacuations, and checks that no call came too late until then and that the upstreams are used again.
func (er *evacuationRun) withdrawAll(t *testing.T, list []*evacuation) {
	t.Helper()
	us := er.fleet.upstreams
	before := time.Now()
	for _, each := range list {
		us.withdraw(each.domain)
	}
	er.assertNotLate(t, list)
	er.awaitAll(t, 0)
	time.Sleep(500 * time.Millisecond)
	for _, each := range list {
		must.Positive(t, us.callsTo(each.domain, before), must.Sprint("calls after the evacuation of ", each.domain))
	}
}

// assertNotLate checks that no call came too late.
func (er *evacuationRun) assertNotLate(t *testing.T, list []*evacuation) {
	t.Helper()
	er.fleet.upstreams.mu.Lock()
	defer er.fleet.upstreams.mu.Unlock()
	for _, each := range list {
		kinds := map[string]int{}
		for _, one := range each.calls {
			kinds[one.kind]++
		}
		t.Logf("calls to %s after the evacuation was acknowledged: %v", each.domain, kinds)
		must.SliceEmpty(t, each.late(), must.Sprint("late calls to ", each.domain))
	}
	must.SliceEmpty(t, er.fleet.upstreams.violations)
	er.soak.mu.Lock()
	defer er.soak.mu.Unlock()
	must.SliceEmpty(t, er.violations)
}

// callsTo returns the number of requests and items that upstreams of a failure domain received since a time.
func (us *upstreamSet) callsTo(domain string, since time.Time) int {
	us.mu.Lock()
	defer us.mu.Unlock()
	count := 0
	for _, at := range us.receivedIn[domain] {
		if at.After(since) {
			count++
		}
	}
	return count
}

// beginAt begins streams until one has begun at a version, and returns its id.
func (er *evacuationRun) beginAt(t *testing.T, version string) string {
	t.Helper()
	for number := range 100 {
		id, out := fmt.Sprint("begun-", number), &sink{}
		request := er.streamRequest(id)
		request.Prompt = promptOf(fmt.Sprint("session-", number), "own-"+id)
		er.fleet.live()[0].entry.Serve(httpRequest(request.Path), request, out)
		if strings.Contains(out.body.String(), "event: "+version) {
			return id
		}
	}
	must.Unreachable(t, must.Sprint("no stream began at ", version))
	return ""
}

// takeUp takes up a stream after its first event.
func (er *evacuationRun) takeUp(nd *node, begun string) gateway.Outcome {
	er.mu.Lock()
	er.number++
	request := er.streamRequest(fmt.Sprint("taken-", er.number))
	er.mu.Unlock()
	request.LastEventID, request.Resumes = "1", begun
	return nd.entry.Serve(httpRequest(request.Path), request, &sink{})
}

func (er *evacuationRun) streamRequest(id string) *gateway.Request {
	return &gateway.Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/stream/" + id, APIKey: "key-" + organisationName(0), Body: requestbody.Of([]byte(id)),
		Arrived: time.Now(), CallerTimeout: requestTimeout,
	}
}

func httpRequest(path string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://h"+path, nil)
	if err != nil {
		panic(err)
	}
	return request
}
