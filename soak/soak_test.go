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

// instances is the number of processes in a run.
const instances = 4

// fleet holds the instances of a run, their stand-in platform, and the proxies before the upstreams and the platform.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	binary  string
	folder  string
	store   *standin.Store
	proxies []*proxy
	ledger  *ledger
	// addresses are the addresses for callers, settings the settings files, by instance.
	addresses []string
	settings  []string

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

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(t *testing.T, count int) []string {
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
		ledger: &ledger{runs: map[string]int{}, notRun: map[string]int{}},
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
	fl.putConfiguration()
	free := freeAddresses(t, 4*instances)
	control := free[3*instances:]
	for at := range instances {
		px := newProxy(t, strings.TrimPrefix(server.URL, "http://"))
		fl.proxies = append(fl.proxies, px)
		ports := free[3*at : 3*at+3]
		fl.addresses = append(fl.addresses, ports[0])
		fl.writeSettings(at, ports, control, px.address())
		fl.processes = append(fl.processes, nil)
		fl.start(at)
	}
	t.Cleanup(fl.killAll)
	return fl
}

// writeSettings writes the settings file of an instance.
func (fl *fleet) writeSettings(at int, ports, control []string, storeAddress string) {
	// The metrics port is the first inner port plus one.
	_, metrics, _ := net.SplitHostPort(ports[2])
	port, err := strconv.Atoi(metrics)
	must.NoError(fl.t, err)
	content := fmt.Sprintf(`{"node_name":"i%d","zone":"z%d","ip":"127.0.0.1","listen":{"front":%q,"ready":%q,"control":%q},"inner_ports":[%d,65535],
"seeds":[%q,%q],"limits":{"memory_mb":200},"bounds":{"grace_s":4,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":50},
"platform":{"address":%q}}`, at, at%2, ports[0], ports[1], control[at], port-1, control[0], control[1], storeAddress)
	path := filepath.Join(fl.folder, fmt.Sprintf("i%d.json", at))
	must.NoError(fl.t, os.WriteFile(path, []byte(content), 0o600))
	fl.settings = append(fl.settings, path)
}

// putConfiguration writes the configuration to the platform under the next version.
func (fl *fleet) putConfiguration() {
	fl.mu.Lock()
	fl.version++
	version := fl.version
	fl.mu.Unlock()
	fl.store.Put("op", "config", fmt.Sprintf(`{"version":%d,%s%s`, version, routes, services))
}

func (fl *fleet) start(at int) {
	log, err := os.OpenFile(fl.settings[at]+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(fl.t, err)
	defer log.Close()
	command := exec.Command(fl.binary, "front", "--settings", fl.settings[at])
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

// killAll kills all instances, also stopped ones.
func (fl *fleet) killAll() {
	for at := range fl.processes {
		command := fl.process(at)
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// injectFault injects a random fault into an instance or a proxy, schedules its end and waits for a random time.
func (fl *fleet) injectFault(ctx context.Context) {
	at := fl.random.IntN(instances)
	px := fl.proxies[fl.random.IntN(len(fl.proxies))]
	length := time.Duration(100+fl.random.IntN(1500)) * time.Millisecond
	switch fl.random.IntN(9) {
	case 0:
		fl.restart(at, syscall.SIGKILL)
	case 1:
		fl.restart(at, syscall.SIGTERM)
	case 2:
		_ = fl.process(at).Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { _ = fl.process(at).Process.Signal(syscall.SIGCONT) })
	case 3:
		_ = fl.process(at).Process.Signal(syscall.SIGHUP)
	case 4:
		px.delay.Store(int64(length) / 10)
	case 5:
		px.dropResponses.Store(true)
	case 6:
		px.dropRequests.Store(true)
	case 7:
		px.refuse.Store(true)
		px.reset()
	case 8:
		fl.putConfiguration()
	}
	time.AfterFunc(length, px.heal)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(fl.random.IntN(400)) * time.Millisecond):
	}
}

// restart ends an instance with a signal, waits for its end and starts it again.
func (fl *fleet) restart(at int, signal syscall.Signal) {
	command := fl.process(at)
	_ = command.Process.Signal(signal)
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Wait()
	fl.start(at)
}

// sendRequests sends requests over persistent connections until ctx ends and counts the answers by status.
func (fl *fleet) sendRequests(ctx context.Context, number int, counts *sync.Map) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for at := 0; ctx.Err() == nil; at++ {
		id := fmt.Sprintf("c%d-%d", number, at)
		kind := []string{"draft", "post", "look"}[at%3]
		status := fl.send(client, id, kind, fl.addresses[(number+at/20)%instances])
		count, _ := counts.LoadOrStore(status, new(int))
		fl.mu.Lock()
		*count.(*int)++
		fl.mu.Unlock()
	}
}

// send sends one request and checks its answer; it returns the status, or 0 if there was no answer.
func (fl *fleet) send(client *http.Client, id, kind, address string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/1", io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		fl.ledger.violation("create request %s: %v", id, err)
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
			fl.ledger.violation("request %s was answered with the body %.80q", id, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		fl.ledger.recordNotRun(id, response.StatusCode, kind == "post")
		time.Sleep(10 * time.Millisecond)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden:
		fl.ledger.violation("request %s was answered with status %d", id, response.StatusCode)
	}
	return response.StatusCode
}

// maxPrinted is the maximum number of violations in a failure message.
const maxPrinted = 5

// runSeed runs the fleet under random faults and fails the test on any violation, or if no request was answered.
func runSeed(t *testing.T, seed uint64, binary string) {
	fl := newFleet(t, seed, binary)
	ctx, cancel := context.WithTimeout(context.Background(), *runTime)
	defer cancel()
	counts, callers := &sync.Map{}, sync.WaitGroup{}
	for number := range 12 {
		callers.Go(func() { fl.sendRequests(ctx, number, counts) })
	}
	time.Sleep(time.Second)
	for ctx.Err() == nil {
		fl.injectFault(ctx)
	}
	callers.Wait()
	byStatus := map[string]int{}
	counts.Range(func(status, count any) bool { byStatus[fmt.Sprint(status)] = *count.(*int); return true })
	summary, _ := json.Marshal(byStatus)
	fl.ledger.mu.Lock()
	defer fl.ledger.mu.Unlock()
	t.Logf("seed %d: answers by status %s, %d runs", seed, summary, len(fl.ledger.runs))
	first := fl.ledger.violations[:min(len(fl.ledger.violations), maxPrinted)]
	must.SliceEmpty(t, first, must.Sprintf("seed %d: %d violations, the first: %s", seed, len(fl.ledger.violations), strings.Join(first, "; ")))
	must.Positive(t, byStatus["200"], must.Sprint("no request was answered with status 200"))
}

// TestFaultSoak runs the fleet under random faults, once for each seed.
func TestFaultSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "turmericdoor")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/turmericdoor").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for at := range *seedCount {
		seed := *firstSeed + uint64(at)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed, binary) })
	}
}
