package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/limit"
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/subset"
)

// subsetOf returns the pool with the subset of upstreams that the instance with this index uses. A size of
// 0 selects all upstreams.
func (sim *simulation) subsetOf(pool *document.Pool, index, size int) *document.Pool {
	if size == 0 || size >= len(pool.Upstreams) {
		return pool
	}
	ups, instances := []subset.Endpoint{}, []subset.Endpoint{}
	for _, up := range pool.Upstreams {
		ups = append(ups, subset.Endpoint{Name: up.Name, FailureDomain: up.FailureDomain})
	}
	for at := range sim.instanceCount {
		instances = append(instances, subset.Endpoint{Name: fmt.Sprint("i", at), FailureDomain: sim.domainOf(at)})
	}
	selected := *pool
	selected.Upstreams = nil
	for _, name := range subset.Select(instances[index%sim.instanceCount], instances, ups, size) {
		selected.Upstreams = append(selected.Upstreams, sim.document.Upstreams[name])
	}
	return &selected
}

// domainOf returns the failure domain of the instance with this index.
func (sim *simulation) domainOf(index int) string {
	domains := failureDomains(sim.document)
	return domains[index%len(domains)]
}

// leastLoaded returns the upstream with the fewest running and waiting calls among those that have not crashed, or among
// all if they have.
func (sim *simulation) leastLoaded(pool *document.Pool) string {
	best := sim.upstreams[pool.Upstreams[0].Name]
	offset := sim.random.IntN(len(pool.Upstreams))
	for at := range pool.Upstreams {
		other := sim.upstreams[pool.Upstreams[(at+offset)%len(pool.Upstreams)].Name]
		if other.isLessLoaded(best) {
			best = other
		}
	}
	return best.config.Name
}

// largeDocument returns a document with one pool of engines in one failure domain, one pipeline and one
// rank.
func largeDocument(engines int) *document.Document {
	pool := &document.Pool{Name: "engines", Kind: document.Engine, StageTime: 500 * time.Millisecond, RetryPercent: 10}
	rank := &document.Rank{Name: "Urgent", Deadline: 4 * time.Second}
	parsed := &document.Document{
		Ranks: map[string]*document.Rank{"Urgent": rank}, RanksByPrecedence: []*document.Rank{rank},
		Organisations: map[string]*document.Organisation{}, Pools: map[string]*document.Pool{"engines": pool},
		Pipelines: map[string]*document.Pipeline{"draft": {Name: "draft", Idempotent: true, Stages: []*document.Stage{{Name: "generate", Pool: pool, Brownout: document.BrownoutNone}}}},
		Upstreams: map[string]*document.Upstream{},
	}
	for at := range 5 {
		name := fmt.Sprint("o", at)
		parsed.Organisations[name] = &document.Organisation{Name: name, Weight: 1}
	}
	for at := range engines {
		up := &document.Upstream{Name: fmt.Sprintf("e%03d", at), Pool: pool, FailureDomain: "a", Slots: 8, Incarnation: 1}
		pool.Upstreams = append(pool.Upstreams, up)
		parsed.Upstreams[up.Name] = up
	}
	return parsed
}

// WriteScaleTable runs several policies at several fleet sizes and loads, and writes a table of attainment, the
// percentage of requests answered within their deadline, and of latency quantiles. The load is in percent of
// the pool's capacity. The policy Oracle knows the running and waiting calls of all instances; the table shows
// how much instances that know only their own calls and results lose against it.
func WriteScaleTable(out io.Writer) {
	fmt.Fprintln(out, "instances engines load% policy               in-time%  p50-ms  p95-ms  p99-ms")
	for _, size := range []struct{ instances, engines int }{{8, 10}, {95, 150}, {380, 600}} {
		parsed := largeDocument(size.engines)
		for _, load := range []int64{60, 80, 90} {
			scenario := &Scenario{Name: "scale", Config: &plan.Scenario{Title: "scale", DurationMs: 8000, LoadPercent: load}}
			for _, policy := range scalePolicies() {
				result := Run(parsed, scenario, policy, size.instances, 1)
				fmt.Fprintf(out, "%9d %7d %5d %-20s %8.2f %7d %7d %7d\n", size.instances, size.engines, load, policy.Name(),
					100*result.AnsweredShare("Urgent"), result.LatencyQuantile(0.5).Milliseconds(), result.LatencyQuantile(0.95).Milliseconds(), result.LatencyQuantile(0.99).Milliseconds())
			}
		}
	}
}

// scalePolicies returns the policies that WriteScaleTable compares.
func scalePolicies() []Policy {
	return []Policy{
		Baseline{},
		Oracle{},
		Decisions{Title: "whole, divided", Limit: limit.Divided{}},
		Decisions{Title: "whole, adaptive", Limit: limit.Adaptive{}},
		Decisions{Title: "16 each, adaptive", Limit: limit.Adaptive{}, Subset: 16},
		Decisions{Title: "32 each, adaptive", Limit: limit.Adaptive{}, Subset: 32},
		Decisions{Title: "64 each, adaptive", Limit: limit.Adaptive{}, Subset: 64},
	}
}
