package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store; the value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a sound metadata store: linearizable, with one counter of versions and long polls.
type store struct {
	address string

	mu      sync.Mutex
	rows    map[string]row
	version int64
	changed chan struct{}
	began   time.Time
	// down makes the store answer all calls with 503: nothing was done.
	down bool
}

func newStore() *store {
	st := &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
	listener := mustListen()
	st.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, st) }()
	return st
}

func mustListen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen on loopback: %v", err)
	}
	return listener
}

// put writes a row and returns its version; the return is the store's acknowledgement.
func (st *store) put(table, key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode a row: %v", err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[table+"/"+key] = row{Table: table, Key: key, Value: text, Version: st.version}
	close(st.changed)
	st.changed = make(chan struct{})
	return st.version
}

// putIfUp writes a row unless the store is down.
func (st *store) putIfUp(table, key string, value any) {
	if !st.isDown() {
		st.put(table, key, value)
	}
}

func (st *store) isDown() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.down
}

// setDown takes the store down, and ends the calls that wait for changes, or up again.
func (st *store) setDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	table := request.FormValue("table")
	if st.isDown() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case "/v1/rows-get":
		st.write(writer, table, -1)
	case "/v1/rows-feed":
		after, _ := strconv.ParseInt(request.FormValue("after"), 10, 64)
		wait, _ := strconv.ParseInt(request.FormValue("wait_ms"), 10, 64)
		st.await(request, table, after, time.Duration(wait)*time.Millisecond)
		if st.isDown() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		st.write(writer, table, after)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// await waits until a row of the table is newer than a version.
func (st *store) await(request *http.Request, table string, after int64, wait time.Duration) {
	limit := time.After(wait)
	for {
		st.mu.Lock()
		changed, found := st.changed, false
		for _, each := range st.rows {
			found = found || each.Table == table && each.Version > after
		}
		st.mu.Unlock()
		if found || st.isDown() {
			return
		}
		select {
		case <-changed:
		case <-limit:
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (st *store) write(writer http.ResponseWriter, table string, after int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []row{}
	for _, each := range st.rows {
		if each.Table == table && each.Version > after && (after >= 0 || !each.Deleted) {
			list = append(list, each)
		}
	}
	sortRows(list, after >= 0)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"rows": list, "has_more": false, "row_version": st.version, "server_time_ms": 1 + time.Since(st.began).Milliseconds(),
	})
}
