package throttle

import (
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// maxColdTime bounds the cold time that another instance reports.
	maxColdTime = 24 * time.Hour
	// maxEndAge is how old the end of a cold time may be to be learned; the table drops ends that are a minute old.
	maxEndAge = 50 * time.Second
)

// coldTime is the rate that an upstream accepts while it is cold, in requests per second, and until when it is, by the clock of the
// timers; the zero time if an answer has said that it no longer is.
type coldTime struct {
	perSecond float64
	until     time.Time
}

// coldStart is a cold time that a registration states.
type coldStart struct {
	until time.Time
	// learnedAt is when it was learned, by the hybrid logical clock; the answer to a later request is newer.
	learnedAt time.Time
}

// UpstreamsChanged learns from the registrations which upstreams are cold. It must be called after each change of the registrations
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
	begun := th.publishCold()
	th.mu.Unlock()
	th.recordCold(begun, "registration")
}

// Cold returns until when upstreams are cold whose requests are limited for that, by the clock of the timers. It takes no lock. The map
// must not be changed.
func (th *Throttle) Cold() map[roster.Incarnation]time.Time {
	return *th.coldUntil.Load()
}

// ColdPermits returns how many permits for cold upstreams this instance has granted and denied.
func (th *Throttle) ColdPermits() (granted, denied uint64) {
	return th.coldGranted.Load(), th.coldDenied.Load()
}

// publishCold makes visible which upstreams are cold, and returns those that were not before; the caller holds the lock.
func (th *Throttle) publishCold() []roster.Incarnation {
	now, before := th.Timers.Now(), th.Cold()
	times, until, next := th.coldTimes(now), map[roster.Incarnation]time.Time{}, time.Time{}
	limits, begun := th.table.Limits(), []roster.Incarnation{}
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
			begun = append(begun, incarnation)
		}
	}
	th.cold.Store(&times)
	th.coldUntil.Store(&until)
	th.limited.Store(&limits)
	if !next.Equal(th.nextWarm) {
		th.nextWarm = next
		th.signal()
	}
	return begun
}

// coldTimes returns the cold times of the registered upstreams whose pool limits them: those that the registrations state, unless an
// answer has said otherwise since, and those that answers state. The caller holds the lock.
func (th *Throttle) coldTimes(now time.Time) map[roster.Incarnation]coldTime {
	until := map[roster.Incarnation]time.Time{}
	for incarnation, start := range th.coldStarts {
		until[incarnation] = start.until
	}
	for incarnation, said := range th.table.ColdTimes() {
		start, isStated := th.coldStarts[incarnation]
		switch isNewer := !isStated || said.At.After(start.learnedAt); {
		case said.Ended && isNewer:
			until[incarnation] = time.Time{}
		case !said.Ended && (isNewer || said.Until.After(start.until)):
			until[incarnation] = said.Until
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

// coldLeft returns the rate of a cold upstream and how long it still is cold, or zeros if it is not.
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

// coldLimit returns the rate and the remaining cold time with which the owner decides on a request for a permit: its own, or those of the
// sender if it knows of none.
func (th *Throttle) coldLimit(now time.Time, incarnation roster.Incarnation, request *wire.PermitRequest) (perSecond float64, left time.Duration) {
	if registered := th.Find(incarnation.ID); registered != nil && registered.Incarnation() == incarnation {
		if perSecond, left = th.coldLeft(now, registered); left > 0 {
			return perSecond, left
		}
	}
	if request.GetColdPerSecond() <= 0 || request.GetColdLeftMs() <= 0 {
		return 0, 0
	}
	return request.GetColdPerSecond(), milliseconds(request.GetColdLeftMs())
}

// countCold counts a decision on a permit for a cold upstream.
func (th *Throttle) countCold(outcome wire.PermitOutcome) {
	if outcome == wire.PermitOutcome_PermitGranted {
		th.coldGranted.Add(1)
		return
	}
	th.coldDenied.Add(1)
}

// observeCold applies the cold time that the answer to a request states that was sent at a time. An end is as old as the request: an
// answer that was overtaken must not end a cold time that began since.
func (th *Throttle) observeCold(upstream *roster.Upstream, sentAt time.Time, said *notice.Cold) {
	if said == nil || th.coldRate(upstream.Pool) <= 0 {
		return
	}
	now := th.Timers.Now()
	_, left := th.coldLeft(now, upstream)
	entry := noticetable.Entry{Kind: noticetable.Cold, Incarnation: upstream.Incarnation(), At: th.Fleet.Time(), Until: now.Add(said.Left)}
	if said.Left <= 0 {
		if left == 0 {
			return
		}
		entry.Ended, entry.At = true, entry.At.Add(-now.Sub(sentAt))
	}
	th.mu.Lock()
	isNews := th.table.Merge(entry)
	begun := []roster.Incarnation{}
	if isNews {
		begun = th.publishCold()
	}
	th.mu.Unlock()
	th.recordCold(begun, "answer")
	if isNews {
		th.Fleet.TriggerHeartbeat()
	}
}

// isForgotten reports whether a cold time of which this instance knows nothing is over: it may have dropped the entry, which must not come
// back from the others. The caller holds the lock.
func (th *Throttle) isForgotten(entry noticetable.Entry) bool {
	if _, found := th.table.Find(noticetable.Cold, entry.Incarnation); found {
		return false
	}
	if entry.Ended {
		return th.Fleet.Time().Sub(entry.At) > maxEndAge
	}
	return !th.Timers.Now().Before(entry.Until)
}

// recordCold records upstreams that have become cold in the time line, with the source of the knowledge.
func (th *Throttle) recordCold(begun []roster.Incarnation, source string) {
	now, until := th.Timers.Now(), th.Cold()
	for _, incarnation := range begun {
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

// signal wakes Run to recompute when the next upstream is no longer cold.
func (th *Throttle) signal() {
	select {
	case th.wakeup <- struct{}{}:
	default:
	}
}

// milliseconds converts the remaining cold time that another instance reports.
func milliseconds(count int64) time.Duration {
	return time.Duration(min(max(count, 0), maxColdTime.Milliseconds())) * time.Millisecond
}
