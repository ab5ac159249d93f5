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

// sample collects the durations of calls made in one way.
type sample struct {
	mu    sync.Mutex
	times []time.Duration
}

// measure runs a call and adds its duration.
func (sm *sample) measure(run func()) {
	start := time.Now()
	run()
	took := time.Since(start)
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.times = append(sm.times, took)
}

// quantile returns a quantile of the durations, in microseconds.
func (sm *sample) quantile(fraction float64) float64 {
	slices.Sort(sm.times)
	return float64(sm.times[int(fraction*float64(len(sm.times)-1))].Microseconds())
}

// withIdempotentPipeline runs a test on a cluster whose document has the pipeline note, which calls the same pool
// as the demo's record-deposit but is idempotent, so that no claim adds to the time.
func withIdempotentPipeline(test func(cl *cluster)) {
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

// forwarder returns a server that only makes the call. Its added time is the least that any extra hop adds.
func forwarder(client *upstream.Client, call *upstream.Call) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		client.Do(request.Context(), call)
		_, _ = io.WriteString(writer, "{}")
	}))
}

// BenchmarkAdded makes the same call directly to a service, through a bare forwarder and through an instance,
// in turn, and reports the latency that the forwarder and the instance add.
func BenchmarkAdded(b *testing.B) {
	withIdempotentPipeline(func(cl *cluster) {
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
			group.Go(func() { direct.measure(func() { client.Do(context.Background(), call) }) })
			time.Sleep(time.Millisecond)
			group.Go(func() {
				bare.measure(func() {
					response, err := http.Post(server.URL, "application/json", bytes.NewReader([]byte("1")))
					if err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				})
			})
			time.Sleep(time.Millisecond)
			group.Go(func() {
				through.measure(func() { _, _, _ = cl.post(cl.members[0], "note", "kumasi-guild-key", `{"Rank":"Urgent","Input":1}`) })
			})
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		for name, fraction := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			b.ReportMetric(direct.quantile(fraction), name+"-direct-us")
			b.ReportMetric(bare.quantile(fraction)-direct.quantile(fraction), name+"-forwarder-added-us")
			b.ReportMetric(through.quantile(fraction)-direct.quantile(fraction), name+"-added-us")
		}
	})
}
