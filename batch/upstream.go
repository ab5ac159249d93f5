package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// upstream is what is known of one upstream.
type upstream struct {
	name    string
	calls   int
	pending int64
	results map[string]result
	// foreign is the bytes of results that other instances had made, which count until foreignUntil.
	foreign      int64
	foreignUntil time.Time
	outUntil     time.Time
	outs         int
	// freeAt is when the upstream last ended a call.
	freeAt time.Time
	// factor is how many times longer than expected its calls take, seen at observedAt.
	factor     float64
	observedAt time.Time
}

// result is a result that lies at the upstream.
type result struct {
	bytes int64
	// since is when its call was sent, until when the upstream drops it.
	since time.Time
	until time.Time
}

const (
	// factorWeight is the weight of the newest call in an upstream's factor.
	factorWeight = 0.5
	// factorHalfLife is the time in which a factor that is not seen again loses half of its excess.
	factorHalfLife = 3 * time.Second
	// trialFactor is the factor above which an upstream gets small calls only.
	trialFactor = 2
	// trialShare is the part of a batch that such a call has.
	trialShare = 4
	// holdWeight is the weight of one result in the time for which results take room, firstHold that time at first.
	holdWeight = 0.05
	firstHold  = 700 * time.Millisecond
	// itemTimeWeight is the weight of one call in the pool's time for one item.
	itemTimeWeight = 0.1
	// firstOut is how long an upstream that could not be reached gets no calls; it doubles up to maxOuts times.
	firstOut = 250 * time.Millisecond
	maxOuts  = 3
	// fullOut is how long an upstream that had no room gets no calls.
	fullOut = 60 * time.Millisecond
)

// held returns the bytes that results take at the upstream, those of calls under way included.
func (up *upstream) held(now time.Time) int64 {
	total := up.pending
	if now.Before(up.foreignUntil) {
		total += up.foreign
	}
	for handle, one := range up.results {
		if now.After(one.until) {
			delete(up.results, handle)
			continue
		}
		total += one.bytes
	}
	return total
}

// foreignLife is how long results that other instances had made count after an upstream's report.
const foreignLife = 700 * time.Millisecond

// isScarce reports whether an upstream has room for few batches of results of a size.
func (pl *Scheduler) isScarce(bytes int64) bool {
	return pl.terms.ResultCapacity > 0 && pl.terms.ResultCapacity < scarceBatches*int64(pl.terms.MaxBatch)*bytes
}

// SetAvailableResultBytes takes over what an upstream reports of its room: what is missing there beyond the known results was made
// by other instances.
func (pl *Scheduler) SetAvailableResultBytes(now time.Time, name string, room int64) {
	one := pl.upstreams[name]
	if one == nil || pl.terms.ResultCapacity == 0 {
		return
	}
	one.foreign, one.foreignUntil = 0, time.Time{}
	one.foreign = max(pl.terms.ResultCapacity-room-one.held(now), 0)
	one.foreignUntil = now.Add(foreignLife)
}

// slowness is the upstream's factor, which nears 1 while nothing is seen of it.
func (up *upstream) slowness(now time.Time) float64 {
	age := float64(now.Sub(up.observedAt)) / float64(factorHalfLife)
	return 1 + (up.factor-1)*math.Exp2(-age)
}

// expected is how long a call of so many items takes at an upstream of the pool's usual speed.
func (pl *Scheduler) expected(items int) time.Duration {
	return pl.terms.CallTime + time.Duration(float64(items)*pl.itemTime)
}

// observe books the end of a call.
func (pl *Scheduler) observe(now time.Time, ended *call, outcome Outcome) {
	one := ended.upstream
	one.calls--
	one.freeAt = now
	one.pending -= ended.bytes
	switch outcome {
	case OutcomeAnswered:
		one.outs = 0
		took := now.Sub(ended.started)
		ratio := max(float64(took)/float64(max(ended.expected, time.Millisecond)), 1)
		one.factor = one.slowness(now)*(1-factorWeight) + ratio*factorWeight
		one.observedAt = now
		pl.learnItemTime(took, len(ended.items), ratio)
	case OutcomeFull:
		one.outUntil = now.Add(fullOut)
	case OutcomeUnreachable, OutcomeFailed:
		one.outUntil = now.Add(firstOut << min(one.outs, maxOuts))
		one.outs++
	}
}

// learnItemTime adjusts the time of one item, which differs by stage, from calls at the usual speed.
func (pl *Scheduler) learnItemTime(took time.Duration, items int, ratio float64) {
	if ratio > trialFactor || items == 0 {
		return
	}
	each := max(float64(took-pl.terms.CallTime), 0) / float64(items)
	pl.itemTime += itemTimeWeight * (each - pl.itemTime)
	pl.itemTime = max(pl.itemTime, float64(pl.terms.ItemTime)/trialShare)
}

// byReadiness orders the upstreams for a new call: the fastest first.
func (pl *Scheduler) byReadiness(now time.Time) []string {
	names := slices.Clone(pl.names)
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(pl.upstreams[left].slowness(now), pl.upstreams[right].slowness(now))
	})
	return names
}

// betterElsewhere reports whether waiting for a faster upstream gives results sooner than a call to a slow one.
func (pl *Scheduler) betterElsewhere(now time.Time, slow *upstream) bool {
	here := time.Duration(slow.slowness(now) * float64(pl.expected(1)))
	if slow.slowness(now) < trialFactor {
		return false
	}
	for _, other := range pl.upstreams {
		if other == slow || now.Before(other.outUntil) || other.slowness(now) >= trialFactor {
			continue
		}
		if pl.freeIn(now, other)+pl.expected(pl.terms.MaxBatch) < here {
			return true
		}
	}
	return false
}

// freeIn returns how long an upstream is busy.
func (pl *Scheduler) freeIn(now time.Time, one *upstream) time.Duration {
	if one.calls < max(pl.terms.Slots, 1) {
		return max(one.outUntil.Sub(now), 0)
	}
	soonest := time.Duration(math.MaxInt64)
	for _, each := range pl.calls {
		if each.upstream == one {
			full := time.Duration(one.slowness(now) * float64(each.expected))
			soonest = min(soonest, max(full-now.Sub(each.started), 0))
		}
	}
	return soonest
}

// sizeMargin is the part of the room that is used: results differ from their stated size.
const sizeMargin = 0.95

// room returns the bytes that further results may take at an upstream.
func (pl *Scheduler) room(now time.Time, one *upstream) int64 {
	return int64(sizeMargin*float64(pl.terms.ResultCapacity)) - one.held(now)
}

// longOut is how long an upstream must be out of use not to be counted on.
const longOut = 400 * time.Millisecond
