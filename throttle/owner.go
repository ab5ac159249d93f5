package throttle

import (
	"time"

	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/permit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// IssuePermit decides on a request for a permit, of this or another instance.
func (th *Throttle) IssuePermit(request *wire.PermitRequest) *wire.PermitReply {
	th.merge([]*wire.UpstreamNotice{request.GetLimit()})
	incarnation := incarnationOf(request.GetLimit())
	now := th.Timers.Now()
	if th.owner(incarnation.ID, request.GetFailureDomain()).ID != th.Self {
		return &wire.PermitReply{Outcome: wire.PermitOutcome_PermitNotOwner}
	}
	share := th.Fleet.Share(lostWithin)
	th.mu.Lock()
	defer th.mu.Unlock()
	limit := th.limitFor(now, incarnation, request)
	known, _ := th.find(incarnation)
	if !limit.isSet() {
		return &wire.PermitReply{Outcome: wire.PermitOutcome_PermitNotNeeded, Limit: th.toWire(known)}
	}
	reply := &wire.PermitReply{Epoch: th.epoch, Limit: th.toWire(known)}
	th.decide(now, incarnation, limit, share, reply, time.Duration(request.GetMaxWaitMicros())*time.Microsecond)
	if limit.coldLeft > 0 {
		th.countCold(reply.GetOutcome())
	}
	if !limit.isAnnounced && !limit.isBrittle {
		// No permit is needed after the end of the cold time.
		reply.WaitMicros = min(reply.GetWaitMicros(), limit.coldLeft.Microseconds())
	}
	return reply
}

// limit bounds the requests to an upstream.
type limit struct {
	// perSecond is the lowest of the rates that apply: the announced one, the one for which a brittle upstream is estimated to have room, and
	// the one of a cold upstream.
	perSecond float64
	// isAnnounced is set if the upstream has announced a rate limit.
	isAnnounced bool
	isBrittle   bool
	// coldLeft is how long the upstream still is cold, or 0.
	coldLeft time.Duration
}

func (lm limit) isSet() bool { return lm.isAnnounced || lm.isBrittle || lm.coldLeft > 0 }

// limitFor returns the limit of an upstream with which to decide on a request for a permit. The caller holds the lock.
func (th *Throttle) limitFor(now time.Time, incarnation roster.Incarnation, request *wire.PermitRequest) limit {
	found := limit{}
	found.perSecond, found.isBrittle = th.brittleRate(now, incarnation)
	if entry, isKnown := th.table.Find(noticetable.RateLimit, incarnation); isKnown && !entry.Ended {
		found.isAnnounced = true
		found.perSecond = min(found.perSecond, entry.PerSecond)
	}
	perSecond, left := th.coldLimit(now, incarnation, request)
	if found.coldLeft = left; left > 0 {
		found.perSecond = min(found.perSecond, perSecond)
	}
	return found
}

// decide fills in the reply to a request for a permit whose sender may wait for maxWait; share is the part of the limit that this instance
// issues. The caller holds the lock.
func (th *Throttle) decide(now time.Time, incarnation roster.Incarnation, bound limit, share float64, reply *wire.PermitReply, maxWait time.Duration) {
	if left := settleTime - now.Sub(th.startedAt); left > 0 {
		reply.WaitMicros = left.Microseconds()
		return
	}
	if wait := th.headroom.Wait(now, incarnation.ID); bound.isBrittle && wait > 0 {
		reply.WaitMicros = wait.Microseconds()
		return
	}
	take := th.ledger.Take
	if bound.isBrittle {
		take, maxWait = th.ledger.TakeEvenly, min(maxWait, maxBrittleWait)
	}
	switch decision := take(now, incarnation, bound.perSecond, share, maxWait).(type) {
	case permit.Granted:
		th.headroom.Grant(now, incarnation.ID)
		reply.Outcome, reply.Number, reply.WaitMicros = wire.PermitOutcome_PermitGranted, decision.Number, decision.Wait.Microseconds()
	case permit.Denied:
		reply.WaitMicros = decision.Wait.Microseconds()
	}
}

// ApplyReport applies what an answer to this or another instance announced. If the request had a permit that was issued since
// the last change of the limit, its answer is newer than that change; otherwise it can only set a limit or lower it.
func (th *Throttle) ApplyReport(report *wire.LimitReport) *wire.LimitReply {
	announced := th.fromWire(report.GetAnnounced())
	incarnation := announced.Incarnation
	if th.owner(incarnation.ID, report.GetFailureDomain()).ID != th.Self {
		return &wire.LimitReply{}
	}
	announced.At = th.Fleet.Time()
	if announced.Kind == noticetable.Brittle {
		return th.applyBrittle(announced, report)
	}
	share := th.Fleet.Share(lostWithin)
	th.mu.Lock()
	known, found := th.table.Find(noticetable.RateLimit, incarnation)
	isActive := found && !known.Ended
	isNewer := report.GetEpoch() == th.epoch && th.ledger.IsNewer(incarnation, report.GetNumber())
	changes := false
	switch {
	case announced.Ended:
		changes = isActive && isNewer
	case !isActive:
		changes = true
	default:
		changes = announced.PerSecond < known.PerSecond || isNewer && announced.PerSecond != known.PerSecond
	}
	if changes {
		th.table.Merge(announced)
		th.ledger.Changed(th.Timers.Now(), incarnation, announced.PerSecond)
		th.publish()
		known = announced
	}
	if !known.Ended {
		th.ledger.Open(th.Timers.Now(), incarnation, known.PerSecond, share)
	}
	th.mu.Unlock()
	if changes {
		th.recordChange(announced)
		th.Fleet.TriggerHeartbeat()
	}
	return &wire.LimitReply{Limit: th.toWire(known)}
}

// News returns what upstreams have said for a heartbeat, all of it for a full exchange.
func (th *Throttle) News(full bool) []*wire.UpstreamNotice {
	th.mu.Lock()
	defer th.mu.Unlock()
	th.messages++
	entries := th.table.TakeNews(th.messages)
	if full {
		entries = th.table.All()
	}
	list := []*wire.UpstreamNotice{}
	for _, entry := range entries {
		list = append(list, th.toWire(entry))
	}
	return list
}

// AddNews adds what another instance knows of upstreams.
func (th *Throttle) AddNews(news []*wire.UpstreamNotice) {
	if th.merge(news) {
		th.Fleet.TriggerHeartbeat()
	}
}

// merge adds what another instance knows and reports whether any of it was new.
func (th *Throttle) merge(news []*wire.UpstreamNotice) bool {
	changed, others, newlyCold := []noticetable.Entry{}, false, []roster.Incarnation{}
	th.mu.Lock()
	for _, item := range news {
		entry := th.fromWire(item)
		if entry.Incarnation.ID == "" || entry.At.IsZero() {
			continue
		}
		if entry.Kind == noticetable.Cold && th.isForgotten(entry) {
			continue
		}
		if entry.Kind != noticetable.RateLimit {
			others = th.table.Merge(entry) || others
			continue
		}
		known, found := th.table.Find(entry.Kind, entry.Incarnation)
		if !th.table.Merge(entry) || !found && entry.Ended {
			continue
		}
		if !found || known.Ended != entry.Ended || known.PerSecond != entry.PerSecond {
			th.ledger.Changed(th.Timers.Now(), entry.Incarnation, entry.PerSecond)
			changed = append(changed, entry)
		}
	}
	if len(changed) > 0 || others {
		newlyCold = th.publish()
	}
	th.mu.Unlock()
	th.recordCold(newlyCold, "peer")
	for _, entry := range changed {
		th.recordChange(entry)
	}
	return len(changed) > 0 || others
}
