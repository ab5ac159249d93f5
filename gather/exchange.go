package gather

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// exchangeInterval is how often gatherers of one pool tell each other their loads.
	exchangeInterval = 200 * time.Millisecond
	// exchangeAfterWork is how long a place without new work still tells its load.
	exchangeAfterWork = time.Second
)

// ExchangeLoads tells the gatherers of the same pools the own loads until ctx ends; done is closed at the end.
func (cl *Client) ExchangeLoads(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer cl.Close()
	for cl.timers.Sleep(ctx, exchangeInterval) == nil {
		for at, load := range cl.gatherer.ActiveLoads(cl.timers.Now().Add(-exchangeAfterWork)) {
			own := load.toWire(at.FailureDomain)
			cl.learn(at.Pool, []*wire.PoolLoad{own})
			for _, domain := range cl.FailureDomains(at.Pool) {
				if domain != at.FailureDomain {
					cl.tell(ctx, QueueKey{Pool: at.Pool, FailureDomain: domain}, own, "")
				}
			}
			for _, later := range cl.gatherer.Upcoming(at) {
				cl.tell(ctx, QueueKey{Pool: later.Pool, FailureDomain: at.FailureDomain}, nil, at.FailureDomain)
			}
		}
	}
}

// tell sends an own load, if there is one, to a place's gatherer and takes its load, or that of the wanted domain.
func (cl *Client) tell(ctx context.Context, at QueueKey, own *wire.PoolLoad, wanted string) {
	owner, found := cl.owner(at, nil)
	if !found {
		return
	}
	if owner.ID == cl.self {
		if wanted != "" {
			cl.learn(at.Pool, []*wire.PoolLoad{cl.gatherer.Load(at).toWire(wanted)})
		}
		return
	}
	link, err := cl.link(owner.Address)
	if err != nil {
		return
	}
	cl.gatherer.parts.Go(func() {
		limited, cancel := context.WithTimeout(ctx, acceptTimeout)
		defer cancel()
		reply, err := link.Load(limited, &wire.LoadRequest{Pool: at.Pool, Load: own, FailureDomain: wanted})
		if err != nil {
			// A silent gatherer is found by the next work that is handed to it.
			return
		}
		if reply.GetLoad() != nil {
			cl.learn(at.Pool, []*wire.PoolLoad{reply.GetLoad()})
		}
	})
}
