package propertytest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/instancecore"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/schema/settings"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// node is one entry instance of a fleet.
type node struct {
	fleet            *fleet
	id               string
	domain           string
	core             *instancecore.Core
	callers          http.Handler
	operators        http.Handler
	random           *entropy.Source
	lifetime         context.Context
	end              context.CancelFunc
	dead             atomic.Bool
	frozen           atomic.Pointer[chan struct{}]
	wasFrozen        atomic.Bool
	cutFromPlatform  atomic.Bool
	cutFromUpstreams atomic.Bool
}

// waitWhileFrozen returns when the node is not frozen.
func (nd *node) waitWhileFrozen() {
	if thawed := nd.frozen.Load(); thawed != nil {
		<-*thawed
	}
}

// awaitThaw waits until the node is not frozen and reports whether that is before ctx ends.
func (nd *node) awaitThaw(ctx context.Context) bool {
	thawed := nd.frozen.Load()
	if thawed == nil {
		return true
	}
	select {
	case <-*thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (nd *node) freeze() {
	thawed := make(chan struct{})
	nd.frozen.Store(&thawed)
	nd.wasFrozen.Store(true)
}

func (nd *node) thaw() {
	if thawed := nd.frozen.Swap(nil); thawed != nil {
		close(*thawed)
	}
}

// fleet holds entry instances in several failure domains, with one fake platform and fake upstreams.
type fleet struct {
	t         *testing.T
	random    *entropy.Source
	table     *fakeTable
	listing   *fakeListing
	upstreams *fakeUpstreams
	byName    map[string]*fakeUpstream
	mu        sync.Mutex
	nodes     []*node
	started   int
	// blocked holds the pairs of failure domains, from and to, between which all messages are lost.
	blocked map[[2]string]bool
	// loss is the probability in percent that a message between instances is lost.
	loss int
	// stale is the probability in percent that a peer gets an old document.
	stale     int
	documents []*wire.DocumentText
	traffic   traffic
}

const fleetKey = "fleet-key"

// withFleet runs a test in fake time with count instances that all use the document.
func withFleet(t *testing.T, seed uint64, count int, test func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, seed)
		defer fl.close()
		for range count {
			fl.startNode()
		}
		fl.putDocument()
		fl.eventually(20*time.Second, "all instances have the document", func() bool { return fl.lowestRevision() >= 1 })
		time.Sleep(2 * time.Second)
		test(fl)
	})
}

func newFleet(t *testing.T, seed uint64) *fleet {
	random := entropy.New(seed)
	fl := &fleet{
		t: t, random: random, table: newFakeTable(), listing: &fakeListing{},
		upstreams: &fakeUpstreams{byAddress: map[string]*fakeUpstream{}},
		byName:    map[string]*fakeUpstream{}, blocked: map[[2]string]bool{},
	}
	return fl
}

// close kills every node, so that no goroutine outlives the test.
func (fl *fleet) close() {
	for _, nd := range fl.all() {
		nd.thaw()
	}
	for _, nd := range fl.all() {
		nd.kill()
	}
}

func (fl *fleet) all() []*node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]*node{}, fl.nodes...)
}

// live returns the nodes that are neither dead nor frozen.
func (fl *fleet) live() []*node {
	list := []*node{}
	for _, nd := range fl.all() {
		if !nd.dead.Load() && nd.frozen.Load() == nil {
			list = append(list, nd)
		}
	}
	return list
}

func (fl *fleet) lowestRevision() int64 {
	lowest := int64(1 << 62)
	for _, nd := range fl.live() {
		lowest = min(lowest, nd.core.Revision())
	}
	return lowest
}

func (fl *fleet) newestRevision() int64 {
	newest := int64(0)
	for _, nd := range fl.live() {
		newest = max(newest, nd.core.Revision())
	}
	return newest
}

// eventually waits in fake time until the condition holds and fails the test if that takes longer than within.
func (fl *fleet) eventually(within time.Duration, what string, holds func() bool) time.Duration {
	fl.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > within {
			fl.t.Fatalf("condition not met within %v: %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

var domains = []string{"a", "b", "c"}

// startNode starts another instance; instances are assigned to the failure domains in rotation.
func (fl *fleet) startNode() *node {
	fl.mu.Lock()
	number := fl.started
	fl.started++
	fl.mu.Unlock()
	nd := &node{fleet: fl, id: fmt.Sprintf("n%d", number), domain: domains[number%len(domains)]}
	nd.random = fl.random.Fork("fakes of " + nd.id)
	nd.lifetime, nd.end = context.WithCancel(context.Background())
	seeds := []string{}
	for at := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", at))
	}
	config := &settings.Settings{
		Instance:  &settings.Instance{Id: nd.id, FailureDomain: nd.domain, PeerAddress: fmt.Sprintf("10.0.0.%d:1", number)},
		Platform:  &settings.Platform{CallTimeoutMs: 1500, PollIntervalMs: 5000},
		Peers:     &settings.Peers{Seeds: seeds, HeartbeatMs: 1000, SuspectAfterMs: 3000, DeadAfterMs: 5000, Partners: 4},
		Operators: &settings.Operators{KeyDigest: digest.OfKey(fleetKey).String()},
		Limits:    &settings.Limits{MaxBodyBytes: 1 << 20, MaxWaiting: 1000, TimelineEvents: 256},
	}
	link := upstreamLink{all: fl.upstreams, node: nd}
	nd.core = instancecore.New(instancecore.Parts{
		Settings: config, Timers: timer.New(), Random: fl.random.Fork(nd.id), Store: tableLink{table: fl.table, node: nd},
		InstanceLister: fl.listing, UpstreamClient: link, EngineClient: link, Prober: link, Dialer: fl.dialer(nd),
	})
	nd.callers, nd.operators = nd.core.CallerHandler(), nd.core.OperatorHandler()
	fl.mu.Lock()
	fl.nodes = append(fl.nodes, nd)
	fl.mu.Unlock()
	nd.core.Start()
	return nd
}

// kill ends a node at once: its calls in flight are cut off, and nothing that it still does has an effect.
func (nd *node) kill() {
	if nd.dead.Swap(true) {
		return
	}
	nd.end()
	nd.core.Kill()
}

// addPool writes the sections of a pool and creates its upstreams, assigned to the failure domains in rotation.
func (fl *fleet) addPool(text *strings.Builder, name string, kind document.Kind, count, slots int, serviceTime time.Duration, extra string) {
	fmt.Fprintf(text, "[Pool %s]\nKind = %s\nStageMs = %d\n%s\n", name, kind, max(serviceTime.Milliseconds(), 1), extra)
	for at := range count {
		upName, address := fmt.Sprintf("%s-%d", name, at), fmt.Sprintf("10.1.%d.%d:1", len(fl.upstreams.byAddress)/200, len(fl.upstreams.byAddress)%200)
		fmt.Fprintf(text, "[Upstream %s]\nPool = %s\nAddress = %s\nFailureDomain = %s\nSlots = %d\n", upName, name, address, domains[at%len(domains)], slots)
		up := &fakeUpstream{
			name: upName, domain: domains[at%len(domains)], kind: kind, serviceTime: serviceTime, brokenStreams: map[string]bool{}, executions: map[string]int{},
			crashesByContent: map[string]int{},
			running:          map[*upstream.Call]chan struct{}{}, checksFence: at%2 == 0, restartDelay: 10 * time.Second,
		}
		if kind == document.Engine {
			fmt.Fprintf(text, "Model = base\nChecksFence = %t\n", up.checksFence)
		}
		fl.upstreams.byAddress[address] = up
		fl.byName[upName] = up
	}
}

// keyOf returns the key of an organisation.
func keyOf(organisation string) string {
	return organisation + "-key"
}

var organisations = []string{"guild", "museum", "school"}

// documentTexts creates the upstreams and returns the teams' texts.
func (fl *fleet) documentTexts() []document.TeamText {
	models := &strings.Builder{}
	models.WriteString("[Team models]\nKeyDigests = " + digest.OfKey("models-key").String() + "\n")
	fl.addPool(models, "encoders", document.Encoder, 3, 8, 4*time.Millisecond, "HedgeAfterMs = 40\n")
	fl.addPool(models, "retrievers", document.Retriever, 3, 8, 8*time.Millisecond, "HedgeAfterMs = 60\n")
	fl.addPool(models, "rerankers", document.Reranker, 3, 8, 10*time.Millisecond, "")
	fl.addPool(models, "engines", document.Engine, 6, 8, 100*time.Millisecond, "RetryPercent = 50\n")
	fl.addPool(models, "ledger", document.Service, 3, 8, 10*time.Millisecond, "Path = /deposit\n")
	models.WriteString("[Stage encode]\nPool = encoders\n[Stage retrieve]\nPool = retrievers\nCandidates = 6\n" +
		"[Stage rerank]\nPool = rerankers\nCandidates = 3\n[Stage generate]\nPool = engines\nMaxTokens = 12\n" +
		"[Stage deposit]\nPool = ledger\n[Pipeline draft]\nStages = encode, retrieve, rerank, generate\n" +
		"[Pipeline deposit]\nStages = deposit\nIdempotent = false\n")
	base := &strings.Builder{}
	base.WriteString("[Team base]\n[Rank Urgent]\nPrecedence = 0\nDeadlineMs = 4000\n[Rank Background]\nPrecedence = 1\nDeadlineMs = 60000\nFloorPercent = 5\n")
	for _, name := range organisations {
		fmt.Fprintf(base, "[Organisation %s]\nKeyDigests = %s\n", name, digest.OfKey(keyOf(name)))
	}
	return []document.TeamText{{Team: "base", Text: base.String()}, {Team: "models", Text: models.String()}}
}

// putDocument stores every team's text through the operator API.
func (fl *fleet) putDocument() {
	for _, team := range fl.documentTexts() {
		result := fl.putTeam(fl.live()[0], team.Team, 0, team.Text, "first-"+team.Team)
		must.Eq(fl.t, "Accepted", result.Outcome)
	}
}

// putTeam sends an operator's edit to a node.
func (fl *fleet) putTeam(nd *node, team string, expected int64, text, editID string) operator.EditResult {
	result := operator.EditResult{}
	fl.callOperatorAPI(nd, http.MethodPut, "/v1/document/teams/"+team, operator.Edit{EditID: editID, Expected: expected, Text: text}, &result)
	return result
}

// callOperatorAPI sends an operator's request to a node and decodes the response into result.
func (fl *fleet) callOperatorAPI(nd *node, method, path string, body, result any) {
	encoded, _ := json.Marshal(body)
	request := httptest.NewRequestWithContext(nd.lifetime, method, path, strings.NewReader(string(encoded)))
	request.Header.Set("Authorization", "Bearer "+fleetKey)
	recorder := httptest.NewRecorder()
	nd.operators.ServeHTTP(recorder, request)
	_ = json.Unmarshal(recorder.Body.Bytes(), result)
}
