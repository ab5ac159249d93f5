package soak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/emulator"
	"github.com/turmericdoor/turmericdoor/platform/standin"
)

var (
	firstSeed = flag.Uint64("seed", 1, "seed of the first run")
	seedCount = flag.Int("seeds", 1, "number of runs")
	runTime   = flag.Duration("time", 8*time.Second, "length of a run")
)

// instances is how many processes a run has.
const instances = 4

// fleet is the processes with their surroundings.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	binary  string
	folder  string
	store   *standin.Store
	proxies []*proxy
	ledger  *ledger
	fronts  []string
	config  []string

	mu        sync.Mutex
	processes []*exec.Cmd
	version   int
}

const services = `"services":[{"name":"model","engine":{"slot_count":64,"kv_capacity_tokens":100000}},{"name":"plain"},
{"name":"stage","pieces":{"slot_count":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,"headroom_mb":36,"handle_s":4}}],
"tenants":[{"name":"guild","api_keys":["k"]}],"limits":{"max_body_bytes":100000,"idle_timeout_ms":30000}}`

const routes = `"routes":[{"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":5000,"target_latency_ms":2000,"service":"model",
"max_attempts":1,"stages":[{"service":"stage","after":[],"bytes":3000000}]},
{"name":"post","host":"h","prefix":"/post/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1},
{"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2}],`

// freePorts returns addresses that nothing listens on.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	list := []string{}
	for range count {
		address, err := emulator.FreeAddress()
		must.NoError(t, err)
		list = append(list, address)
	}
	return list
}

func newFleet(t *testing.T, seed uint64, binary string) *fleet {
	t.Helper()
	fl := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), binary: binary, folder: t.TempDir(),
		store:  standin.New(),
		ledger: &ledger{runs: map[string]int{}, promised: map[string]int{}},
	}
	server := httptest.NewServer(fl.store)
	t.Cleanup(server.Close)
	for _, pool := range []string{"model", "plain", "stage"} {
		for at := range 3 {
			up := newUpstream(t, fmt.Sprintf("%s-%d", pool, at), fl.ledger)
			px := newProxy(t, strings.TrimPrefix(up.URL, "http://"))
			fl.proxies = append(fl.proxies, px)
			fl.store.Put("servers", up.id, fmt.Sprintf(
				`{"service":%q,"address":%q,"zone":"z%d","version":"v","slot_count":8,"state":"ready","cold_left_ms":0,"sequence":1}`, pool, px.address(), at%2))
		}
	}
	fl.change()
	free := freePorts(t, 4*instances)
	control := free[3*instances:]
	for at := range instances {
		px := newProxy(t, strings.TrimPrefix(server.URL, "http://"))
		fl.proxies = append(fl.proxies, px)
		ports := free[3*at : 3*at+3]
		fl.fronts = append(fl.fronts, ports[0])
		fl.settings(at, ports, control, px.address())
		fl.processes = append(fl.processes, nil)
		fl.start(at)
	}
	t.Cleanup(fl.end)
	return fl
}

func (fl *fleet) settings(at int, ports, control []string, storeAddress string) {
	// Metrics are served one port above the first inner one.
	_, metrics, _ := net.SplitHostPort(ports[2])
	port, err := strconv.Atoi(metrics)
	must.NoError(fl.t, err)
	content := fmt.Sprintf(`{"node_name":"i%d","zone":"z%d","ip":"127.0.0.1","listen":{"front":%q,"ready":%q,"control":%q},"inner_ports":[%d,65535],
"seeds":[%q,%q],"limits":{"memory_mb":200},"bounds":{"grace_s":4,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":50},
"platform":{"address":%q}}`, at, at%2, ports[0], ports[1], control[at], port-1, control[0], control[1], storeAddress)
	path := filepath.Join(fl.folder, fmt.Sprintf("i%d.json", at))
	must.NoError(fl.t, os.WriteFile(path, []byte(content), 0o600))
	fl.config = append(fl.config, path)
}

// change writes a newer configuration; a request on its own route shows that it is in force.
func (fl *fleet) change() {
	fl.mu.Lock()
	fl.version++
	version := fl.version
	fl.mu.Unlock()
	fl.store.Put("op", "config", fmt.Sprintf(`{"version":%d,%s%s`, version, routes, services))
}

func (fl *fleet) start(at int) {
	log, err := os.OpenFile(fl.config[at]+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(fl.t, err)
	defer log.Close()
	command := exec.Command(fl.binary, "front", "--settings", fl.config[at])
	command.Stdout, command.Stderr = log, log
	must.NoError(fl.t, command.Start())
	fl.mu.Lock()
	fl.processes[at] = command
	fl.mu.Unlock()
}

func (fl *fleet) process(at int) *exec.Cmd {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.processes[at]
}

// end kills the processes that the soak started.
func (fl *fleet) end() {
	for at := range fl.processes {
		command := fl.process(at)
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// fault does something to a process or a proxy and heals it after a while.
func (fl *fleet) fault(ctx context.Context) {
	at := fl.random.IntN(instances)
	px := fl.proxies[fl.random.IntN(len(fl.proxies))]
	length := time.Duration(100+fl.random.IntN(1500)) * time.Millisecond
	switch fl.random.IntN(9) {
	case 0:
		fl.replace(at, syscall.SIGKILL)
	case 1:
		fl.replace(at, syscall.SIGTERM)
	case 2:
		_ = fl.process(at).Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { _ = fl.process(at).Process.Signal(syscall.SIGCONT) })
	case 3:
		_ = fl.process(at).Process.Signal(syscall.SIGHUP)
	case 4:
		px.delay.Store(int64(length) / 10)
	case 5:
		px.silent.Store(true)
	case 6:
		px.deaf.Store(true)
	case 7:
		px.refuse.Store(true)
		px.reset()
	case 8:
		fl.change()
	}
	time.AfterFunc(length, px.heal)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(fl.random.IntN(400)) * time.Millisecond):
	}
}

// replace ends a process by a signal and starts it again.
func (fl *fleet) replace(at int, signal syscall.Signal) {
	command := fl.process(at)
	_ = command.Process.Signal(signal)
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Wait()
	fl.start(at)
}

// caller sends requests over kept connections until ctx ends.
func (fl *fleet) caller(ctx context.Context, number int, counts *sync.Map) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for at := 0; ctx.Err() == nil; at++ {
		id := fmt.Sprintf("c%d-%d", number, at)
		kind := []string{"draft", "post", "look"}[at%3]
		status := fl.ask(client, id, kind, fl.fronts[(number+at/20)%instances])
		count, _ := counts.LoadOrStore(status, new(int))
		fl.mu.Lock()
		*count.(*int)++
		fl.mu.Unlock()
	}
}

// ask sends one request and checks its answer; it returns the status, or 0 without an answer.
func (fl *fleet) ask(client *http.Client, id, kind, front string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/"+kind+"/1", io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		fl.ledger.breach("request: %v", err)
		return 0
	}
	request.Host = "h"
	for name, value := range map[string]string{
		"Turmericdoor-Attempt-Id": id, "Turmericdoor-Deadline-Ms": "5000", "Authorization": "Token k",
		"Turmericdoor-Pieces": "2", "Turmericdoor-Piece-Key": "k-" + id,
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		if err == nil && (strings.Count(string(body), "data: "+id+"\n") != 4 || response.Header.Get("Turmericdoor-Response-Seal") == "") {
			fl.ledger.breach("request %s got %.80q", id, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		fl.ledger.told(id, response.StatusCode, kind == "post")
		time.Sleep(10 * time.Millisecond)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden:
		fl.ledger.breach("request %s got %d", id, response.StatusCode)
	}
	return response.StatusCode
}

// shownBreaches is how many breaches are printed.
const shownBreaches = 5

func play(t *testing.T, seed uint64, binary string) {
	fl := newFleet(t, seed, binary)
	ctx, cancel := context.WithTimeout(context.Background(), *runTime)
	defer cancel()
	counts, callers := &sync.Map{}, sync.WaitGroup{}
	for number := range 12 {
		callers.Go(func() { fl.caller(ctx, number, counts) })
	}
	time.Sleep(time.Second)
	for ctx.Err() == nil {
		fl.fault(ctx)
	}
	callers.Wait()
	told := map[string]int{}
	counts.Range(func(status, count any) bool { told[fmt.Sprint(status)] = *count.(*int); return true })
	summary, _ := json.Marshal(told)
	fl.ledger.mu.Lock()
	defer fl.ledger.mu.Unlock()
	t.Logf("seed %d: answers by status %s, %d runs", seed, summary, len(fl.ledger.runs))
	first := fl.ledger.breaches[:min(len(fl.ledger.breaches), shownBreaches)]
	must.SliceEmpty(t, first, must.Sprintf("seed %d: %d breaches, the first: %s", seed, len(fl.ledger.breaches), strings.Join(first, "; ")))
	must.Positive(t, told["200"], must.Sprint("nothing was answered"))
}

func TestFaultSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "turmericdoor")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/turmericdoor").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for at := range *seedCount {
		seed := *firstSeed + uint64(at)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, seed, binary) })
	}
}
