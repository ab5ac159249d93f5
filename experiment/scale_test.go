package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
)

// TestCrashedUpstreamIsLeastLoaded guards against a policy with full knowledge that sends its calls to a crashed upstream,
// which has no calls.
func TestCrashedUpstreamIsLeastLoaded(t *testing.T) {
	pool := &document.Pool{Name: "engines"}
	sim := &simulation{random: rand.New(rand.NewPCG(1, 2)), upstreams: map[string]*fakeUpstream{}}
	add := func(name string, calls int, crashed bool) {
		up := &document.Upstream{Name: name, Pool: pool}
		pool.Upstreams = append(pool.Upstreams, up)
		sim.upstreams[name] = newFakeUpstream(sim, up)
		for range calls {
			sim.upstreams[name].running[&call{}] = true
		}
		sim.upstreams[name].crashed = crashed
	}
	add("crashed", 0, true)
	add("busy", 2, false)
	add("idle", 1, false)
	for range 10 {
		must.Eq(t, "idle", sim.leastLoaded(pool))
	}
	for _, up := range sim.upstreams {
		up.crashed = true
	}
	must.Eq(t, "crashed", sim.leastLoaded(pool))
}
