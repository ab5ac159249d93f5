package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["versions"] = playVersions }

const (
	// streamEvents and eventPause make a stream of 0.9 s; the sheet has up to 30 events, with pauses of 200 ms at most.
	streamEvents = 30
	eventPause   = 30 * time.Millisecond
	// streamsPerSecond is the rate of the sheet.
	streamsPerSecond = 11.5
	// outageTime is how long the store is down; the site files have 4.5 s.
	outageTime = 4 * time.Second
	// restartAfter is when an engine is restarted in an outage, downTime how long it is down for that, and crashAfter when it crashes afterwards.
	restartAfter = 300 * time.Millisecond
	downTime     = 80 * time.Millisecond
	crashAfter   = 3 * time.Second
	// backAfter is how long after a crash an engine is back, and roundPause the pause between two outages.
	backAfter  = 2 * time.Second
	roundPause = 4 * time.Second
	rounds     = 7
	// mostMixed is how many streams ORDER allows to hold events of two versions.
	mostMixed = 2
)

// model is a sound model engine with a fixed id and address, which may be restarted with another version of its software.
type model struct {
	st      *store
	id      string
	zone    string
	address string

	mu      sync.Mutex
	version string
	server  *http.Server
	ended   chan struct{}
	running atomic.Int64
}

// start starts the engine with a version; it registers at once and every heartbeat, as far as the store takes it.
func (mo *model) start(version string) {
	listener, err := net.Listen("tcp", mo.address)
	if err != nil {
		cannotRun("start engine %s: %v", mo.id, err)
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.address, mo.version, mo.ended = listener.Addr().String(), version, make(chan struct{})
	born := time.Now().UnixMilli()
	mo.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { mo.serve(writer, request, version, born) })}
	go func(server *http.Server) { _ = server.Serve(listener) }(mo.server)
	go mo.register(version, born, mo.ended)
	note("engine %s starts with version %s, born %d", mo.id, version, born)
}

// register writes the registration of one start of the engine until that has ended.
func (mo *model) register(version string, born int64, ended <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		mo.st.putIfUp("servers", mo.id, map[string]any{
			"service": "dial-assistant", "address": mo.address, "zone": mo.zone, "version": version, "slot_count": 64, "state": "ready",
			"cold_left_ms": 0, "stage": "colocated", "sequence": sequence, "born": born,
		})
		select {
		case <-ended:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// stop ends the process of the engine, with all connections.
func (mo *model) stop() {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	close(mo.ended)
	_ = mo.server.Close()
}

func (mo *model) serve(writer http.ResponseWriter, request *http.Request, version string, born int64) {
	if expected := request.Header.Get("Turmericdoor-Expect-Instance"); expected != "" && expected != mo.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/v1/report" {
		fmt.Fprintf(writer, `{"stage":"colocated","busy":false,"sequence":0,"queued":0,"in_flight":%d,"born":%d}`, mo.running.Load(), born)
		return
	}
	mo.running.Add(1)
	defer mo.running.Add(-1)
	attempt := request.Header.Get("Turmericdoor-Attempt-Id")
	writer.Header().Set("Turmericdoor-Attempt-Id", attempt)
	writer.Header().Set("Turmericdoor-Response-Seal", "3e1b.07."+attempt)
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= streamEvents; event++ {
		select {
		case <-time.After(eventPause):
		case <-request.Context().Done():
			return
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s of %s\n\n", event, version, mo.id)
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
	}
}

// awaitIdle waits until the engine has no request.
func (mo *model) awaitIdle() {
	for mo.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// playVersions restarts an engine with the next version while the store is down and the engine is idle. Some seconds later the engine
// crashes. The streams that began there must not go on at engines of the version before. Without the trouble the store stays up.
func playVersions(trouble bool) bool {
	st := newStore()
	query := plainRoute("latitude-query", "/lat/", "streaming", 2)
	query["service"], query["resumable"], query["sticky"] = "dial-assistant", true, true
	query["timeout_ms"], query["target_latency_ms"], query["gap_aim_ms"] = 6000, 3000, 200
	service := map[string]any{"name": "dial-assistant", "max_conns": 370, "slot_count": 64, "engine": map[string]any{"slot_count": 64, "kv_capacity_tokens": 372311}}
	st.put("op", "config", configuration(3, []map[string]any{query}, []map[string]any{service}, []map[string]any{tenant("bozi300", "key-a")}))
	models := []*model{}
	for at := range 6 {
		mo := &model{st: st, id: fmt.Sprintf("i-%d", at+1), zone: []string{"z-a", "z-b", "z-c"}[at%3], address: local(freePorts(1)[0])}
		version := "v1"
		if at >= 4 {
			version = "v2"
		}
		mo.start(version)
		models = append(models, mo)
	}
	fronts := newFronts(st, "z-a", "z-a", "z-a", "z-b", "z-b", "z-b", "z-c", "z-c")
	startAll(fronts, 4*time.Second)
	streams := &streamCheck{fronts: fronts}
	go streams.run()
	time.Sleep(2 * time.Second)
	for round := range rounds {
		mo := models[round%4]
		if trouble {
			st.setDown(true)
			note("the store is down")
		}
		began := time.Now()
		time.Sleep(restartAfter)
		mo.awaitIdle()
		mo.stop()
		time.Sleep(downTime)
		mo.start("v2")
		time.Sleep(crashAfter)
		note("engine %s crashes with %d streams", mo.id, mo.running.Load())
		mo.stop()
		time.Sleep(time.Until(began.Add(outageTime)))
		st.setDown(false)
		time.Sleep(backAfter)
		mo.start("v1")
		time.Sleep(roundPause)
	}
	streams.stop.Store(true)
	time.Sleep(2 * time.Second)
	mixed := streams.mixed.Load()
	note("%d of %d streams hold events of two versions, %d are allowed; %d were complete", mixed, streams.sent.Load(), mostMixed, streams.complete.Load())
	return mixed > mostMixed
}

// streamCheck sends streams and counts those with events of two versions.
type streamCheck struct {
	fronts                []*front
	sent, mixed, complete atomic.Int64
	stop                  atomic.Bool
}

func (sc *streamCheck) run() {
	for !sc.stop.Load() {
		time.Sleep(time.Duration(rand.ExpFloat64() / streamsPerSecond * float64(time.Second)))
		go sc.send(sc.fronts[rand.IntN(len(sc.fronts))])
	}
}

// send sends one request and reads its stream.
func (sc *streamCheck) send(fr *front) {
	id := newID()
	prefix := fmt.Sprintf("5c1e%04x:341,91bd%04x:227,%s:250", rand.IntN(40), rand.IntN(90), id[8:])
	cl := dial(fr.address)
	defer cl.close()
	sc.sent.Add(1)
	err := cl.send("POST", "/lat/2f", host, id, []string{
		"Authorization: Token key-a", "Turmericdoor-Deadline-Ms: 6000", "Turmericdoor-Model: m", "Turmericdoor-Token-Counts: 818,90",
		"Turmericdoor-Prompt-Prefix: " + prefix,
	}, "a question "+id)
	if err != nil {
		return
	}
	got := cl.receive("POST", 7*time.Second)
	if got.err == nil && got.status == http.StatusOK {
		sc.complete.Add(1)
	}
	if strings.Contains(got.body, "data: v1") && strings.Contains(got.body, "data: v2") {
		sc.mixed.Add(1)
		note("stream %s at %s, status %d, error %v: %s", id, fr.name, got.status, got.err, summary(got.body))
	}
}

// summary returns the runs of equal data in a stream.
func summary(body string) string {
	list, last, id := []string{}, "", ""
	for line := range strings.SplitSeq(body, "\n") {
		if number, is := strings.CutPrefix(line, "id: "); is {
			id = number
		}
		if data, is := strings.CutPrefix(line, "data: "); is && data != last {
			list, last = append(list, "from event "+id+" "+data), data
		}
	}
	return strings.Join(list, ", ")
}
