package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// sample is the times of one way of making a call.
type sample struct {
	mu    sync.Mutex
	times []time.Duration
}

func (sm *sample) add(run func()) {
	began := time.Now()
	run()
	took := time.Since(began)
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.times = append(sm.times, took)
}

func (sm *sample) at(part float64) float64 {
	slices.Sort(sm.times)
	return float64(sm.times[int(part*float64(len(sm.times)-1))].Microseconds())
}

// withNote runs a test on a cluster whose document has an idempotent twin of the demo's deposit, so that no
// claim counts.
func withNote(test func(cl *cluster)) {
	withCluster(&testing.T{}, 1, plain, func(cl *cluster) {
		whole := struct{ Teams []document.TeamText }{}
		_ = cl.operate(cl.members[0], "GET", "/v1/document", "fleet-key", nil, &whole)
		for _, team := range whole.Teams {
			if team.Team == "services" {
				cl.put("services", team.Revision, team.Text+"[Stage note]\nPool = ledger\n[Pipeline note]\nStages = note\n", "fleet-key")
			}
		}
		test(cl)
	})
}

// forwarder is a server that does nothing but make the call: the least that any hop adds.
func forwarder(client *upstream.Client, call *upstream.Call) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		client.Do(request.Context(), call)
		_, _ = io.WriteString(writer, "{}")
	}))
}

// BenchmarkAdded makes the same call straight to a service, through a bare forwarder and through an instance,
// in turn, and reports what the latter two add.
func BenchmarkAdded(b *testing.B) {
	withNote(func(cl *cluster) {
		direct, bare, through := &sample{}, &sample{}, &sample{}
		client := upstream.New()
		call := &upstream.Call{
			Kind: document.Service, Address: cl.standins["ledger-1"].Address(), Path: "/v1/record-deposit",
			Identity: attempt.Identity{RequestID: "r", Stage: "s", Attempt: 1}, Payload: upstream.Payload{Body: json.RawMessage("1")},
		}
		server := forwarder(client, call)
		defer server.Close()
		group := sync.WaitGroup{}
		for b.Loop() {
			group.Go(func() { direct.add(func() { client.Do(context.Background(), call) }) })
			time.Sleep(time.Millisecond)
			group.Go(func() {
				bare.add(func() {
					response, err := http.Post(server.URL, "application/json", bytes.NewReader([]byte("1")))
					if err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				})
			})
			time.Sleep(time.Millisecond)
			group.Go(func() {
				through.add(func() { _, _, _ = cl.post(cl.members[0], "note", "kumasi-guild-key", `{"Rank":"Urgent","Input":1}`) })
			})
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		for name, part := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			b.ReportMetric(direct.at(part), name+"-direct-us")
			b.ReportMetric(bare.at(part)-direct.at(part), name+"-forwarder-added-us")
			b.ReportMetric(through.at(part)-direct.at(part), name+"-added-us")
		}
	})
}
