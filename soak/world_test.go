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

// ledger records which requests upstreams ran and which ones the system answered as not run.
type ledger struct {
	mu sync.Mutex
	// runs counts the runs by request id.
	runs map[string]int
	// notRun is the status of an answer saying that the request did not run, by request id.
	notRun     map[string]int
	violations []string
}

func (lg *ledger) violation(format string, args ...any) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.violations = append(lg.violations, fmt.Sprintf(format, args...))
}

// recordRun records a run. If the request may run at most once, a second run is a violation, and so is a run after its
// caller was told that it did not run.
func (lg *ledger) recordRun(id string, once bool) {
	lg.mu.Lock()
	lg.runs[id]++
	runs, status := lg.runs[id], lg.notRun[id]
	lg.mu.Unlock()
	if once && runs > 1 {
		lg.violation("request %s ran %d times", id, runs)
	}
	if once && status > 0 {
		lg.violation("request %s ran after it was answered with %d", id, status)
	}
}

// recordNotRun records an answer by which the system tells the caller that the request did not run.
func (lg *ledger) recordNotRun(id string, status int, once bool) {
	lg.mu.Lock()
	lg.notRun[id] = status
	runs := lg.runs[id]
	lg.mu.Unlock()
	if once && runs > 0 {
		lg.violation("request %s was answered with %d but had run", id, status)
	}
}

// upstream is an upstream that runs requests and stages; its answer to a request repeats the request's id.
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
	us.ledger.recordRun(id, strings.HasPrefix(request.URL.Path, "/post/"))
	us.checkRequest(request, id, string(body))
	writer.Header().Set("Turmericdoor-Attempt-Id", id)
	writer.Header().Set("Turmericdoor-Response-Seal", us.id)
	for event := range 4 {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, id)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// checkRequest checks that a request arrived as its caller sent it, without the caller's key and with the organisation
// and its own inputs.
func (us *upstream) checkRequest(request *http.Request, id, body string) {
	if body != "body of "+id || request.Header.Get("Authorization") != "" || request.Header.Get("Turmericdoor-Tenant") != "guild" {
		us.ledger.violation("request %s arrived changed", id)
	}
	for _, handle := range strings.Split(request.Header.Get("Turmericdoor-Inputs"), ",") {
		if handle != "" && !strings.Contains(handle, "/"+id+".") {
			us.ledger.violation("request %s got the input %s of another request", id, handle)
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
