package throttle

import (
	"fmt"
	"math"
	"time"

	"github.com/turmericdoor/turmericdoor/headroom"
	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// maxBrittleRate is the rate of a brittle upstream that has not rejected a request yet, in requests per second.
	maxBrittleRate = 1e6
	// maxBrittleWait bounds how long requests wait for a permit that is issued: they are sent although the rate is lowered meanwhile.
	maxBrittleWait = 20 * time.Millisecond
	// announcedChange is the factor by which an estimated rate must change before it is announced to the other instances.
	announcedChange = 1.15
)

// observeBrittle tells the owner of an upstream's permits that the upstream is brittle or no longer so, and which requests it rejects.
func (th *Throttle) observeBrittle(upstream *roster.Upstream, issued sent, seen notice.Notice) {
	incarnation := upstream.Incarnation()
	_, isBrittle := (*th.brittle.Load())[incarnation]
	report := &wire.LimitReport{FailureDomain: upstream.FailureDomain, Number: issued.number, Epoch: issued.epoch}
	entry := noticetable.Entry{Kind: noticetable.Brittle, Incarnation: incarnation}
	switch {
	case seen.Brittle != nil:
		if isBrittle && !seen.IsRejection {
			return
		}
		th.expectBrittle(upstream, maxBrittleRate)
		report.Rejected, report.Rejections = seen.IsRejection, seen.Brittle.Rejections
	case !isBrittle || issued.number == 0:
		return
	default:
		entry.Ended = true
	}
	report.Announced = th.toWire(entry)
	th.report(report)
}

// expectFromPool takes an upstream for brittle of which nothing is known, since others of its pool are.
func (th *Throttle) expectFromPool(upstream *roster.Upstream, perSecond float64) {
	th.mu.Lock()
	_, isKnown := th.table.Find(noticetable.Brittle, upstream.Incarnation())
	th.mu.Unlock()
	if !isKnown {
		th.expectBrittle(upstream, perSecond)
	}
}

// expectBrittle takes an upstream for brittle at once, with a rate for the beginning, and tells the other instances.
func (th *Throttle) expectBrittle(upstream *roster.Upstream, perSecond float64) {
	incarnation := upstream.Incarnation()
	if _, known := (*th.brittle.Load())[incarnation]; known {
		return
	}
	entry := noticetable.Entry{Kind: noticetable.Brittle, Incarnation: incarnation, PerSecond: perSecond, At: th.Fleet.Time()}
	th.mu.Lock()
	isNews := th.table.Merge(entry)
	th.publish()
	th.mu.Unlock()
	if isNews {
		th.recordBrittle(entry)
		th.Fleet.TriggerHeartbeat()
	}
}

// applyBrittle applies what an answer of a brittle upstream to this or another instance says.
func (th *Throttle) applyBrittle(announced noticetable.Entry, report *wire.LimitReport) *wire.LimitReply {
	now, incarnation := th.Timers.Now(), announced.Incarnation
	th.mu.Lock()
	known, found := th.table.Find(noticetable.Brittle, incarnation)
	isActive := found && !known.Ended
	changes := false
	if announced.Ended {
		isNewer := report.GetEpoch() == th.epoch && th.ledger.IsNewer(incarnation, report.GetNumber())
		changes = isActive && isNewer
		if changes {
			th.headroom.End(incarnation.ID)
		}
	} else {
		changes, announced.PerSecond = th.updateBrittle(now, known, isActive, report)
	}
	if changes {
		th.table.Merge(announced)
		th.ledger.Changed(now, incarnation, min(announced.PerSecond, maxBrittleRate))
		th.publish()
	}
	th.mu.Unlock()
	if changes {
		th.recordBrittle(announced)
		th.Fleet.TriggerHeartbeat()
	}
	return &wire.LimitReply{}
}

// updateBrittle updates the estimate for a brittle upstream, and returns its rate and whether to announce it. The caller holds the lock.
func (th *Throttle) updateBrittle(now time.Time, known noticetable.Entry, isActive bool, report *wire.LimitReport) (announces bool, perSecond float64) {
	id, before := report.GetAnnounced().GetUpstream(), maxBrittleRate
	if isActive {
		before = known.PerSecond
	}
	th.headroom.Announce(id, report.GetRejections(), estimateOf(before))
	if report.GetRejected() {
		th.headroom.Reject(now, id)
	}
	rate, _ := th.headroom.Rate(now, id)
	perSecond = min(rate, maxBrittleRate)
	return !isActive || perSecond > before*announcedChange || perSecond < before/announcedChange, perSecond
}

// estimateOf returns the estimate for an entry's rate.
func estimateOf(perSecond float64) float64 {
	if perSecond >= maxBrittleRate {
		return headroom.Unlimited
	}
	return perSecond
}

// brittleRate returns the rate for which a brittle upstream is estimated to have room, or false if it is not brittle. The caller holds
// the lock.
func (th *Throttle) brittleRate(now time.Time, incarnation roster.Incarnation) (float64, bool) {
	entry, found := th.table.Find(noticetable.Brittle, incarnation)
	if !found || entry.Ended {
		return math.Inf(1), false
	}
	rate, isKnown := th.headroom.Rate(now, incarnation.ID)
	if !isKnown {
		// Another instance owned the permits before, or nothing but the pool's other upstreams is known.
		rate = entry.PerSecond
	}
	return min(rate, maxBrittleRate), true
}

// publishBrittle makes visible which upstreams are brittle; the caller holds the lock.
func (th *Throttle) publishBrittle() {
	rates, pools := th.table.BrittleRates(), map[string]float64{}
	for incarnation, rate := range rates {
		registered := th.Find(incarnation.ID)
		if registered == nil || registered.Incarnation() != incarnation {
			continue
		}
		if lowest, found := pools[registered.Pool]; !found || rate < lowest {
			pools[registered.Pool] = rate
		}
	}
	th.brittle.Store(&rates)
	th.brittlePools.Store(&pools)
}

// recordBrittle records in the time line that an upstream is brittle, at which rate, or no longer so.
func (th *Throttle) recordBrittle(entry noticetable.Entry) {
	event := &wire.Event{Kind: wire.EventKind_EventUpstreamBrittle, Upstream: entry.Incarnation.ID, Detail: fmt.Sprintf("rate=%.1f", entry.PerSecond)}
	if entry.Ended {
		event = &wire.Event{Kind: wire.EventKind_EventUpstreamSturdy, Upstream: entry.Incarnation.ID}
	}
	th.Events.Record(event)
}
