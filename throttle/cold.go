package throttle

import (
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

const (
	// maxColdTime bounds the cold time that another instance reports.
	maxColdTime = 24 * time.Hour
	// maxEndAge is the greatest age at which the end of a cold time is taken from another instance. It is less than the minute after which
	// the table drops ends, so that a dropped one is not added again.
	maxEndAge = 50 * time.Second
)

// coldTime is what is known of an upstream that is cold, or was until an answer said otherwise.
type coldTime struct {
	// perSecond is the rate that it accepts while it is cold, in requests per second.
	perSecond float64
	// until is the end of the cold time by the clock of the timers, or the zero time if an answer has said that it is over.
	until time.Time
}

// coldStart is a cold time that a registration states.
type coldStart struct {
	until time.Time
	// learnedAt is when it was learned, by the hybrid logical clock; the answer to a later request is newer.
	learnedAt time.Time
}

// UpstreamsChanged reads from the registrations which upstreams are cold. It must be called after each change of the registrations
// and of the configuration.
func (th *Throttle) UpstreamsChanged() {
	if th.ColdRate == nil {
		return
	}
	now, learnedAt := th.Timers.Now(), th.Fleet.Time()
	th.mu.Lock()
	starts := map[roster.Incarnation]coldStart{}
	for _, up := range th.Registered() {
		if !now.Before(up.WarmAt) {
			continue
		}
		known, found := th.coldStarts[up.Incarnation()]
		if !found || !known.until.Equal(up.WarmAt) {
			known = coldStart{until: up.WarmAt, learnedAt: learnedAt}
		}
		starts[up.Incarnation()] = known
	}
	th.coldStarts = starts
	newlyCold := th.publishCold()
	th.mu.Unlock()
	th.recordCold(newlyCold, "registration")
}

// Cold returns the upstreams whose requests are limited because they are cold, with the ends of their cold times by the clock of the timers.
// It takes no lock. The map must not be changed.
func (th *Throttle) Cold() map[roster.Incarnation]time.Time {
	return *th.coldUntil.Load()
}

// ColdPermits returns how many permits for cold upstreams this instance has granted and denied.
func (th *Throttle) ColdPermits() (granted, denied uint64) {
	return th.coldGranted.Load(), th.coldDenied.Load()
}

// publishCold publishes the cold upstreams and all limits, and returns the upstreams that have become cold; the caller holds the lock.
func (th *Throttle) publishCold() []roster.Incarnation {
	now, before := th.Timers.Now(), th.Cold()
	times, until, next := th.coldTimes(now), map[roster.Incarnation]time.Time{}, time.Time{}
	limits, newlyCold := th.table.Limits(), []roster.Incarnation{}
	for incarnation, cold := range times {
		if !now.Before(cold.until) {
			continue
		}
		until[incarnation] = cold.until
		if limit, limited := limits[incarnation]; !limited || cold.perSecond < limit {
			limits[incarnation] = cold.perSecond
		}
		if next.IsZero() || cold.until.Before(next) {
			next = cold.until
		}
		if _, known := before[incarnation]; !known {
			newlyCold = append(newlyCold, incarnation)
		}
	}
	th.cold.Store(&times)
	th.coldUntil.Store(&until)
	th.limited.Store(&limits)
	if !next.Equal(th.nextWarm) {
		th.nextWarm = next
		th.signal()
	}
	return newlyCold
}

// coldTimes returns the cold times of the registered upstreams in pools that limit cold ones. An answer that is newer than the registration
// replaces the cold time that the registration states; an older answer can only extend it. The caller holds the lock.
func (th *Throttle) coldTimes(now time.Time) map[roster.Incarnation]coldTime {
	until := map[roster.Incarnation]time.Time{}
	for incarnation, start := range th.coldStarts {
		until[incarnation] = start.until
	}
	for incarnation, stated := range th.table.ColdTimes() {
		start, hasStart := th.coldStarts[incarnation]
		switch isNewer := !hasStart || stated.At.After(start.learnedAt); {
		case stated.Ended && isNewer:
			until[incarnation] = time.Time{}
		case !stated.Ended && (isNewer || stated.Until.After(start.until)):
			until[incarnation] = stated.Until
		}
	}
	times := map[roster.Incarnation]coldTime{}
	for incarnation, end := range until {
		registered := th.Find(incarnation.ID)
		if registered == nil || registered.Incarnation() != incarnation || !end.IsZero() && !now.Before(end) {
			continue
		}
		if perSecond := th.coldRate(registered.Pool); perSecond > 0 {
			times[incarnation] = coldTime{perSecond: perSecond, until: end}
		}
	}
	return times
}

// coldRate returns the rate that cold upstreams of a pool accept, or 0 if it is not limited.
func (th *Throttle) coldRate(pool string) float64 {
	if th.ColdRate == nil {
		return 0
	}
	return th.ColdRate(pool)
}

// coldLeft returns the rate of a cold upstream and its remaining cold time, or zeros if it is not cold.
func (th *Throttle) coldLeft(now time.Time, upstream *roster.Upstream) (perSecond float64, left time.Duration) {
	known, found := (*th.cold.Load())[upstream.Incarnation()]
	if !found && now.Before(upstream.WarmAt) {
		// The catalog publishes a registration a moment before UpstreamsChanged is called.
		known = coldTime{perSecond: th.coldRate(upstream.Pool), until: upstream.WarmAt}
	}
	if left = known.until.Sub(now); left <= 0 || known.perSecond <= 0 {
		return 0, 0
	}
	return known.perSecond, left
}

// coldLimit returns the rate and the remaining cold time with which the owner decides on a request for a permit: those that it knows itself
// or, if it knows of no cold time, those in the request.
func (th *Throttle) coldLimit(now time.Time, incarnation roster.Incarnation, request *wire.PermitRequest) (perSecond float64, left time.Duration) {
	if registered := th.Find(incarnation.ID); registered != nil && registered.Incarnation() == incarnation {
		if perSecond, left = th.coldLeft(now, registered); left > 0 {
			return perSecond, left
		}
	}
	if request.GetColdPerSecond() <= 0 || request.GetColdLeftMs() <= 0 {
		return 0, 0
	}
	return request.GetColdPerSecond(), coldTimeOf(request.GetColdLeftMs())
}

// countCold counts a permit for a cold upstream as granted or denied.
func (th *Throttle) countCold(outcome wire.PermitOutcome) {
	if outcome == wire.PermitOutcome_PermitGranted {
		th.coldGranted.Add(1)
		return
	}
	th.coldDenied.Add(1)
}

// observeCold applies the cold time that an answer states to a request sent at sentAt. The end of a cold time counts as of sentAt: an answer
// that is overtaken by a newer one must not end a cold time that began in between.
func (th *Throttle) observeCold(upstream *roster.Upstream, sentAt time.Time, stated *notice.Cold) {
	if stated == nil || th.coldRate(upstream.Pool) <= 0 {
		return
	}
	now := th.Timers.Now()
	_, left := th.coldLeft(now, upstream)
	entry := noticetable.Entry{Kind: noticetable.Cold, Incarnation: upstream.Incarnation(), At: th.Fleet.Time(), Until: now.Add(stated.Left)}
	if stated.Left <= 0 {
		if left == 0 {
			return
		}
		entry.Ended, entry.At = true, entry.At.Add(-now.Sub(sentAt))
	}
	th.mu.Lock()
	isNews := th.table.Merge(entry)
	newlyCold := []roster.Incarnation{}
	if isNews {
		newlyCold = th.publishCold()
	}
	th.mu.Unlock()
	th.recordCold(newlyCold, "answer")
	if isNews {
		th.Fleet.TriggerHeartbeat()
	}
}

// isForgotten reports whether an entry from another instance is over and this instance has none: it may have dropped it, and must not add it
// again. The caller holds the lock.
func (th *Throttle) isForgotten(entry noticetable.Entry) bool {
	if _, found := th.table.Find(noticetable.Cold, entry.Incarnation); found {
		return false
	}
	if entry.Ended {
		return th.Fleet.Time().Sub(entry.At) > maxEndAge
	}
	return !th.Timers.Now().Before(entry.Until)
}

// recordCold records in the timeline that upstreams have become cold. source is where their cold times are known from: the registration, an
// answer to this instance or another instance.
func (th *Throttle) recordCold(newlyCold []roster.Incarnation, source string) {
	now, until := th.Timers.Now(), th.Cold()
	for _, incarnation := range newlyCold {
		event := &wire.Event{
			Kind: wire.EventKind_EventUpstreamCold, Upstream: incarnation.ID, Revision: incarnation.StartUnixMs,
			DurationMicros: max(until[incarnation].Sub(now), 0).Microseconds(), Detail: fmt.Sprintf("source=%s", source),
		}
		if registered := th.Find(incarnation.ID); registered != nil {
			event.Stage = registered.Pool
		}
		th.Events.Record(event)
	}
}

// signal wakes Run, which then waits for the new value of nextWarm.
func (th *Throttle) signal() {
	select {
	case th.wakeup <- struct{}{}:
	default:
	}
}

// coldTimeOf converts the remaining cold time that another instance reports, in milliseconds; it is at most maxColdTime.
func coldTimeOf(count int64) time.Duration {
	return timer.Milliseconds(min(max(count, 0), maxColdTime.Milliseconds()))
}
