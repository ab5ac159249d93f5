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

// rows is the content of the table service and its counters of reads and commits.
type rows struct {
	mu          sync.Mutex
	content     map[string]storedRow
	lastVersion int64
	reads       int64
	writes      int64
}

type storedRow struct {
	value   []byte
	version int64
}

// Counts holds the numbers of reads and commits that the table service has received, including commits that
// conflicted.
type Counts struct {
	Reads  int64
	Writes int64
}

// Counts returns the counters of the table service.
func (sd *Standin) Counts() Counts {
	sd.rows.mu.Lock()
	defer sd.rows.mu.Unlock()
	return Counts{Reads: sd.rows.reads, Writes: sd.rows.writes}
}

// read returns the rows with the requested keys, or with the prefix if the request has no keys, sorted by key.
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
		found = rw.withPrefix(request.Prefix)
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Key < found[right].Key })
	return found
}

func (rw *rows) withPrefix(prefix string) []table.Row {
	found := []table.Row{}
	for key, stored := range rw.content {
		if strings.HasPrefix(key, prefix) {
			found = append(found, table.Row{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	return found
}

// commit applies all writes of a transaction and returns nil, or applies none and returns the keys whose
// versions differ from those in the conditions.
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
		rw.lastVersion++
		rw.content[write.Key] = storedRow{value: write.Value, version: rw.lastVersion}
	}
	return nil
}

// instanceList is the platform's list of instances. It keeps the previous content to emulate a list that
// lags behind.
type instanceList struct {
	mu        sync.Mutex
	current   []tableservice.ListedInstance
	previous  []tableservice.ListedInstance
	changedAt time.Time
}

func (ls *instanceList) set(updated []tableservice.ListedInstance) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.previous, ls.current, ls.changedAt = ls.current, updated, time.Now()
}

// get returns the current list, or the previous one until lag has passed since the change.
func (ls *instanceList) get(lag time.Duration) []tableservice.ListedInstance {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if time.Since(ls.changedAt) < lag {
		return ls.previous
	}
	return ls.current
}

func (sd *Standin) addPlatformRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/read", sd.postRead)
	mux.HandleFunc("POST /v1/commit", sd.postCommit)
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, sd.Counts()) })
	mux.HandleFunc("GET /v1/instances", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, sd.instances.get(time.Duration(sd.faults.Load().LagMs)*time.Millisecond))
	})
	mux.HandleFunc("POST /instances", func(writer http.ResponseWriter, request *http.Request) {
		updated := []tableservice.ListedInstance{}
		if json.NewDecoder(request.Body).Decode(&updated) == nil {
			sd.instances.set(updated)
		}
		writeJSON(writer, updated)
	})
}

// delayOrRefuse applies the faults Busy and SlowMs to a call of the table service and reports whether to
// execute the call.
func (sd *Standin) delayOrRefuse(writer http.ResponseWriter, request *http.Request) bool {
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
	readRequest := tableservice.ReadRequest{}
	if json.NewDecoder(request.Body).Decode(&readRequest) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if sd.delayOrRefuse(writer, request) {
		writeJSON(writer, tableservice.ReadReply{Rows: sd.rows.read(readRequest)})
	}
}

func (sd *Standin) postCommit(writer http.ResponseWriter, request *http.Request) {
	transaction := table.Transaction{}
	if json.NewDecoder(request.Body).Decode(&transaction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !sd.delayOrRefuse(writer, request) {
		return
	}
	conflicts := sd.rows.commit(transaction)
	if sd.faults.Load().LoseAnswers {
		closeConnection(writer)
		return
	}
	writeJSON(writer, tableservice.CommitReply{Committed: len(conflicts) == 0, Conflicts: conflicts})
}
