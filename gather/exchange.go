package gather

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// exchangeInterval is how often the loads of a pool are exchanged.
	exchangeInterval = 200 * time.Millisecond
	// activeWindow is how long after its last job a queue still sends its load.
	activeWindow = time.Second
)

// ExchangeLoads periodically exchanges the loads of this instance's queues with the owners of the same pools' queues in
// other failure domains, and fetches the loads of the pools of later stages, until ctx ends; done is closed at the end.
func (cl *Client) ExchangeLoads(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer cl.Close()
	for cl.timers.Sleep(ctx, exchangeInterval) == nil {
		for key, load := range cl.gatherer.ActiveLoads(cl.timers.Now().Add(-activeWindow)) {
			own := load.toWire(cl.timers.Now(), key.FailureDomain)
			cl.updateLoads(key.Pool, []*wire.PoolLoad{own})
			for _, domain := range cl.FailureDomains(key.Pool) {
				if domain != key.FailureDomain {
					cl.exchangeLoad(ctx, QueueKey{Pool: key.Pool, FailureDomain: domain}, own, "")
				}
			}
			for _, later := range cl.gatherer.Upcoming(key) {
				cl.exchangeLoad(ctx, QueueKey{Pool: later.Pool, FailureDomain: key.FailureDomain}, nil, key.FailureDomain)
			}
		}
	}
}

// exchangeLoad sends own, if it is not nil, to the owner of a queue and caches the load in the owner's reply: the load of
// the pool's queue in wantedDomain or, if wantedDomain is empty, of any active queue of the pool at that owner.
func (cl *Client) exchangeLoad(ctx context.Context, key QueueKey, own *wire.PoolLoad, wantedDomain string) {
	owner, found := cl.findOwner(key, nil)
	if !found {
		return
	}
	if owner.ID == cl.self {
		if wantedDomain != "" {
			cl.updateLoads(key.Pool, []*wire.PoolLoad{cl.gatherer.Load(key).toWire(cl.timers.Now(), wantedDomain)})
		}
		return
	}
	link, err := cl.link(owner.Address)
	if err != nil {
		return
	}
	cl.gatherer.background.Go(func() {
		limited, cancel := context.WithTimeout(ctx, acceptTimeout)
		defer cancel()
		reply, err := link.Load(limited, &wire.LoadRequest{Pool: key.Pool, Load: own, FailureDomain: wantedDomain})
		if err != nil {
			// An unresponsive owner is detected when the next job is submitted to it.
			return
		}
		if reply.GetLoad() != nil {
			cl.receiveLoads(key.Pool, []*wire.PoolLoad{reply.GetLoad()})
		}
	})
}
