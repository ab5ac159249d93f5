package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// upstream is the state of one upstream.
type upstream struct {
	name  string
	calls int
	// inFlightBytes is the size of the results of calls in flight.
	inFlightBytes int64
	// results holds the results that take memory at the upstream, by handle, resultBytes is their size, and none of them expires before
	// nextExpiry.
	results     map[string]result
	resultBytes int64
	nextExpiry  time.Time
	// otherBytes is the size of the results of other instances' calls, which count until otherBytesUntil.
	otherBytes      int64
	otherBytesUntil time.Time
	ejectedUntil    time.Time
	// limitedUntil is when the upstream's rate limit allows another call; callsPerSecond is that limit if isLimited is set.
	limitedUntil   time.Time
	isLimited      bool
	callsPerSecond float64
	// ejections counts the consecutive ejections.
	ejections   int
	lastCallEnd time.Time
	// slowdown is the moving average of the duration of calls over the expected one, at least 1, as of slowdownAt.
	slowdown   float64
	slowdownAt time.Time
}

// result is a result that an upstream holds.
type result struct {
	bytes int64
	// sentAt is when the call that made it was sent.
	sentAt time.Time
	// expiresAt is when the upstream drops it.
	expiresAt time.Time
}

const (
	// slowdownWeight is the weight of the newest call in an upstream's slowdown.
	slowdownWeight = 0.5
	// slowdownHalfLife is the time in which a slowdown loses half of its excess over 1 without further calls.
	slowdownHalfLife = 3 * time.Second
	// slowThreshold is the slowdown above which an upstream is slow and gets small calls only.
	slowThreshold = 2
	// slowBatchDivisor divides the batch size of calls to slow upstreams; it also bounds how far itemTime may fall.
	slowBatchDivisor = 4
	// resultLifetimeWeight is the weight of the newest result in resultLifetime.
	resultLifetimeWeight  = 0.05
	initialResultLifetime = 700 * time.Millisecond
	// itemTimeWeight is the weight of the newest call in itemTime.
	itemTimeWeight = 0.1
	// baseEjection is the duration of the first ejection after a failed call. Each further ejection in a row doubles the
	// duration, at most maxEjectionDoublings times.
	baseEjection         = 250 * time.Millisecond
	maxEjectionDoublings = 3
	// fullBackoff is how long an upstream gets no calls after OutcomeFull.
	fullBackoff = 60 * time.Millisecond
)

// usedBytes returns the memory that results take at the upstream, including those of calls in flight.
func (up *upstream) usedBytes(now time.Time) int64 {
	total := up.inFlightBytes
	if now.Before(up.otherBytesUntil) {
		total += up.otherBytes
	}
	if now.After(up.nextExpiry) {
		up.dropExpired(now)
	}
	return total + up.resultBytes
}

// addResult adds a result that takes memory at the upstream.
func (up *upstream) addResult(handle string, fresh result) {
	up.removeResult(handle)
	if len(up.results) == 0 || fresh.expiresAt.Before(up.nextExpiry) {
		up.nextExpiry = fresh.expiresAt
	}
	up.results[handle] = fresh
	up.resultBytes += fresh.bytes
}

// removeResult removes a result, and returns it if it was there.
func (up *upstream) removeResult(handle string) (result, bool) {
	known, found := up.results[handle]
	if found {
		delete(up.results, handle)
		up.resultBytes -= known.bytes
	}
	return known, found
}

// dropExpired removes the results that the upstream has dropped.
func (up *upstream) dropExpired(now time.Time) {
	next := time.Time{}
	for handle, one := range up.results {
		switch {
		case now.After(one.expiresAt):
			up.removeResult(handle)
		case next.IsZero() || one.expiresAt.Before(next):
			next = one.expiresAt
		}
	}
	up.nextExpiry = next
}

// otherBytesTTL is how long the results of other instances' calls count after the upstream reported its memory.
const otherBytesTTL = 700 * time.Millisecond

// isScarce reports whether fewer than minFreeBatches full batches of results of a size fit into an upstream.
func (sc *Scheduler) isScarce(bytes int64) bool {
	return sc.config.ResultCapacity > 0 && sc.config.ResultCapacity < minFreeBatches*int64(sc.config.MaxBatch)*bytes
}

// SetAvailableResultBytes records the free memory that an upstream reports: memory that is used beyond the known results
// is counted as results of other instances' calls.
func (sc *Scheduler) SetAvailableResultBytes(now time.Time, name string, available int64) {
	up := sc.upstreams[name]
	if up == nil || sc.config.ResultCapacity == 0 {
		return
	}
	up.otherBytes, up.otherBytesUntil = 0, time.Time{}
	up.otherBytes = max(sc.config.ResultCapacity-available-up.usedBytes(now), 0)
	up.otherBytesUntil = now.Add(otherBytesTTL)
}

// currentSlowdown returns the slowdown, which decays towards 1 without further calls.
func (up *upstream) currentSlowdown(now time.Time) float64 {
	age := float64(now.Sub(up.slowdownAt)) / float64(slowdownHalfLife)
	return 1 + (up.slowdown-1)*math.Exp2(-age)
}

// expectedDuration returns the duration of a call with so many items at an upstream without slowdown.
func (sc *Scheduler) expectedDuration(items int) time.Duration {
	return sc.config.CallTime + time.Duration(float64(items)*sc.itemTime)
}

// unavailableUntil returns when the upstream may be sent another call.
func (up *upstream) unavailableUntil() time.Time {
	if up.limitedUntil.After(up.ejectedUntil) {
		return up.limitedUntil
	}
	return up.ejectedUntil
}

// itemsPerSecond returns the throughput of an upstream in full batches, each of which takes a time.
func (sc *Scheduler) itemsPerSecond(now time.Time, up *upstream, batchTime time.Duration) float64 {
	calls := 1 / batchTime.Seconds() / up.currentSlowdown(now)
	if up.isLimited {
		calls = min(calls, up.callsPerSecond)
	}
	return calls * float64(sc.config.MaxBatch)
}

// updateUpstream updates the state of an upstream after a call.
func (sc *Scheduler) updateUpstream(now time.Time, ended *call, report CallResult) {
	up := ended.upstream
	up.calls--
	up.lastCallEnd = now
	up.inFlightBytes -= ended.bytes
	switch report.Outcome {
	case OutcomeAnswered:
		up.ejections = 0
		took := now.Sub(ended.started)
		ratio := max(float64(took)/float64(max(ended.expected, time.Millisecond)), 1)
		up.slowdown = up.currentSlowdown(now)*(1-slowdownWeight) + ratio*slowdownWeight
		up.slowdownAt = now
		sc.updateItemTime(took, len(ended.items), ratio)
	case OutcomeFull:
		up.ejectedUntil = now.Add(fullBackoff)
	case OutcomeLimited:
		up.limitedUntil = now.Add(report.RetryAfter)
	case OutcomeUnreachable, OutcomeFailed:
		up.ejectedUntil = now.Add(baseEjection << min(up.ejections, maxEjectionDoublings))
		up.ejections++
	}
}

// updateItemTime updates itemTime, which differs by stage, unless the call was slow.
func (sc *Scheduler) updateItemTime(took time.Duration, items int, ratio float64) {
	if ratio > slowThreshold || items == 0 {
		return
	}
	each := max(float64(took-sc.config.CallTime), 0) / float64(items)
	sc.itemTime += itemTimeWeight * (each - sc.itemTime)
	sc.itemTime = max(sc.itemTime, float64(sc.config.ItemTime)/slowBatchDivisor)
}

// upstreamsBySpeed returns the names of the upstreams, fastest first.
func (sc *Scheduler) upstreamsBySpeed(now time.Time) []string {
	names := slices.Clone(sc.names)
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(sc.upstreams[left].currentSlowdown(now), sc.upstreams[right].currentSlowdown(now))
	})
	return names
}

// waitingIsFaster reports whether waiting for a faster upstream returns results sooner than a call to a slow one.
func (sc *Scheduler) waitingIsFaster(now time.Time, slow *upstream) bool {
	slowDuration := time.Duration(slow.currentSlowdown(now) * float64(sc.expectedDuration(1)))
	if slow.currentSlowdown(now) < slowThreshold {
		return false
	}
	for _, other := range sc.upstreams {
		if other == slow || now.Before(other.unavailableUntil()) || other.currentSlowdown(now) >= slowThreshold {
			continue
		}
		if sc.idleIn(now, other)+sc.expectedDuration(sc.config.MaxBatch) < slowDuration {
			return true
		}
	}
	return false
}

// idleIn returns the time until an upstream can take a call.
func (sc *Scheduler) idleIn(now time.Time, up *upstream) time.Duration {
	if up.calls < max(sc.config.Slots, 1) {
		return max(up.unavailableUntil().Sub(now), 0)
	}
	soonest := time.Duration(math.MaxInt64)
	for _, each := range sc.calls {
		if each.upstream == up {
			full := time.Duration(up.currentSlowdown(now) * float64(each.expected))
			soonest = min(soonest, max(full-now.Sub(each.started), 0))
		}
	}
	return soonest
}

// capacityMargin is the share of ResultCapacity that is used, since results differ from their stated size.
const capacityMargin = 0.95

// availableBytes returns the memory that further results may take at an upstream, in bytes.
func (sc *Scheduler) availableBytes(now time.Time, up *upstream) int64 {
	return int64(capacityMargin*float64(sc.config.ResultCapacity)) - up.usedBytes(now)
}

// longEjection is the remaining ejection time above which an upstream does not count as usable.
const longEjection = 400 * time.Millisecond
