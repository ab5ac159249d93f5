package batch

import (
	"math"
	"slices"
	"time"
)

// prefer orders the groups for a call by when they should be served. A group that can't be on time any more goes behind
// all that can: in plain order of due times, a burst beyond the pool's capacity would make nearly all groups late. One
// that reads results does not yield, since these take room meanwhile.
func (pl *Scheduler) prefer(now time.Time) []*group {
	order := make([]*group, 0, len(pl.order))
	for _, known := range pl.order {
		if len(known.waiting) > 0 {
			known.place = pl.serveBy(now, known)
			order = append(order, known)
		}
	}
	slices.SortStableFunc(order, func(left, right *group) int { return left.place.Compare(right.place) })
	return order
}

// lateOffset puts late groups behind all that can still be on time.
const lateOffset = time.Hour

// serveBy is the time by which groups are ordered.
func (pl *Scheduler) serveBy(now time.Time, known *group) time.Time {
	if known.HasInputs || !pl.isLate(now, known) {
		return known.urgency()
	}
	return known.Expires.Add(lateOffset)
}

// isLate reports whether a group can't be on time any more.
func (pl *Scheduler) isLate(now time.Time, known *group) bool {
	return now.Add(pl.expected(pl.terms.MaxBatch / 2)).After(known.Due)
}

// speed is what a pool's upstreams carry.
type speed struct {
	// firstFree is when the first upstream is free, upstreams how many there are, perSecond the items a second.
	firstFree time.Duration
	upstreams int
	perSecond float64
	// room is the bytes that all results may take, held what they take.
	room int64
	held int64
}

// speed returns what the usable upstreams carry in full batches.
func (pl *Scheduler) speed(now time.Time) speed {
	sp := speed{firstFree: NoUpstreamWait}
	full := pl.expected(pl.terms.MaxBatch).Seconds()
	for _, one := range pl.upstreams {
		if now.Add(longOut).Before(one.outUntil) {
			continue
		}
		sp.upstreams++
		sp.firstFree = min(sp.firstFree, pl.freeIn(now, one))
		sp.perSecond += float64(pl.terms.MaxBatch) / full / one.slowness(now)
		sp.held += one.held(now)
		sp.room += int64(sizeMargin * float64(pl.terms.ResultCapacity))
	}
	return sp
}

// HasUsableUpstream reports whether an upstream can be counted on soon.
func (pl *Scheduler) HasUsableUpstream(now time.Time) bool {
	return pl.speed(now).upstreams > 0
}

// WasSent reports whether items of a group were sent.
func (pl *Scheduler) WasSent(ticket uint64) bool {
	known := pl.groups[ticket]
	if known == nil {
		return false
	}
	for _, times := range known.sent {
		if times > 0 {
			return true
		}
	}
	return false
}

// IsInFlight reports whether items of a group are in a call.
func (pl *Scheduler) IsInFlight(ticket uint64) bool {
	for _, one := range pl.calls {
		if slices.ContainsFunc(one.items, func(item Item) bool { return item.GroupID == ticket }) {
			return true
		}
	}
	return false
}

// waits returns the expected time until the results of each group in an order that prefer returned.
func (pl *Scheduler) waits(now time.Time, order []*group) []time.Duration {
	sp := pl.speed(now)
	list := []time.Duration{}
	ahead, aheadBytes := 0, int64(0)
	for _, known := range order {
		if sp.upstreams == 0 {
			list = append(list, NoUpstreamWait)
			continue
		}
		aheadBytes += int64(len(known.waiting)) * known.ResultBytes
		queued := time.Duration(float64(ahead) / sp.perSecond * float64(time.Second))
		queued = max(queued, pl.roomWait(sp, aheadBytes))
		own := pl.expected(min(pl.terms.MaxBatch, len(known.waiting)+ahead/sp.upstreams))
		list = append(list, sp.firstFree+queued+own)
		ahead += len(known.waiting)
	}
	return list
}

// roomWait is how long it takes until so many bytes of further results have room.
func (pl *Scheduler) roomWait(sp speed, bytes int64) time.Duration {
	if sp.room == 0 {
		return 0
	}
	missing := float64(max(sp.held+bytes-sp.room, 0))
	return time.Duration(missing / float64(sp.room) * pl.hold)
}

// NoUpstreamWait is the wait that a pool without a usable upstream expects.
const NoUpstreamWait = time.Hour

// ExpectedWait returns the expected time until the results of a group that would be submitted now.
func (pl *Scheduler) ExpectedWait(now time.Time, added Group) time.Duration {
	probe := &group{Group: added, waiting: make([]int, added.Count)}
	probe.ID = math.MaxUint64
	at, _ := slices.BinarySearchFunc(pl.order, probe, before)
	pl.order = slices.Insert(pl.order, at, probe)
	order := pl.prefer(now)
	pl.order = slices.Delete(pl.order, at, at+1)
	return pl.waits(now, order)[slices.Index(order, probe)]
}
