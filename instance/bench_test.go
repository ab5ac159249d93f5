package instance_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// BenchmarkAdded sends deposits at a set rate, in turn straight to a service and through an instance, and
// reports what the instance adds. The idempotent twin of the demo's deposit is used, so that no claim counts.
func BenchmarkAdded(b *testing.B) {
	t := &testing.T{}
	withCluster(t, 1, plain, func(cl *cluster) {
		whole := struct{ Teams []document.TeamText }{}
		_ = cl.operate(cl.members[0], "GET", "/v1/document", "fleet-key", nil, &whole)
		for _, team := range whole.Teams {
			if team.Team == "services" {
				cl.put("services", team.Revision, team.Text+"[Stage note]\nPool = ledger\n[Pipeline note]\nStages = note\n", "fleet-key")
			}
		}
		direct, client := []time.Duration{}, upstream.New()
		through := []time.Duration{}
		mu, group := sync.Mutex{}, sync.WaitGroup{}
		for b.Loop() {
			group.Go(func() {
				took := timed(func() {
					client.Do(context.Background(), &upstream.Call{
						Kind: document.Service, Address: cl.standins["ledger-1"].Address(), Path: "/v1/record-deposit",
						Identity: attempt.Identity{RequestID: "r", Stage: "s", Attempt: 1}, Payload: upstream.Payload{Body: json.RawMessage("1")},
					})
				})
				mu.Lock()
				defer mu.Unlock()
				direct = append(direct, took)
			})
			time.Sleep(time.Millisecond)
			group.Go(func() {
				took := timed(func() { _, _, _ = cl.post(cl.members[0], "note", "kumasi-guild-key", `{"Rank":"Urgent","Input":1}`) })
				mu.Lock()
				defer mu.Unlock()
				through = append(through, took)
			})
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		slices.Sort(direct)
		slices.Sort(through)
		for name, at := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			place := int(at * float64(len(direct)-1))
			b.ReportMetric(float64(direct[place].Microseconds()), name+"-direct-us")
			b.ReportMetric(float64(through[place].Microseconds()), name+"-through-us")
			b.ReportMetric(float64((through[place] - direct[place]).Microseconds()), name+"-added-us")
		}
	})
}

func timed(run func()) time.Duration {
	began := time.Now()
	run()
	return time.Since(began)
}
