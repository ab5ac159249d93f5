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

// partOf returns the part of a pool that the instance at a place uses.
func (wd *world) partOf(pool *document.Pool, place, size int) *document.Pool {
	if size == 0 || size >= len(pool.Upstreams) {
		return pool
	}
	ups, instances := []subset.Endpoint{}, []subset.Endpoint{}
	for _, up := range pool.Upstreams {
		ups = append(ups, subset.Endpoint{Name: up.Name, FailureDomain: up.FailureDomain})
	}
	for at := range wd.instances {
		instances = append(instances, subset.Endpoint{Name: fmt.Sprint("i", at), FailureDomain: wd.domainOf(at)})
	}
	part := *pool
	part.Upstreams = nil
	for _, name := range subset.Select(instances[place%wd.instances], instances, ups, size) {
		part.Upstreams = append(part.Upstreams, wd.document.Upstreams[name])
	}
	return &part
}

// domainOf is the failure domain of the instance at a place.
func (wd *world) domainOf(place int) string {
	domains := failureDomains(wd.document)
	return domains[place%len(domains)]
}

// leastLoaded returns the live upstream with the least work.
func (wd *world) leastLoaded(pool *document.Pool) string {
	best := pool.Upstreams[0].Name
	offset := wd.random.IntN(len(pool.Upstreams))
	for at := range pool.Upstreams {
		name := pool.Upstreams[(at+offset)%len(pool.Upstreams)].Name
		if wd.upstreams[name].load() < wd.upstreams[best].load() {
			best = name
		}
	}
	return best
}

// largeDocument makes one pool of engines and one pipeline, in one failure domain.
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

// WriteScaleTable compares what instances that know only their own calls and answers lose against full knowledge, at
// several sizes of the fleet and shares of capacity.
func WriteScaleTable(out io.Writer) {
	fmt.Fprintln(out, "instances engines load% policy               in-time%  p50-ms  p95-ms  p99-ms")
	for _, size := range []struct{ instances, engines int }{{8, 10}, {95, 150}, {380, 600}} {
		parsed := largeDocument(size.engines)
		for _, load := range []int64{60, 80, 90} {
			scenario := &Scenario{Name: "scale", Config: &plan.Scenario{Title: "scale", DurationMs: 8000, LoadPercent: load}}
			for _, policy := range scalePolicies() {
				result := Run(parsed, scenario, policy, size.instances, 1)
				fmt.Fprintf(out, "%9d %7d %5d %-20s %8.2f %7d %7d %7d\n", size.instances, size.engines, load, policy.Name(),
					100*result.Urgent("Urgent"), result.Latency(0.5).Milliseconds(), result.Latency(0.95).Milliseconds(), result.Latency(0.99).Milliseconds())
			}
		}
	}
}

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
