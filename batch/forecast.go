package batch

import (
	"math"
	"slices"
	"time"
)

// orderForCall returns the groups with waiting items, earliest deadline first. Late groups go behind all others: in plain
// order of due times, a burst beyond the pool's capacity would make nearly all groups late. Groups with inputs keep their
// position, since the inputs take memory until they are read.
func (sc *Scheduler) orderForCall(now time.Time) []*group {
	order := make([]*group, 0, len(sc.queue))
	for _, gr := range sc.queue {
		if len(gr.waiting) > 0 {
			gr.sortKey = sc.sortKey(now, gr)
			order = append(order, gr)
		}
	}
	slices.SortStableFunc(order, func(left, right *group) int { return left.sortKey.Compare(right.sortKey) })
	return order
}

// lateOffset sorts late groups behind all others.
const lateOffset = time.Hour

// sortKey returns the time that orders a group in orderForCall.
func (sc *Scheduler) sortKey(now time.Time, gr *group) time.Time {
	if gr.HasInputs || !sc.isLate(now, gr) {
		return gr.virtualDeadline()
	}
	return gr.Expires.Add(lateOffset)
}

// isLate reports whether half a batch sent now would end after the group's due time.
func (sc *Scheduler) isLate(now time.Time, gr *group) bool {
	return now.After(sc.lateAt(gr))
}

// lateAt returns the time after which a group is late.
func (sc *Scheduler) lateAt(gr *group) time.Time {
	return gr.Due.Add(-sc.expectedDuration(sc.config.MaxBatch / 2))
}

// capacity is the combined capacity of a pool's usable upstreams.
type capacity struct {
	// firstIdleIn is the time until the first upstream can take a call.
	firstIdleIn time.Duration
	// upstreams is the number of usable upstreams.
	upstreams int
	// itemsPerSecond is the throughput in full batches.
	itemsPerSecond float64
	// memory is the memory for results in bytes, of which used is taken.
	memory int64
	used   int64
}

// capacity returns the combined capacity of the upstreams, without those that are ejected for long.
func (sc *Scheduler) capacity(now time.Time) capacity {
	cp := capacity{firstIdleIn: NoUpstreamWait}
	batchTime := sc.expectedDuration(sc.config.MaxBatch)
	for _, up := range sc.upstreams {
		if now.Add(longEjection).Before(up.ejectedUntil) {
			continue
		}
		cp.upstreams++
		cp.firstIdleIn = min(cp.firstIdleIn, sc.idleIn(now, up))
		cp.itemsPerSecond += sc.itemsPerSecond(now, up, batchTime)
		cp.used += up.usedBytes(now)
		cp.memory += int64(capacityMargin * float64(sc.config.ResultCapacity))
	}
	return cp
}

// HasUsableUpstream reports whether any upstream can take calls now or soon.
func (sc *Scheduler) HasUsableUpstream(now time.Time) bool {
	return sc.capacity(now).upstreams > 0
}

// IsLimited reports whether the rate limits of all usable upstreams allow no call for longer than maxLimitedWait.
func (sc *Scheduler) IsLimited(now time.Time) bool {
	for _, up := range sc.upstreams {
		if !now.Add(maxLimitedWait).Before(up.limitedUntil) && !now.Add(longEjection).Before(up.ejectedUntil) {
			return false
		}
	}
	return true
}

// maxLimitedWait is how long groups wait for upstreams whose rate limits are used up, if there are others.
const maxLimitedWait = 500 * time.Millisecond

// WasSent reports whether items of a group were sent.
func (sc *Scheduler) WasSent(id uint64) bool {
	gr := sc.groups[id]
	if gr == nil {
		return false
	}
	for _, times := range gr.sendCounts {
		if times > 0 {
			return true
		}
	}
	return false
}

// IsInFlight reports whether items of a group are in flight.
func (sc *Scheduler) IsInFlight(id uint64) bool {
	for _, cl := range sc.calls {
		if slices.ContainsFunc(cl.items, func(item Item) bool { return item.GroupID == id }) {
			return true
		}
	}
	return false
}

// expectedWaits returns the expected time until the results of each group in an order returned by orderForCall.
func (sc *Scheduler) expectedWaits(now time.Time, order []*group) []time.Duration {
	cp := sc.capacity(now)
	list := []time.Duration{}
	ahead, aheadBytes := 0, int64(0)
	for _, gr := range order {
		if cp.upstreams == 0 {
			list = append(list, NoUpstreamWait)
			continue
		}
		aheadBytes += int64(len(gr.waiting)) * gr.ResultBytes
		queued := cp.queueTime(ahead)
		queued = max(queued, sc.resultMemoryWait(cp, aheadBytes))
		ownCall := sc.expectedDuration(min(sc.config.MaxBatch, len(gr.waiting)+ahead/cp.upstreams))
		list = append(list, cp.firstIdleIn+queued+ownCall)
		ahead += len(gr.waiting)
	}
	return list
}

// queueTime returns the time in which so many items are run.
func (cp capacity) queueTime(items int) time.Duration {
	if items == 0 {
		return 0
	}
	return min(time.Duration(min(float64(items)/cp.itemsPerSecond, NoUpstreamWait.Seconds())*float64(time.Second)), NoUpstreamWait)
}

// resultMemoryWait returns the expected time until there is memory for so many bytes of further results.
func (sc *Scheduler) resultMemoryWait(cp capacity, bytes int64) time.Duration {
	if cp.memory == 0 {
		return 0
	}
	missing := float64(max(cp.used+bytes-cp.memory, 0))
	return time.Duration(missing / float64(cp.memory) * sc.resultLifetime)
}

// NoUpstreamWait is the wait that ExpectedWait reports for a pool without a usable upstream.
const NoUpstreamWait = time.Hour

// ExpectedWait returns the expected time until the results of a group if it were submitted now.
func (sc *Scheduler) ExpectedWait(now time.Time, added Group) time.Duration {
	probe := &group{Group: added, waiting: make([]int, added.Count)}
	probe.ID = math.MaxUint64
	at, _ := slices.BinarySearchFunc(sc.queue, probe, compareGroups)
	sc.queue = slices.Insert(sc.queue, at, probe)
	order := sc.orderForCall(now)
	sc.queue = slices.Delete(sc.queue, at, at+1)
	return sc.expectedWaits(now, order)[slices.Index(order, probe)]
}
