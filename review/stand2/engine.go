package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a sound engine of a plain service, a stage service or a model service. It records what it runs.
type engine struct {
	id      string
	service string
	zone    string
	address string
	born    int64
	state   string
	answer  func(en *engine, writer http.ResponseWriter, request *http.Request)

	mu       sync.Mutex
	runs     []run
	sequence int
}

// isQuiet keeps the runs of engines out of the record, where there are many.
var isQuiet atomic.Bool

// run is a request that the engine has run.
type run struct {
	at      time.Time
	id      string
	method  string
	uri     string
	tenant  string
	hasAuth bool
	body    int
}

func newEngine(service, zone, id string) *engine {
	en := &engine{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), state: "ready", answer: answerPlain}
	listener := mustListen()
	en.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, en) }()
	return en
}

// register writes the engine's registration, and writes it again every heartbeat.
func (en *engine) register(st *store) {
	write := func() {
		en.mu.Lock()
		en.sequence++
		entry := map[string]any{
			"service": en.service, "address": en.address, "zone": en.zone, "version": "v1", "slot_count": 6, "state": en.state,
			"cold_left_ms": 0, "sequence": en.sequence, "born": en.born,
		}
		en.mu.Unlock()
		st.put("servers", en.id, entry)
	}
	write()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			write()
		}
	}()
}

func (en *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Turmericdoor-Expect-Instance"); expected != "" && expected != en.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == "/v1/report":
		_ = json.NewEncoder(writer).Encode(map[string]any{"queued": 0, "busy": false, "free_mb": 36.0, "born": en.born})
		return
	case request.URL.Path == "/v1/stage-free":
		return
	case request.URL.Path == "/v1/stage-run":
		en.runStage(writer, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	ran := run{
		at: time.Now(), id: request.Header.Get("Turmericdoor-Attempt-Id"), method: request.Method, uri: request.RequestURI,
		tenant: request.Header.Get("Turmericdoor-Tenant"), hasAuth: request.Header.Get("Authorization") != "", body: len(body),
	}
	en.mu.Lock()
	en.runs = append(en.runs, ran)
	en.mu.Unlock()
	if !isQuiet.Load() {
		note("engine %s (%s) runs %s: %s %s, tenant %q, body of %d bytes", en.id, en.service, ran.id, ran.method, ran.uri, ran.tenant, ran.body)
	}
	en.answer(en, writer, request)
}

// answerPlain answers after the usual time of a plain service.
func answerPlain(en *engine, writer http.ResponseWriter, request *http.Request) {
	select {
	case <-time.After(60 * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	en.succeed(writer, request)
}

// succeed writes a success with a seal.
func (en *engine) succeed(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Turmericdoor-Attempt-Id")
	writer.Header().Set("Turmericdoor-Attempt-Id", id)
	writer.Header().Set("Turmericdoor-Response-Seal", "3e1b.07."+id)
	_, _ = io.WriteString(writer, "answer of "+en.id+" to "+id)
}

// runStage makes the pieces of a call.
func (en *engine) runStage(writer http.ResponseWriter, request *http.Request) {
	call := struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
		} `json:"items"`
	}{}
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(150 * time.Millisecond)
	results := []map[string]string{}
	for _, item := range call.Items {
		results = append(results, map[string]string{"handle": fmt.Sprintf("%s/%s-%d-%d", en.address, item.ID, item.Stage, item.Piece)})
	}
	writer.Header().Set("Turmericdoor-Engine-Load", "0,0,1")
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": results})
}

// ran returns the runs so far.
func (en *engine) ran() []run {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]run{}, en.runs...)
}

// dialLocal connects to a process as a client does.
func dialLocal(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, time.Second)
}
