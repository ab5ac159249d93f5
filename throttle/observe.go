package throttle

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// observe applies what the answer to a request says about the upstream.
func (th *Throttle) observe(upstream *roster.Upstream, issued sent, seen notice.Notice) {
	if seen.Unreadable != "" {
		th.Events.Record(&wire.Event{Kind: wire.EventKind_EventNoticeUnreadable, Upstream: upstream.ID, Stage: upstream.Pool, Detail: seen.Unreadable})
	}
	if seen.IsLeaving {
		th.markLeaving(upstream.Incarnation())
	}
	th.observePause(upstream, seen.Pause)
	th.observeBrittle(upstream, issued, seen)
	th.observeLimit(upstream, issued, seen.Limit)
}

// observeLimit applies the rate limit that the answer to a request announces, and tells the owner of the upstream's permits if it
// is news.
func (th *Throttle) observeLimit(upstream *roster.Upstream, issued sent, announced ratelimit.Announcement) {
	incarnation := upstream.Incarnation()
	current, isActive := th.Limits()[incarnation]
	report := &wire.LimitReport{FailureDomain: upstream.FailureDomain, Number: issued.number, Epoch: issued.epoch}
	switch announced := announced.(type) {
	case ratelimit.None:
		if !isActive || issued.number == 0 {
			return
		}
		report.Announced = th.toWire(noticetable.Entry{Incarnation: incarnation, Ended: true})
	case ratelimit.Limit:
		if isActive && announced.PerSecond == current {
			return
		}
		if !isActive || announced.PerSecond < current {
			th.set(incarnation, announced.PerSecond)
		}
		report.Announced = th.toWire(noticetable.Entry{Incarnation: incarnation, PerSecond: announced.PerSecond})
	case ratelimit.Invalid:
		th.Events.Record(&wire.Event{Kind: wire.EventKind_EventRateLimitUnreadable, Upstream: upstream.ID, Stage: upstream.Pool, Detail: announced.Text})
		return
	}
	th.report(report)
}

// set puts a limit in force at once, and tells the other instances.
func (th *Throttle) set(incarnation roster.Incarnation, perSecond float64) {
	entry := noticetable.Entry{Incarnation: incarnation, PerSecond: perSecond, At: th.Fleet.Time()}
	th.mu.Lock()
	th.table.Merge(entry)
	th.ledger.Changed(th.Timers.Now(), incarnation, perSecond)
	th.publish()
	th.mu.Unlock()
	th.recordChange(entry)
	th.Fleet.TriggerHeartbeat()
}

// report tells the owner of an upstream's permits what an answer announced.
func (th *Throttle) report(report *wire.LimitReport) {
	owner := th.owner(report.GetAnnounced().GetUpstream(), report.GetFailureDomain())
	if owner.ID == th.Self {
		th.ApplyReport(report)
		return
	}
	th.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		// An owner that does not answer learns of the limit from heartbeats, and of its end from a later answer.
		if reply, err := th.Fleet.SendReport(ctx, owner, report); err == nil {
			th.merge([]*wire.UpstreamNotice{reply.GetLimit()})
		}
	})
}

// recordChange records a limit that was announced, changed or ended in the time line.
func (th *Throttle) recordChange(entry noticetable.Entry) {
	event := &wire.Event{Kind: wire.EventKind_EventUpstreamLimited, Upstream: entry.Incarnation.ID}
	if entry.Ended {
		event.Kind = wire.EventKind_EventUpstreamUnlimited
	} else {
		event.Detail = fmt.Sprintf("ratelimit=%s", ratelimit.Limit{PerSecond: entry.PerSecond})
	}
	th.Events.Record(event)
}

// prune drops the notices and pauses of upstreams that are no longer registered.
func (th *Throttle) prune() {
	th.recordCold(th.pruneTables(), "registration")
}

// pruneTables drops the entries of upstreams that are no longer registered, and returns the upstreams that have become cold.
func (th *Throttle) pruneTables() []roster.Incarnation {
	now := th.Fleet.Time()
	th.mu.Lock()
	defer th.mu.Unlock()
	isRegistered := func(incarnation roster.Incarnation) bool {
		registered := th.Find(incarnation.ID)
		return registered != nil && registered.Incarnation() == incarnation
	}
	th.table.Prune(now, isRegistered)
	th.table.PruneCold(th.Timers.Now())
	th.pauses.Prune(th.Timers.Now(), isRegistered)
	newlyCold := th.publish()
	th.ledger.Prune(func(incarnation roster.Incarnation) bool {
		_, isLimited := th.table.Find(noticetable.RateLimit, incarnation)
		_, isBrittle := th.table.Find(noticetable.Brittle, incarnation)
		_, isCold := th.Cold()[incarnation]
		return isLimited || isBrittle || isCold
	})
	return newlyCold
}

func (th *Throttle) toWire(entry noticetable.Entry) *wire.UpstreamNotice {
	converted := &wire.UpstreamNotice{
		Upstream: entry.Incarnation.ID, StartUnixMs: entry.Incarnation.StartUnixMs, PerSecond: entry.PerSecond, Ended: entry.Ended,
		Kind: wire.NoticeKind(entry.Kind), LengthMs: entry.Length.Milliseconds(),
	}
	if entry.Kind == noticetable.Cold {
		converted.LengthMs = max(entry.Until.Sub(th.Timers.Now()), 0).Milliseconds()
	}
	if !entry.At.IsZero() {
		converted.UnixNanos = entry.At.UnixNano()
	}
	return converted
}

func (th *Throttle) fromWire(limit *wire.UpstreamNotice) noticetable.Entry {
	entry := noticetable.Entry{
		Kind: noticetable.Kind(limit.GetKind()), Incarnation: incarnationOf(limit), PerSecond: limit.GetPerSecond(), Ended: limit.GetEnded(),
		Length: timer.Milliseconds(limit.GetLengthMs()),
	}
	if entry.Kind == noticetable.Cold {
		entry.Until = th.Timers.Now().Add(coldTimeOf(limit.GetLengthMs()))
	}
	if limit.GetUnixNanos() != 0 {
		entry.At = time.Unix(0, limit.GetUnixNanos())
	}
	return entry
}

func incarnationOf(limit *wire.UpstreamNotice) roster.Incarnation {
	return roster.Incarnation{ID: limit.GetUpstream(), StartUnixMs: limit.GetStartUnixMs()}
}
