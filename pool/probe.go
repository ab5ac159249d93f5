package pool

import (
	"context"
	"time"
)

// Prober checks whether an upstream accepts connections.
type Prober interface {
	Reachable(ctx context.Context, address string) bool
}

// probeInterval is the time between two rounds of probes.
const probeInterval = time.Second

// Probe probes upstreams whose ejection has ended, so that no caller's request has to be the first attempt, until
// ctx ends; it closes done at the end.
func (pl *Pool) Probe(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for pl.timers.Sleep(ctx, probeInterval) == nil {
		for _, target := range pl.probeTargets() {
			reached := pl.prober.Reachable(ctx, target.address)
			pl.recordProbe(target.name, reached)
		}
	}
}

// probeTarget is an upstream to probe.
type probeTarget struct {
	name    string
	address string
}

func (pl *Pool) probeTargets() []probeTarget {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := []probeTarget{}
	for _, name := range pl.dispatcher.ProbeTargets(pl.timers.Now()) {
		list = append(list, probeTarget{name: name, address: pl.upstreams[name].Address})
	}
	return list
}

func (pl *Pool) recordProbe(name string, reached bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deliver(pl.dispatcher.RecordProbe(pl.timers.Now(), name, reached, nil))
}
