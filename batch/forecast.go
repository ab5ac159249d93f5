package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// prefer orders the groups for a call: those that can still be on time first, by urgency, then the late ones.
// Under overload this keeps most on time, where plain order of due times would make all of them late.
func (pl *Pool) prefer(now time.Time) []*group {
	timely, late := []*group{}, []*group{}
	for _, known := range pl.order {
		switch {
		case len(known.waiting) == 0:
		case pl.isLate(now, known):
			late = append(late, known)
		default:
			timely = append(timely, known)
		}
	}
	slices.SortStableFunc(late, func(left, right *group) int {
		if order := cmp.Compare(left.Rank, right.Rank); order != 0 {
			return order
		}
		return left.Expires.Compare(right.Expires)
	})
	return append(timely, late...)
}

// isLate reports whether a group can't be on time any more.
func (pl *Pool) isLate(now time.Time, known *group) bool {
	return now.Add(pl.terms.CallTime).After(known.Due)
}

// speed is what a pool's upstreams carry.
type speed struct {
	// firstFree is when the first upstream is free, upstreams how many there are, perSecond the items a second.
	firstFree time.Duration
	upstreams int
	perSecond float64
}

// speed returns what the usable upstreams carry in full batches.
func (pl *Pool) speed(now time.Time) speed {
	sp := speed{firstFree: NoUpstream}
	full := pl.expected(nil, pl.terms.Batch).Seconds()
	for _, one := range pl.upstreams {
		if now.Add(longOut).Before(one.outUntil) {
			continue
		}
		sp.upstreams++
		sp.firstFree = min(sp.firstFree, pl.freeIn(now, one))
		sp.perSecond += pl.roomShare(now, one) / one.slowness(now) * float64(pl.terms.Batch) / full
	}
	return sp
}

// minLateShare is the least part of the upstreams' speed that late groups are expected to get.
const minLateShare = 0.1

// waits returns the expected time until the results of each group in an order that prefer returned. Late groups
// get what those on time leave, also of those that have yet to arrive.
func (pl *Pool) waits(now time.Time, order []*group) []time.Duration {
	sp := pl.speed(now)
	list := []time.Duration{}
	ahead := 0
	for _, known := range order {
		if sp.upstreams == 0 {
			list = append(list, NoUpstream)
			continue
		}
		rate := sp.perSecond
		if pl.isLate(now, known) {
			rate = max(sp.perSecond-pl.arrivalRate(now), minLateShare*sp.perSecond)
		}
		queued := time.Duration(float64(ahead) / rate * float64(time.Second))
		own := pl.expected(nil, min(pl.terms.Batch, len(known.waiting)+ahead/sp.upstreams))
		list = append(list, sp.firstFree+queued+own)
		ahead += len(known.waiting)
	}
	return list
}

// NoUpstream is the wait that a pool without a usable upstream expects.
const NoUpstream = time.Hour

// Wait returns the expected time until the results of a group that would be submitted now.
func (pl *Pool) Wait(now time.Time, added Group) time.Duration {
	probe := &group{Group: added, waiting: make([]int, added.Count)}
	probe.Ticket = math.MaxUint64
	at, _ := slices.BinarySearchFunc(pl.order, probe, before)
	pl.order = slices.Insert(pl.order, at, probe)
	order := pl.prefer(now)
	pl.order = slices.Delete(pl.order, at, at+1)
	return pl.waits(now, order)[slices.Index(order, probe)]
}
