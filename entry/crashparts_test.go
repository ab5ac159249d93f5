package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/requestbody"
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

// lateArrivals returns how many requests reached upstreams later than newsBound after the fifth crash.
func (pc *partCrashes) lateArrivals() int {
	if len(pc.crashes) < crashesUntilBound {
		return 0
	}
	late := 0
	for _, at := range pc.arrivals {
		if at.After(pc.crashes[crashesUntilBound-1].Add(newsBound)) {
			late++
		}
	}
	return late
}

// sendBadPart sends requests that have one part in common, which crashes upstreams, through different instances.
func (sk *soak) sendBadPart() {
	part := fmt.Sprint("bad-", len(sk.badParts))
	sk.badParts = append(sk.badParts, part)
	us := sk.fleet.upstreams
	us.mu.Lock()
	us.crashParts[part] = &partCrashes{}
	us.mu.Unlock()
	holder := sk.keyHolders[len(sk.keyHolders)-1]
	sk.group.Go(func() {
		for at := range badPartRequests {
			nodes := sk.fleet.live()
			id := fmt.Sprint(part, "-", at)
			request := &gateway.Request{
				ID: id, Method: http.MethodPost, Host: "h", Path: "/stream/" + id, APIKey: "key-" + holder, Body: requestbody.Of([]byte(id)),
				Arrived: time.Now(), CallerTimeout: requestTimeout, Prompt: promptOf("first-"+holder, part, "own-"+id),
			}
			sk.group.Go(func() { sk.serve(context.Background(), nodes[at%len(nodes)], request) })
			time.Sleep(badPartInterval)
		}
	})
}

const (
	// badPartRequests is the number of requests with one part that crashes upstreams, badPartInterval the time between two.
	badPartRequests = 40
	badPartInterval = 300 * time.Millisecond
)

// checkBadParts checks that requests with a part that crashes upstreams no longer reached them once its crashes were known.
func (sk *soak) checkBadParts(us *upstreamSet) {
	for _, part := range sk.badParts {
		if late := us.crashParts[part].lateArrivals(); late > maxLateArrivals {
			sk.violations = append(sk.violations, fmt.Sprintf("%d requests with part %s reached upstreams after its crashes", late, part))
		}
	}
}
