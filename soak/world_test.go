package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericdoor/turmericdoor/platform/standin"
)

// ledger notes what upstreams ran, and what callers were told.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	promised map[string]int
	breaches []string
}

func (lg *ledger) breach(format string, args ...any) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.breaches = append(lg.breaches, fmt.Sprintf(format, args...))
}

// ran books a run; one that was promised not to happen is a breach, and so is a second one of a request that runs once.
func (lg *ledger) ran(id string, once bool) {
	lg.mu.Lock()
	lg.runs[id]++
	runs, status := lg.runs[id], lg.promised[id]
	lg.mu.Unlock()
	if once && runs > 1 {
		lg.breach("request %s ran %d times", id, runs)
	}
	if once && status > 0 {
		lg.breach("request %s ran after its caller got %d", id, status)
	}
}

// told books an answer of the system's own that promises that the request did not run.
func (lg *ledger) told(id string, status int, once bool) {
	lg.mu.Lock()
	lg.promised[id] = status
	runs := lg.runs[id]
	lg.mu.Unlock()
	if once && runs > 0 {
		lg.breach("request %s got %d and had run", id, status)
	}
}

// upstream runs requests and stages; the answer to a request is made of its id.
type upstream struct {
	*httptest.Server

	id     string
	ledger *ledger
}

func newUpstream(t *testing.T, id string, lg *ledger) *upstream {
	t.Helper()
	us := &upstream{id: id, ledger: lg}
	us.Server = httptest.NewServer(us)
	t.Cleanup(us.Close)
	return us
}

func (us *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("Turmericdoor-Expect-Instance"); expected != "" && expected != us.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/v1/stage-run":
		us.runStage(writer, body)
		return
	case "/v1/stage-free":
		return
	case "/v1/report":
		_, _ = io.WriteString(writer, `{"free_mb":36}`)
		return
	}
	id := request.Header.Get("Turmericdoor-Attempt-Id")
	us.ledger.ran(id, strings.HasPrefix(request.URL.Path, "/post/"))
	us.checkRequest(request, id, string(body))
	writer.Header().Set("Turmericdoor-Attempt-Id", id)
	writer.Header().Set("Turmericdoor-Response-Seal", us.id)
	for event := range 4 {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, id)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// checkRequest checks that a request came as its caller sent it.
func (us *upstream) checkRequest(request *http.Request, id, body string) {
	if body != "body of "+id || request.Header.Get("Authorization") != "" || request.Header.Get("Turmericdoor-Tenant") != "guild" {
		us.ledger.breach("request %s came changed", id)
	}
	for _, handle := range strings.Split(request.Header.Get("Turmericdoor-Inputs"), ",") {
		if handle != "" && !strings.Contains(handle, "/"+id+".") {
			us.ledger.breach("request %s was given %s", id, handle)
		}
	}
}

func (us *upstream) runStage(writer http.ResponseWriter, body []byte) {
	results, err := standin.StageResults(body, us.id)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = writer.Write(results)
}
