package pool

import (
	"context"
	"time"
)

// Prober finds out whether an upstream takes connections.
type Prober interface {
	Reachable(ctx context.Context, address string) bool
}

// probeInterval is the time between two looks for upstreams to probe.
const probeInterval = time.Second

// Probe tries upstreams that were ejected, so that callers' requests need not, until ctx ends; done is closed
// at the end.
func (pl *Pool) Probe(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for pl.timers.Sleep(ctx, probeInterval) == nil {
		for _, target := range pl.toProbe() {
			reached := pl.prober.Reachable(ctx, target.address)
			pl.probed(target.name, reached)
		}
	}
}

// probeTarget is an upstream to probe.
type probeTarget struct {
	name    string
	address string
}

func (pl *Pool) toProbe() []probeTarget {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := []probeTarget{}
	for _, name := range pl.decider.ProbeTargets(pl.timers.Now()) {
		list = append(list, probeTarget{name: name, address: pl.upstreams[name].Address})
	}
	return list
}

func (pl *Pool) probed(name string, reached bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deliver(pl.decider.RecordProbe(pl.timers.Now(), name, reached, nil))
}
