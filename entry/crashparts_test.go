package entry_test

import (
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// partCrashes is what requests with one part of their prompts did to the upstreams: when upstreams crashed, and when
// requests reached them from instances that had converged.
type partCrashes struct {
	crashes  []time.Time
	arrivals []time.Time
}

// crashPartOf returns what is recorded of the first part of a prompt that crashes upstreams, or nil. The last part of a
// prompt is the request's own.
func (us *upstreamSet) crashPartOf(exchange gateway.UpstreamRequest) *partCrashes {
	parts := exchange.Request.Prompt.Parts
	for at := range max(len(parts)-1, 0) {
		if found := us.crashParts[parts[at].ID]; found != nil {
			return found
		}
	}
	return nil
}

// recordPart records the arrival of a request that crashes its upstream; the caller holds the lock.
func (us *upstreamSet) recordPart(nd *node, exchange gateway.UpstreamRequest) {
	if found := us.crashPartOf(exchange); found != nil && nd.hasConverged() {
		found.arrivals = append(found.arrivals, time.Now())
	}
}

// crashOnPart crashes an upstream that begins to answer a request with such a part, before or after the first event.
func (us *upstreamSet) crashOnPart(up *upstream, exchange gateway.UpstreamRequest, afterEvent bool) {
	us.mu.Lock()
	found := us.crashPartOf(exchange)
	crashes := found != nil && !up.crashed && us.crashAfterEvent == afterEvent
	if crashes {
		found.crashes = append(found.crashes, time.Now())
	}
	us.mu.Unlock()
	if crashes {
		us.crash(up)
	}
}
