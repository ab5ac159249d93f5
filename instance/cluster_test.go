package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// cluster is a few instances on real sockets over emulated upstreams and platform.
type cluster struct {
	t         *testing.T
	platform  *emulator.Standin
	standins  map[string]*emulator.Standin
	mu        sync.Mutex
	members   []*running
	tls       *settings.Tls
	client    *http.Client
	scheme    string
	maxBody   int64
	noticeMs  int64
	watching  time.Duration
	readLimit int64
}

// running is one instance with its addresses.
type running struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan error
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := emulator.FreeAddress()
	must.NoError(t, err)
	return address
}

// withCluster runs a test on count instances that serve the demo's document.
func withCluster(t *testing.T, count int, prepare func(cl *cluster), test func(cl *cluster)) {
	t.Helper()
	cl := &cluster{
		t: t, standins: map[string]*emulator.Standin{}, client: &http.Client{}, scheme: "http", maxBody: 1 << 16, readLimit: 2000,
		noticeMs: 300, watching: 20 * time.Millisecond,
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

// documentTeams is the number of teams, and so of edits, of the demo's document.
const documentTeams = 3

// inForce counts the instances that the first one hears to have a revision in force.
func (cl *cluster) inForce(revision int64) int {
	revisions := map[string]int64{}
	must.NoError(cl.t, cl.operate(cl.members[0], http.MethodGet, "/v1/document/revisions", "fleet-key", nil, &revisions))
	count := 0
	for _, has := range revisions {
		if has >= revision {
			count++
		}
	}
	return count
}

func (cl *cluster) standin(name string, config *plan.Standin) *emulator.Standin {
	config.Address = "127.0.0.1:0"
	one := emulator.New(name, config)
	must.NoError(cl.t, one.Start())
	cl.standins[name] = one
	return one
}

// start adds an instance.
func (cl *cluster) start() *running {
	number := len(cl.members)
	seeds := []string{}
	for _, one := range cl.members {
		seeds = append(seeds, one.settings.GetInstance().GetPeerAddress())
	}
	one := &running{done: make(chan error, 1), settings: &settings.Settings{
		Instance: &settings.Instance{
			Id: fmt.Sprintf("entry-%d", number), FailureDomain: string(rune('a' + number%2)), NoticeMs: cl.noticeMs,
			CallerAddress: freeAddress(cl.t), OperatorAddress: freeAddress(cl.t), PeerAddress: freeAddress(cl.t),
		},
		Platform:  &settings.Platform{TableAddress: cl.platform.Address(), ListingAddress: cl.platform.Address(), CallTimeoutMs: 1000, PollIntervalMs: 500},
		Peers:     &settings.Peers{Seeds: seeds, HeartbeatMs: 200, SuspectAfterMs: 1000, DeadAfterMs: 1000, Partners: 4},
		Operators: &settings.Operators{KeyDigest: digest.OfKey("fleet-key").String()},
		Limits: &settings.Limits{
			MaxBodyBytes: cl.maxBody, MaxHeaderBytes: 8192, ReadTimeoutMs: cl.readLimit, IdleTimeoutMs: 60000,
			MaxWaiting: 1000, TimelineEvents: 4096,
		},
		Tls: cl.tls, Log: &settings.Log{Level: "error"},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	one.stop = cancel
	in := instance.New(one.settings, log.New(io.Discard))
	go func() {
		err := in.Run(ctx)
		if err != nil {
			cl.t.Logf("%s ended: %v", one.settings.GetInstance().GetId(), err)
		}
		one.done <- err
	}()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.members = append(cl.members, one)
	return one
}

// all returns the instances that were ever started.
func (cl *cluster) all() []*running {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]*running{}, cl.members...)
}

func (cl *cluster) close() {
	for _, one := range cl.members {
		one.stop()
	}
	for _, one := range cl.members {
		<-one.done
	}
	for _, one := range cl.standins {
		one.Stop()
	}
}

// eventually waits for a condition; the bound only ends a test that would never end.
func (cl *cluster) eventually(what string, holds func() bool) {
	cl.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cl.t.Fatalf("never: %s", what)
}

// ready returns the instances that a balancer would send requests to.
func (cl *cluster) ready() []*running {
	list := []*running{}
	for _, one := range cl.all() {
		response, err := cl.client.Get(cl.scheme + "://" + one.settings.GetInstance().GetOperatorAddress() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			list = append(list, one)
		}
	}
	return list
}

// putDocument starts the upstreams of the demo's document on free ports and has an operator put it.
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
		was := config.GetAddress()
		replacements = append(replacements, "Address = "+was+"\n", "Address = "+cl.standin(sc.Name, config).Address()+"\n")
	}
	for _, team := range []string{"platform", "models", "services"} {
		text, err := os.ReadFile(filepath.Join(folder, "document", team+".ini"))
		must.NoError(cl.t, err)
		result := cl.put(team, 0, strings.NewReplacer(replacements...).Replace(string(text)), "fleet-key")
		must.Eq(cl.t, "Accepted", result.Outcome, must.Sprintf("%v", result))
	}
}

func (cl *cluster) put(team string, expected int64, text, key string) operator.EditResult {
	result := operator.EditResult{}
	edit := operator.Edit{EditID: fmt.Sprintf("%s-%d", team, expected), Expected: expected, Text: text}
	cl.eventually("an instance takes the edit", func() bool {
		return cl.operate(cl.members[0], http.MethodPut, "/v1/document/teams/"+team, key, edit, &result) == nil
	})
	return result
}

func (cl *cluster) operate(one *running, method, path, key string, body, result any) error {
	encoded, err := json.Marshal(body)
	must.NoError(cl.t, err)
	request, err := http.NewRequest(method, cl.scheme+"://"+one.settings.GetInstance().GetOperatorAddress()+path, bytes.NewReader(encoded))
	must.NoError(cl.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := cl.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

// post sends a caller's body as it is and returns the status and the answer.
func (cl *cluster) post(one *running, pipeline, key, body string) (int, caller.AnswerBody, error) {
	got := caller.AnswerBody{}
	request, err := http.NewRequest(http.MethodPost, cl.scheme+"://"+one.settings.GetInstance().GetCallerAddress()+"/v1/pipelines/"+pipeline, strings.NewReader(body))
	must.NoError(cl.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := cl.client.Do(request)
	if err != nil {
		return 0, got, err
	}
	defer response.Body.Close()
	return response.StatusCode, got, json.NewDecoder(response.Body).Decode(&got)
}

// balancer sends requests to ready instances only, as it last saw them.
type balancer struct {
	cl    *cluster
	mu    sync.Mutex
	ready []*running
	next  int
	fails []string
	whole int
}

// watch looks at readiness until ctx ends.
func (bl *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		list := bl.cl.ready()
		bl.mu.Lock()
		bl.ready = list
		bl.mu.Unlock()
		time.Sleep(bl.cl.watching)
	}
}

// send makes one request and books how it ended.
func (bl *balancer) send() {
	bl.mu.Lock()
	if len(bl.ready) == 0 {
		bl.mu.Unlock()
		return
	}
	bl.next++
	number, to := bl.next, bl.ready[bl.next%len(bl.ready)]
	bl.mu.Unlock()
	pipeline, body := "draft-commission", fmt.Sprintf(`{"Rank":"Urgent","Input":"dial %d","Stream":false}`, number)
	if number%3 == 0 {
		pipeline, body = "record-deposit", fmt.Sprintf(`{"Rank":"Urgent","IdempotencyKey":"k%d","Input":{"N":%d}}`, number, number)
	}
	status, got, err := bl.cl.post(to, pipeline, "kumasi-guild-key", body)
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if err != nil || status != http.StatusOK {
		bl.fails = append(bl.fails, fmt.Sprintf("%s %s: %d %v %+v", to.settings.GetInstance().GetId(), pipeline, status, err, got.Error))
		return
	}
	bl.whole++
}
