package throttle

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/pause"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// Instances resume at different times after the end of a pause: spreadPerInstance is the average distance between two of
	// them, and maxSpread bounds the delay of the last one.
	spreadPerInstance = 10 * time.Millisecond
	maxSpread         = time.Second
)

// markLeaving takes an upstream out of use for the rest of its incarnation, and tells the other instances.
func (th *Throttle) markLeaving(incarnation roster.Incarnation) {
	if _, known := th.Leaving()[incarnation]; known {
		return
	}
	if th.mergeLeaving(noticetable.Entry{Kind: noticetable.Leaving, Incarnation: incarnation, At: th.Fleet.Time()}) {
		th.Fleet.TriggerHeartbeat()
	}
}

// mergeLeaving adds that an upstream is leaving, and reports whether that is new.
func (th *Throttle) mergeLeaving(entry noticetable.Entry) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	if !th.table.Merge(entry) {
		return false
	}
	th.publish()
	return true
}

// Leaving returns the incarnations whose answers have said that they are leaving, and since when; it takes no lock. The map must
// not be changed.
func (th *Throttle) Leaving() map[roster.Incarnation]time.Time {
	return *th.leaving.Load()
}

// Pauses returns until when upstreams want no requests of this instance; it takes no lock. The map must not be changed.
func (th *Throttle) Pauses() map[roster.Incarnation]time.Time {
	return *th.paused.Load()
}

// Avoided returns until when upstreams want no requests of some instance, this one or another, by the clock of the timers. It takes no
// lock. The map must not be changed.
func (th *Throttle) Avoided() map[roster.Incarnation]time.Time {
	return *th.avoided.Load()
}

// observePause begins a pause of an upstream, or ends one that is over.
func (th *Throttle) observePause(upstream *roster.Upstream, length time.Duration) {
	incarnation := upstream.Incarnation()
	if _, paused := th.Pauses()[incarnation]; !paused && length <= 0 {
		return
	}
	event, isNews := th.changePause(upstream, min(length, pause.MaxLength))
	if event != nil {
		event.Upstream, event.Stage = upstream.ID, upstream.Pool
		th.Events.Record(event)
	}
	if isNews {
		th.Fleet.TriggerHeartbeat()
	}
}

// changePause begins or ends a pause. It returns the event to record, or nil if nothing has changed, and whether the other
// instances don't know of the pause.
func (th *Throttle) changePause(upstream *roster.Upstream, length time.Duration) (event *wire.Event, isNews bool) {
	now, incarnation := th.Timers.Now(), upstream.Incarnation()
	spread, at := th.spread(incarnation), th.Fleet.Time()
	th.mu.Lock()
	defer th.mu.Unlock()
	defer th.publish()
	if length <= 0 {
		if th.pauses.End(now, incarnation) {
			return &wire.Event{Kind: wire.EventKind_EventUpstreamResumed, Detail: "source=answer"}, false
		}
		return nil, false
	}
	isNews = th.table.Merge(noticetable.Entry{Kind: noticetable.Pause, Incarnation: incarnation, At: at, Length: length})
	if th.pauses.Begin(incarnation, now.Add(length+spread)) {
		event = &wire.Event{Kind: wire.EventKind_EventUpstreamPaused, DurationMicros: length.Microseconds(), Detail: "source=answer"}
	}
	return event, isNews
}

// spread returns how long after the end of a pause this instance sends its first request, so that not all send at once.
func (th *Throttle) spread(incarnation roster.Incarnation) time.Duration {
	others := len(th.Fleet.Live()) - 1
	span := min(time.Duration(others)*spreadPerInstance, maxSpread)
	if span <= 0 {
		return 0
	}
	return time.Duration(xxhash.Sum64String(fmt.Sprint(th.Self, "/", incarnation.ID)) % uint64(span))
}

// checkPause returns the error of a request that must not be sent because of its upstream's pause, or nil.
func (th *Throttle) checkPause(now time.Time, incarnation roster.Incarnation) error {
	if left := th.Pauses()[incarnation].Sub(now); left > 0 {
		return ratelimit.Exceeded{RetryAfter: left, IsPause: true}
	}
	return nil
}

// takeAfterPause is checkPause for a request that is sent at once, and may be the first one after a pause.
func (th *Throttle) takeAfterPause(incarnation roster.Incarnation) error {
	if _, paused := th.Pauses()[incarnation]; !paused {
		return nil
	}
	th.mu.Lock()
	defer th.mu.Unlock()
	if wait := th.pauses.Take(th.Timers.Now(), incarnation); wait > 0 {
		return ratelimit.Exceeded{RetryAfter: wait, IsPause: true}
	}
	return nil
}
