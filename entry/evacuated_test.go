package entry_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/replica"
)

const (
	// evacuateBound is how long after the store acknowledged an evacuation its upstreams may receive work.
	evacuateBound = 5 * time.Second
	// sentBefore is how long a call that was sent before an instance knew of an evacuation may be on its way.
	sentBefore = 20 * time.Millisecond
)

// evacuation is an evacuated failure domain, and the calls that reached its upstreams nevertheless.
type evacuation struct {
	domain       string
	acknowledged time.Time
	// knownAt is when all instances were seen to know of it, or zero.
	knownAt time.Time
	// missingUntil is until when instances hold it while the store, which came back older, lacks its row, or zero.
	missingUntil time.Time
	// calls are those after acknowledged, by kind.
	calls []evacuatedCall
}

// evacuatedCall is a call that reached an upstream of an evacuated failure domain.
type evacuatedCall struct {
	at   time.Time
	kind string
}

// late returns the calls that came later than evacuateBound, or after all instances knew of the evacuation.
func (ev *evacuation) late() []string {
	until, list := ev.acknowledged.Add(evacuateBound), []string{}
	if !ev.knownAt.IsZero() && ev.knownAt.Add(sentBefore).Before(until) {
		until = ev.knownAt.Add(sentBefore)
	}
	for _, each := range ev.calls {
		if each.at.After(until) {
			list = append(list, fmt.Sprintf("%s after %v", each.kind, each.at.Sub(ev.acknowledged)))
		}
	}
	return list
}

// recordEvacuated records a call that reached an upstream, and checks that its failure domain is not evacuated. The caller holds the lock.
func (us *upstreamSet) recordEvacuated(nd *node, up *upstream, kind string) {
	ev := us.evacuations[up.FailureDomain]
	if ev == nil {
		return
	}
	now := time.Now()
	ev.calls = append(ev.calls, evacuatedCall{at: now, kind: kind})
	isLost := !ev.missingUntil.IsZero() && now.After(ev.missingUntil)
	if !isLost && now.After(us.fleet.store.knownBy(ev.acknowledged, leaveBound)) && nd.hasConverged() {
		us.violate("instance %s sent %s to %s, whose failure domain was evacuated %v before", nd.id, kind, up.ID, now.Sub(ev.acknowledged))
	}
}

// kindOf returns the kind of a call with a request.
func kindOf(exchange gateway.UpstreamRequest) string {
	if exchange.LastEventID != "" {
		return "resumed stream"
	}
	return "request"
}

// evacuate writes the row that evacuates a failure domain.
func (us *upstreamSet) evacuate(domain string) *evacuation {
	at := us.fleet.store.put(configurations, evacuationRow(domain, false))
	us.mu.Lock()
	defer us.mu.Unlock()
	us.evacuations[domain] = &evacuation{domain: domain, acknowledged: at}
	return us.evacuations[domain]
}

// withdraw removes the row that evacuates a failure domain. Calls count until then.
func (us *upstreamSet) withdraw(domain string) {
	us.mu.Lock()
	delete(us.evacuations, domain)
	us.mu.Unlock()
	us.fleet.store.put(configurations, evacuationRow(domain, true))
}

func evacuationRow(domain string, deleted bool) replica.Row {
	row := replica.Row{Key: evacuationKey + domain, Deleted: deleted}
	if !deleted {
		row.Value = []byte("{}")
	}
	return row
}

const (
	// One of evacuationShare steps, on average, begins an evacuation; it lasts from minEvacuation, for a random time up to twice that.
	evacuationShare = 100
	minEvacuation   = 4 * time.Second
	// heldTime is how long instances hold an evacuation that the store, which came back older, lacks.
	heldTime = 5 * time.Second
)

// startEvacuation evacuates a failure domain for some seconds, unless one is evacuated; its random numbers are its own, so that those of the
// faults stay as they are.
func (sk *soak) startEvacuation() {
	if sk.evacuationRandom == nil {
		sk.evacuationRandom = sk.fleet.random.Fork("evacuation")
	}
	if sk.variant.neverEvacuates || sk.evacuationRandom.IntN(evacuationShare) > 0 {
		return
	}
	if down, _ := sk.fleet.store.state(); down || !sk.isEvacuating.CompareAndSwap(false, true) {
		return
	}
	domain, length := domains[sk.evacuationRandom.IntN(len(domains))], minEvacuation+sk.evacuationRandom.DurationUpTo(minEvacuation)
	sk.faults["Evacuation"]++
	sk.fleet.upstreams.evacuate(domain)
	sk.group.Go(func() {
		time.Sleep(length)
		sk.awaitStore()
		sk.fleet.upstreams.withdraw(domain)
		sk.isEvacuating.Store(false)
	})
}

// evacuationsLost records that the store has come back from a copy that lacks the rows of evacuations, except those which instances need not
// have read before: they count from when they are written again.
func (us *upstreamSet) evacuationsLost(taken storeCopy) {
	us.mu.Lock()
	defer us.mu.Unlock()
	for domain, ev := range us.evacuations {
		if taken.evacuates(domain) {
			continue
		}
		ev.missingUntil = time.Now().Add(heldTime)
		if time.Since(ev.acknowledged) < unknownTime+awayTime {
			ev.missingUntil = time.Now()
		}
	}
}

// evacuates reports whether the copy holds the row that evacuates a failure domain.
func (sc *storeCopy) evacuates(domain string) bool {
	return slices.ContainsFunc(sc.rows[configurations], func(row replica.Row) bool { return row.Key == evacuationKey+domain && !row.Deleted })
}

// writeEvacuationsAgain writes the rows of evacuations again, or removes those of evacuations that were withdrawn.
func (us *upstreamSet) writeEvacuationsAgain() {
	for _, domain := range domains {
		us.mu.Lock()
		ev := us.evacuations[domain]
		us.mu.Unlock()
		at := us.fleet.store.put(configurations, evacuationRow(domain, ev == nil))
		if ev == nil {
			continue
		}
		us.mu.Lock()
		if !ev.missingUntil.IsZero() && at.After(ev.missingUntil) {
			ev.acknowledged = at
		}
		ev.missingUntil = time.Time{}
		us.mu.Unlock()
	}
}

// recordArrival records a received request or item and checks that the upstream was not leaving.
func (us *upstreamSet) recordArrival(nd *node, up *upstream, key string) {
	us.arrivalCounts[key]++
	us.receivedIn[up.FailureDomain] = append(us.receivedIn[up.FailureDomain], time.Now())
	us.arrivals[up.Pool] = append(us.arrivals[up.Pool], arrival{at: time.Now(), repeated: us.arrivalCounts[key] > 1})
	if !up.leftAt.IsZero() && time.Now().After(us.fleet.store.knownBy(up.leftAt, leaveBound)) && nd.hasConverged() {
		us.violate("instance %s sent %s to %s, which left %v ago", nd.id, key, up.ID, time.Since(up.leftAt))
	}
}
