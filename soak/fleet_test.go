package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/emulator"
	"github.com/turmericdoor/turmericdoor/platform/standin"
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
	// storePaths are those of them before the store, by instance.
	storePaths []*proxy
	ledger     *ledger
	// upstreams are the upstreams by their ids.
	upstreams map[string]*upstream
	// endlessStore makes the store answer some calls with bytes without end.
	endlessStore atomic.Bool
	// addresses are the addresses for callers, settings the settings files, by instance.
	addresses []string
	settings  []string
	// metrics are the addresses of the instances' metrics.
	metrics []string
	// resources are the limits in the settings of each process, configured is the JSON object of the callers' limits in the configuration.
	resources  resourceLimits
	configured string
	// tenants are the organisations in the configuration, with the field's name; if empty, guildTenants.
	tenants string

	mu        sync.Mutex
	processes []*exec.Cmd
	version   int
	// restarting is held while an instance is stopped and started again.
	restarting [instances]sync.Mutex
	// stopping is when each instance got a SIGTERM that it has not yet ended after, or zero.
	stopping [instances]time.Time
	// disturbed is when each instance was last ended, started, paused or woken.
	disturbed [instances]time.Time
}

// resourceLimits are what a process may use, as its settings say.
type resourceLimits struct {
	memoryMB    int
	descriptors int
}

// defaultResources are the limits in tests whose callers keep to theirs.
var defaultResources = resourceLimits{memoryMB: memoryLimitMB, descriptors: 4100}

// configuredLimits are the callers' limits in the configuration of tests whose bodies are short.
const configuredLimits = `{"max_body_bytes":100000,"idle_timeout_ms":30000}`

const services = `"services":[{"name":"model","engine":{"slot_count":64,"kv_capacity_tokens":100000},"cold_s":3,"cold_per_s":2},
{"name":"plain","cold_s":3,"cold_per_s":2},
{"name":"stage","pieces":{"slot_count":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,"headroom_mb":36,"handle_s":4}}],`

// guildTenants are the organisations whose key all callers have.
const guildTenants = `"tenants":[{"name":"guild","api_keys":["k"]}],`

const routes = `"routes":[{"name":"resume","host":"h","prefix":"/resume/","kind":"streaming","resumable":true,"timeout_ms":5000,
"target_latency_ms":2000,"service":"model","max_attempts":2},
{"name":"resume3","host":"h","prefix":"/resume3/","kind":"streaming","resumable":true,"timeout_ms":5000,"target_latency_ms":2000,"service":"model",
"max_attempts":3,"stages":[{"service":"stage","after":[],"bytes":3000000}]},
{"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":5000,"target_latency_ms":2000,"service":"model",
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
		store: standin.New(), resources: defaultResources, configured: uploadLimits,
		ledger: newLedger(), upstreams: map[string]*upstream{},
	}
	fl.ledger.isUndisturbed, fl.ledger.lastFault = fl.isUndisturbed, fl.lastFault
	server := httptest.NewServer(&faultyStore{fleet: fl, seed: seed})
	t.Cleanup(server.Close)
	for _, pool := range []string{"model", "plain", "stage"} {
		for at := range upstreamCounts[pool] {
			fl.proxies = append(fl.proxies, fl.addUpstream(fmt.Sprintf("%s-%d", pool, at), seed))
		}
	}
	for _, id := range spareUpstreams {
		fl.addUpstream(id, seed)
	}
	fl.addDirectUpstream(directUpstream, seed)
	fl.putConfiguration()
	free := freeAddresses(t, 4*instances)
	control := free[3*instances:]
	for at := range instances {
		px := newProxy(t, strings.TrimPrefix(server.URL, "http://"))
		fl.proxies, fl.storePaths = append(fl.proxies, px), append(fl.storePaths, px)
		ports := free[3*at : 3*at+3]
		fl.addresses = append(fl.addresses, ports[0])
		fl.writeSettings(at, ports, control, px.address())
		fl.processes = append(fl.processes, nil)
		fl.start(at)
	}
	t.Cleanup(fl.killAll)
	return fl
}

// addUpstream starts an upstream in the failure domain that its number gives, with a proxy before it, and registers it.
func (fl *fleet) addUpstream(id string, seed uint64) *proxy {
	up := newUpstream(fl.t, id, seed, fl.ledger)
	px := newProxy(fl.t, strings.TrimPrefix(up.URL, "http://"))
	_, number, _ := strings.Cut(id, "-")
	count, err := strconv.Atoi(number)
	must.NoError(fl.t, err)
	up.domain, up.senderOf = count%2, func(remote string) (int, bool) { return fl.instanceAt(px.sourceOf(remote)) }
	up.register = func() {
		fl.store.Put("servers", id, coldRegistration(id, px.address(), up.domain, up.born.Load(), up.coldLeft()))
	}
	up.crash = func() bool { return px.crash(crashLength, up.register) }
	up.register()
	fl.upstreams[id] = up
	return px
}

// directUpstream has no proxy before it, whose buffers would take most of a long body before it is answered.
const directUpstream = "plain-6"

// addDirectUpstream starts an upstream without a proxy and registers it.
func (fl *fleet) addDirectUpstream(id string, seed uint64) {
	up := newUpstream(fl.t, id, seed, fl.ledger)
	up.senderOf = fl.instanceAt
	up.register = func() {
		fl.store.Put("servers", id, registration(id, strings.TrimPrefix(up.URL, "http://"), up.domain, up.born.Load()))
	}
	up.crash = func() bool { return false }
	up.register()
	fl.upstreams[id] = up
}

// upstreamCounts is the number of upstreams of each pool whose connections have faults.
var upstreamCounts = map[string]int{"model": 4, "plain": 3, "stage": 3}

// spareUpstreams are further ones, without such faults. While one failure domain is evacuated, the upstreams of the other one that are not
// leaving or limited could serve only a small part of the load.
var spareUpstreams = []string{"model-4", "model-5", "plain-3", "plain-4", "stage-3"}

// registration returns the row that an upstream writes for itself.
func registration(id, address string, domain int, born int64) string {
	return coldRegistration(id, address, domain, born, 0)
}

// coldRegistration is registration of an upstream that is cold for a time.
func coldRegistration(id, address string, domain int, born int64, cold time.Duration) string {
	pool, _, _ := strings.Cut(id, "-")
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z%d","version":%q,"slot_count":8,"state":"ready","cold_left_ms":%d,"sequence":1,"born":%d}`,
		pool, address, domain, softwareVersion(id), cold.Milliseconds(), born)
}

// disturb records a fault of an instance's process.
func (fl *fleet) disturb(at int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.disturbed[at] = time.Now()
}

// lastFault returns when the process of an instance was last ended, started, paused or woken.
func (fl *fleet) lastFault(at int) time.Time {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.disturbed[at]
}

// isUndisturbed reports whether the process of an instance ran for newsBound.
func (fl *fleet) isUndisturbed(at int) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return time.Since(fl.disturbed[at]) > newsBound
}

// writeSettings writes the settings file of an instance.
func (fl *fleet) writeSettings(at int, ports, control []string, storeAddress string) {
	// The metrics port is the first inner port plus one.
	_, metrics, _ := net.SplitHostPort(ports[2])
	port, err := strconv.Atoi(metrics)
	must.NoError(fl.t, err)
	content := fmt.Sprintf(`{"node_name":"i%d","zone":"z%d","ip":"127.0.0.1","listen":{"front":%q,"ready":%q,"control":%q},"inner_ports":[%d,65535],
"seeds":[%q,%q],"limits":{"memory_mb":%d,"max_fds":%d},"bounds":{"grace_s":4,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":50,"cold_overage":1.5,"cold_slack":5},
"platform":{"address":%q}}`, at, at%2, ports[0], ports[1], control[at], port-1, control[0], control[min(1, len(control)-1)], fl.resources.memoryMB,
		fl.resources.descriptors, storeAddress)
	path := filepath.Join(fl.folder, fmt.Sprintf("i%d.json", at))
	must.NoError(fl.t, os.WriteFile(path, []byte(content), 0o600))
	fl.settings = append(fl.settings, path)
	fl.metrics = append(fl.metrics, ports[2])
}

// changeSettings changes the settings file of an instance, but not what it says.
func (fl *fleet) changeSettings(at int) {
	content, err := os.ReadFile(fl.settings[at])
	if err == nil {
		err = os.WriteFile(fl.settings[at], append(content, '\n'), 0o600)
	}
	if err != nil {
		fl.t.Errorf("change the settings of instance %d: %v", at, err)
	}
}

// putConfiguration writes the configuration to the platform under the next version.
func (fl *fleet) putConfiguration() {
	fl.mu.Lock()
	fl.version++
	version, tenants := fl.version, cmp.Or(fl.tenants, guildTenants)
	fl.mu.Unlock()
	fl.store.Put("op", "config", fmt.Sprintf(`{"version":%d,%s%s%s"limits":%s}`, version, routes, services, tenants, fl.configured))
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
	switch fl.random.IntN(12) {
	case 0:
		fl.restart(at, syscall.SIGKILL)
	case 1:
		fl.restart(at, syscall.SIGTERM)
	case 2:
		fl.disturb(at)
		_ = fl.process(at).Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { _ = fl.process(at).Process.Signal(syscall.SIGCONT); fl.disturb(at) })
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
	case 9:
		fl.endlessStore.Store(true)
		// A new version ends the instances' waits for changes, so that they call again.
		fl.putConfiguration()
		time.AfterFunc(length, func() { fl.endlessStore.Store(false) })
	default:
		fl.changeStanding()
	}
	time.AfterFunc(length, px.heal)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(fl.random.IntN(400)) * time.Millisecond):
	}
}

// restart ends an instance with a signal, waits for its end and starts it again.
func (fl *fleet) restart(at int, signal syscall.Signal) {
	fl.restarting[at].Lock()
	defer fl.restarting[at].Unlock()
	command := fl.process(at)
	fl.disturb(at)
	defer fl.disturb(at)
	if signal == syscall.SIGTERM {
		fl.setStopping(at, time.Now())
		defer fl.setStopping(at, time.Time{})
	}
	_ = command.Process.Signal(signal)
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Wait()
	fl.start(at)
}
