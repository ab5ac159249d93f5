package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/emulator"
	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/instance"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/schema/settings"
)

// cluster runs instances on real sockets against emulated upstreams and an emulated platform.
type cluster struct {
	t             *testing.T
	platform      *emulator.Standin
	standins      map[string]*emulator.Standin
	mu            sync.Mutex
	members       []*running
	tls           *settings.Tls
	client        *http.Client
	scheme        string
	maxBodyBytes  int64
	noticeMs      int64
	checkInterval time.Duration
	readTimeoutMs int64
	// seeds are addresses to which all instances send heartbeats besides those of the earlier members.
	seeds []string
}

// running is one started instance: its settings, its stop function and the channel with the result of Run.
type running struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan error
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := emulator.FreeAddress()
	must.NoError(t, err)
	return address
}

// withCluster runs a test on a cluster of count instances that serve the demo's document. prepare may change the
// cluster's settings before it starts.
func withCluster(t *testing.T, count int, prepare func(cl *cluster), test func(cl *cluster)) {
	t.Helper()
	cl := &cluster{
		t: t, standins: map[string]*emulator.Standin{}, client: &http.Client{}, scheme: "http", maxBodyBytes: 1 << 16, readTimeoutMs: 2000,
		noticeMs: 300, checkInterval: 20 * time.Millisecond,
	}
	prepare(cl)
	cl.platform = cl.standin("platform", &plan.Standin{Kind: "Platform"})
	for range count {
		cl.start()
	}
	defer cl.close()
	cl.putDocument()
	cl.eventually("all instances are ready", func() bool { return len(cl.ready()) == count })
	cl.eventually("all instances have the whole document", func() bool { return cl.inForce(documentTeams) == count })
	test(cl)
}

// documentTeams is the number of teams in the demo's document. Each team's text is put in one edit, so it is
// also the final revision.
const documentTeams = 3

// inForce returns the number of instances that have at least the revision in force, as the first instance
// reports it.
func (cl *cluster) inForce(revision int64) int {
	revisions := map[string]int64{}
	must.NoError(cl.t, cl.operate(cl.members[0], http.MethodGet, "/v1/document/revisions", "fleet-key", nil, &revisions))
	count := 0
	for _, reported := range revisions {
		if reported >= revision {
			count++
		}
	}
	return count
}

// standin starts an emulated upstream or platform on a free port.
func (cl *cluster) standin(name string, config *plan.Standin) *emulator.Standin {
	config.Address = "127.0.0.1:0"
	started := emulator.New(name, config)
	must.NoError(cl.t, started.Start())
	cl.standins[name] = started
	return started
}

// start adds an instance whose seeds are the earlier members and the cluster's seeds.
func (cl *cluster) start() *running {
	number := len(cl.members)
	seeds := append([]string{}, cl.seeds...)
	for _, member := range cl.members {
		seeds = append(seeds, member.settings.GetInstance().GetPeerAddress())
	}
	member := &running{done: make(chan error, 1), settings: &settings.Settings{
		Instance: &settings.Instance{
			Id: fmt.Sprintf("entry-%d", number), FailureDomain: string(rune('a' + number%2)), NoticeMs: cl.noticeMs,
			CallerAddress: freeAddress(cl.t), OperatorAddress: freeAddress(cl.t), PeerAddress: freeAddress(cl.t),
		},
		Platform:  &settings.Platform{TableAddress: cl.platform.Address(), ListingAddress: cl.platform.Address(), CallTimeoutMs: 1000, PollIntervalMs: 500},
		Peers:     &settings.Peers{Seeds: seeds, HeartbeatMs: 200, SuspectAfterMs: 1000, DeadAfterMs: 1000, Partners: 4},
		Operators: &settings.Operators{KeyDigest: digest.OfKey("fleet-key").String()},
		Limits: &settings.Limits{
			MaxBodyBytes: cl.maxBodyBytes, MaxHeaderBytes: 8192, ReadTimeoutMs: cl.readTimeoutMs, IdleTimeoutMs: 60000,
			MaxWaiting: 1000, TimelineEvents: 4096,
		},
		Tls: cl.tls, Log: &settings.Log{Level: "error"},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	member.stop = cancel
	in := instance.New(member.settings, log.New(io.Discard))
	go func() {
		err := in.Run(ctx)
		if err != nil {
			cl.t.Logf("%s ended: %v", member.settings.GetInstance().GetId(), err)
		}
		member.done <- err
	}()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.members = append(cl.members, member)
	return member
}

// all returns every instance that was started, including stopped ones.
func (cl *cluster) all() []*running {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]*running{}, cl.members...)
}

func (cl *cluster) close() {
	for _, member := range cl.members {
		member.stop()
	}
	for _, member := range cl.members {
		<-member.done
	}
	for _, standin := range cl.standins {
		standin.Stop()
	}
}

// eventually polls until a condition holds and fails the test after about 30 seconds.
func (cl *cluster) eventually(what string, holds func() bool) {
	cl.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cl.t.Fatalf("condition not met in time: %s", what)
}

// ready returns the instances whose readiness check succeeds.
func (cl *cluster) ready() []*running {
	list := []*running{}
	for _, member := range cl.all() {
		response, err := cl.client.Get(cl.scheme + "://" + member.settings.GetInstance().GetOperatorAddress() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			list = append(list, member)
		}
	}
	return list
}

// putDocument starts the upstreams of the demo's document on free ports and puts the document with their addresses.
func (cl *cluster) putDocument() {
	folder := filepath.Join("..", "examples", "demo")
	standins, err := os.ReadFile(filepath.Join(folder, "standins.ini"))
	must.NoError(cl.t, err)
	sections, _ := inifile.Parse("standins.ini", string(standins))
	replacements := []string{}
	for _, sc := range sections {
		config := &plan.Standin{}
		must.SliceEmpty(cl.t, sc.Bind("standins.ini", config))
		if config.GetKind() == "Platform" {
			continue
		}
		original := config.GetAddress()
		replacements = append(replacements, "Address = "+original+"\n", "Address = "+cl.standin(sc.Name, config).Address()+"\n")
	}
	for _, team := range []string{"platform", "models", "services"} {
		text, err := os.ReadFile(filepath.Join(folder, "document", team+".ini"))
		must.NoError(cl.t, err)
		result := cl.put(team, 0, strings.NewReplacer(replacements...).Replace(string(text)), "fleet-key")
		must.Eq(cl.t, "Accepted", result.Outcome, must.Sprintf("%v", result))
	}
}

// put edits a team's text through the first instance and returns the result.
func (cl *cluster) put(team string, expected int64, text, key string) operator.EditResult {
	result := operator.EditResult{}
	edit := operator.Edit{EditID: fmt.Sprintf("%s-%d", team, expected), Expected: expected, Text: text}
	cl.eventually("an instance accepts the edit", func() bool {
		return cl.operate(cl.members[0], http.MethodPut, "/v1/document/teams/"+team, key, edit, &result) == nil
	})
	return result
}

// operate sends an operator's request to an instance and decodes the JSON reply into result.
func (cl *cluster) operate(member *running, method, path, key string, body, result any) error {
	encoded, err := json.Marshal(body)
	must.NoError(cl.t, err)
	request, err := http.NewRequest(method, cl.scheme+"://"+member.settings.GetInstance().GetOperatorAddress()+path, bytes.NewReader(encoded))
	must.NoError(cl.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := cl.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

// post sends a caller's request with the given body and returns the status and the answer.
func (cl *cluster) post(member *running, pipeline, key, body string) (int, caller.AnswerBody, error) {
	return cl.postTraced(context.Background(), member, pipeline, key, body)
}

// postTraced is post with a context, which may hold a trace of the connection.
func (cl *cluster) postTraced(ctx context.Context, member *running, pipeline, key, body string) (int, caller.AnswerBody, error) {
	got := caller.AnswerBody{}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.scheme+"://"+member.settings.GetInstance().GetCallerAddress()+"/v1/pipelines/"+pipeline, strings.NewReader(body))
	must.NoError(cl.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := cl.client.Do(request)
	if err != nil {
		return 0, got, err
	}
	defer response.Body.Close()
	return response.StatusCode, got, json.NewDecoder(response.Body).Decode(&got)
}

// balancer sends requests in turn to the instances that were ready at its last check.
type balancer struct {
	cl        *cluster
	mu        sync.Mutex
	ready     []*running
	checkedAt time.Time
	next      int
	failures  []failure
	succeeded int
}

// failure is a request that was not answered. age is how old the balancer's check was when it was connected, or failed to connect.
type failure struct {
	text string
	age  time.Duration
}

// failuresWithin returns the failures of requests that were sent while the balancer's check was at most so old.
func (bl *balancer) failuresWithin(age time.Duration) []failure {
	return slices.DeleteFunc(slices.Clone(bl.failures), func(one failure) bool { return one.age > age })
}

// notice is how long an instance that stops serves after it is no longer ready.
func (cl *cluster) notice() time.Duration { return time.Duration(cl.noticeMs) * time.Millisecond }

// watch checks the readiness of all instances at intervals until ctx ends.
func (bl *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		list := bl.cl.ready()
		bl.mu.Lock()
		bl.ready, bl.checkedAt = list, began
		bl.mu.Unlock()
		time.Sleep(bl.cl.checkInterval)
	}
}

// send makes one request and records whether it succeeded.
func (bl *balancer) send() {
	bl.mu.Lock()
	if len(bl.ready) == 0 {
		bl.mu.Unlock()
		return
	}
	bl.next++
	number, target, checkedAt := bl.next, bl.ready[bl.next%len(bl.ready)], bl.checkedAt
	bl.mu.Unlock()
	pipeline, body := "draft-commission", fmt.Sprintf(`{"Rank":"Urgent","Input":"dial %d","Stream":false}`, number)
	if number%3 == 0 {
		pipeline, body = "record-deposit", fmt.Sprintf(`{"Rank":"Urgent","IdempotencyKey":"k%d","Input":{"N":%d}}`, number, number)
	}
	// Connections are made in the background.
	age := atomic.Int64{}
	recordAge := func() { age.Store(int64(time.Since(checkedAt))) }
	recordAge()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		ConnectDone: func(string, string, error) { recordAge() },
		GotConn:     func(httptrace.GotConnInfo) { recordAge() },
	})
	status, got, err := bl.cl.postTraced(ctx, target, pipeline, "kumasi-guild-key", body)
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if err != nil || status != http.StatusOK {
		text := fmt.Sprintf("%s %s: %d %v %+v", target.settings.GetInstance().GetId(), pipeline, status, err, got.Error)
		bl.failures = append(bl.failures, failure{text: text, age: time.Duration(age.Load())})
		return
	}
	bl.succeeded++
}
