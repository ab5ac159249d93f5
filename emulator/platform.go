package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/tableservice"
)

// rows is the content of the table service.
type rows struct {
	mu       sync.Mutex
	content  map[string]storedRow
	versions int64
	reads    int64
	writes   int64
}

type storedRow struct {
	value   []byte
	version int64
}

// Counts is how many reads and transactions the table service has carried out.
type Counts struct {
	Reads  int64
	Writes int64
}

// Counts returns what the table service has carried out so far.
func (sd *Standin) Counts() Counts {
	sd.rows.mu.Lock()
	defer sd.rows.mu.Unlock()
	return Counts{Reads: sd.rows.reads, Writes: sd.rows.writes}
}

func (rw *rows) read(request tableservice.ReadRequest) []table.Row {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.reads++
	found := []table.Row{}
	for _, key := range request.Keys {
		if stored, exists := rw.content[key]; exists {
			found = append(found, table.Row{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	if len(request.Keys) == 0 {
		found = rw.list(request.Prefix)
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Key < found[right].Key })
	return found
}

func (rw *rows) list(prefix string) []table.Row {
	found := []table.Row{}
	for key, stored := range rw.content {
		if strings.HasPrefix(key, prefix) {
			found = append(found, table.Row{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	return found
}

// commit carries out a transaction whole or returns the keys that speak against it.
func (rw *rows) commit(transaction table.Transaction) []string {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.writes++
	conflicts := []string{}
	for _, condition := range transaction.Conditions {
		if rw.content[condition.Key].version != condition.Version {
			conflicts = append(conflicts, condition.Key)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(rw.content, write.Key)
			continue
		}
		rw.versions++
		rw.content[write.Key] = storedRow{value: write.Value, version: rw.versions}
	}
	return nil
}

// list is the instance list with its lag.
type list struct {
	mu      sync.Mutex
	current []tableservice.ListedInstance
	before  []tableservice.ListedInstance
	changed time.Time
}

func (ls *list) set(fresh []tableservice.ListedInstance) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.before, ls.current, ls.changed = ls.current, fresh, time.Now()
}

func (ls *list) get(lag time.Duration) []tableservice.ListedInstance {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if time.Since(ls.changed) < lag {
		return ls.before
	}
	return ls.current
}

func (sd *Standin) platformRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/read", sd.postRead)
	mux.HandleFunc("POST /v1/commit", sd.postCommit)
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) { reply(writer, sd.Counts()) })
	mux.HandleFunc("GET /v1/instances", func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, sd.list.get(time.Duration(sd.faults.Load().LagMs)*time.Millisecond))
	})
	mux.HandleFunc("POST /instances", func(writer http.ResponseWriter, request *http.Request) {
		fresh := []tableservice.ListedInstance{}
		if json.NewDecoder(request.Body).Decode(&fresh) == nil {
			sd.list.set(fresh)
		}
		reply(writer, fresh)
	})
}

// hold applies the faults of the platform and reports whether the call goes on.
func (sd *Standin) hold(writer http.ResponseWriter, request *http.Request) bool {
	faults := sd.faults.Load()
	if faults.Busy {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	select {
	case <-time.After(time.Duration(faults.SlowMs) * time.Millisecond):
		return true
	case <-request.Context().Done():
		return false
	}
}

func (sd *Standin) postRead(writer http.ResponseWriter, request *http.Request) {
	asked := tableservice.ReadRequest{}
	if json.NewDecoder(request.Body).Decode(&asked) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if sd.hold(writer, request) {
		reply(writer, tableservice.ReadReply{Rows: sd.rows.read(asked)})
	}
}

func (sd *Standin) postCommit(writer http.ResponseWriter, request *http.Request) {
	asked := table.Transaction{}
	if json.NewDecoder(request.Body).Decode(&asked) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !sd.hold(writer, request) {
		return
	}
	conflicts := sd.rows.commit(asked)
	if sd.faults.Load().LoseAnswers {
		hangUp(writer)
		return
	}
	reply(writer, tableservice.CommitReply{Committed: len(conflicts) == 0, Conflicts: conflicts})
}
