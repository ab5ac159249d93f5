package throttle

import (
	"time"

	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/permit"
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
	entry, found := th.table.Find(noticetable.RateLimit, incarnation)
	rate, isBrittle := th.brittleRate(now, incarnation)
	if isLimited := found && !entry.Ended; isLimited {
		rate = min(rate, entry.PerSecond)
	} else if !isBrittle {
		return &wire.PermitReply{Outcome: wire.PermitOutcome_PermitNotNeeded, Limit: toWire(entry)}
	}
	reply := &wire.PermitReply{Epoch: th.epoch, Limit: toWire(entry)}
	if left := settleTime - now.Sub(th.startedAt); left > 0 {
		reply.WaitMicros = left.Microseconds()
		return reply
	}
	if wait := th.headroom.Wait(now, incarnation.ID); isBrittle && wait > 0 {
		reply.WaitMicros = wait.Microseconds()
		return reply
	}
	maxWait := time.Duration(request.GetMaxWaitMicros()) * time.Microsecond
	take := th.ledger.Take
	if isBrittle {
		take, maxWait = th.ledger.TakeEvenly, min(maxWait, maxBrittleWait)
	}
	switch decision := take(now, incarnation, rate, share, maxWait).(type) {
	case permit.Granted:
		th.headroom.Grant(now, incarnation.ID)
		reply.Outcome, reply.Number, reply.WaitMicros = wire.PermitOutcome_PermitGranted, decision.Number, decision.Wait.Microseconds()
	case permit.Denied:
		reply.WaitMicros = decision.Wait.Microseconds()
	}
	return reply
}

// ApplyReport applies what an answer to this or another instance announced. If the request had a permit that was issued since
// the last change of the limit, its answer is newer than that change; otherwise it can only set a limit or lower it.
func (th *Throttle) ApplyReport(report *wire.LimitReport) *wire.LimitReply {
	announced := fromWire(report.GetAnnounced())
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
	return &wire.LimitReply{Limit: toWire(known)}
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
		list = append(list, toWire(entry))
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
	changed, others := []noticetable.Entry{}, false
	th.mu.Lock()
	for _, item := range news {
		entry := fromWire(item)
		if entry.Incarnation.ID == "" || entry.At.IsZero() {
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
		th.publish()
	}
	th.mu.Unlock()
	for _, entry := range changed {
		th.recordChange(entry)
	}
	return len(changed) > 0 || others
}
