package choice

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Criteria says what a call needs of its upstream; Prefix is 0 for a call without a prompt prefix.
type Criteria struct {
	FailureDomain string
	Avoid         []string
	Adapter       string
	PrefixHash    uint64
	RequireIdle   bool
}

// Picker picks among the upstreams of one pool; it is not safe for concurrent use.
type Picker struct {
	candidates []*Candidate
	random     *rand.Rand
	mean       float64
	others     float64
	base       time.Time
	probeFirst bool
}

const (
	// scanAll is the size up to which every upstream is looked at.
	scanAll = 32
	// sampleSize is how many are looked at in a larger pool.
	sampleSize = 16
	// maxEjectedShare is the part of a pool that may be ejected at once.
	maxEjectedShare = 0.5
)

// New returns a chooser that draws from random and expects calls to take mean until they are measured.
func New(random *rand.Rand, mean time.Duration) *Picker {
	return &Picker{random: random, mean: float64(mean)}
}

// Add enters an upstream; the pool's first ones need no slow start.
func (ch *Picker) Add(now time.Time, cd *Candidate, warm bool) {
	if ch.base.IsZero() {
		ch.base = now
	}
	cd.base = ch.base
	cd.probeFirst = ch.probeFirst
	cd.addedAt = since(ch.base, now)
	if warm {
		cd.addedAt -= slowStart
	}
	ch.candidates = append(ch.candidates, cd)
}

// Remove takes an upstream out by name.
func (ch *Picker) Remove(name string) {
	ch.candidates = slices.DeleteFunc(ch.candidates, func(cd *Candidate) bool { return cd.Name == name })
}

// Candidates returns the upstreams; the slice belongs to the chooser.
func (ch *Picker) Candidates() []*Candidate {
	return ch.candidates
}

// MeanServiceTime returns the mean service time of the pool.
func (ch *Picker) MeanServiceTime() time.Duration {
	return time.Duration(ch.mean)
}

// meanSmoothing is the weight of one call in the pool's mean.
const meanSmoothing = 0.02

// RecordLoad notes the load that an upstream stated on an answer.
func (ch *Picker) RecordLoad(now time.Time, cd *Candidate, load int64) {
	cd.RecordLoad(now, load)
	ch.others += meanSmoothing * (float64(cd.others) - ch.others)
}

// RecordSuccess notes an answer's service time for the upstream and for the pool.
func (ch *Picker) RecordSuccess(now time.Time, cd *Candidate, service time.Duration) {
	cd.RecordSuccess(now, service)
	ch.mean += meanSmoothing * (float64(service) - ch.mean)
}

// RecordFailure notes a failed call and ejects the upstream after several in a row, unless too many are out;
// it reports whether it was ejected.
func (ch *Picker) RecordFailure(now time.Time, cd *Candidate) bool {
	at := since(ch.base, now)
	if !cd.RecordFailure() || cd.ejectedAt(at) {
		return false
	}
	out := 1
	for _, other := range ch.candidates {
		if other.ejectedAt(at) {
			out++
		}
	}
	if float64(out) > maxEjectedShare*float64(len(ch.candidates)) {
		return false
	}
	cd.eject(at, maxEjectionDoubles)
	return true
}

// RecordUnreachable notes that an upstream took no connection, and ejects it at once. Any number may be ejected
// for this: they were not reached at all, so that sending them work can't be of use.
func (ch *Picker) RecordUnreachable(now time.Time, cd *Candidate) {
	at := since(ch.base, now)
	if !cd.ejectedAt(at) {
		cd.eject(at, maxUnreachableDoubles)
	}
}

// RequireProbe makes upstreams that were ejected wait for a probe that reaches them before they get a call; it is
// to be called before any upstream is added.
func (ch *Picker) RequireProbe() {
	ch.probeFirst = true
}

// ProbeTargets returns the upstreams whose ejection is over and that no probe has reached since.
func (ch *Picker) ProbeTargets(now time.Time) []*Candidate {
	at := since(ch.base, now)
	list := []*Candidate{}
	for _, cd := range ch.candidates {
		if cd.onTrial && !cd.reached && !cd.Leaving && !cd.ejectedAt(at) {
			list = append(list, cd)
		}
	}
	return list
}

// RecordProbe notes whether a probe reached an upstream.
func (ch *Picker) RecordProbe(now time.Time, cd *Candidate, reached bool) {
	if reached {
		cd.reached = true
		return
	}
	ch.RecordUnreachable(now, cd)
}

// Pick returns the best upstream with room, or nil when there is none.
func (ch *Picker) Pick(now time.Time, wish *Criteria) *Candidate {
	count := len(ch.candidates)
	if count == 0 {
		return nil
	}
	at := since(ch.base, now)
	if count > scanAll {
		if found := ch.pickSample(at, wish); found != nil {
			return found
		}
	}
	return ch.scan(at, wish, ch.random.IntN(count), count)
}

// pickSample looks at a few at random.
func (ch *Picker) pickSample(now instant, wish *Criteria) *Candidate {
	count := len(ch.candidates)
	best := (*Candidate)(nil)
	lowest := 0.0
	for range sampleSize {
		cd := ch.candidates[ch.random.IntN(count)]
		best, lowest = ch.better(now, wish, cd, best, lowest)
	}
	return best
}

func (ch *Picker) scan(now instant, wish *Criteria, offset, count int) *Candidate {
	best := (*Candidate)(nil)
	lowest := 0.0
	for range count {
		best, lowest = ch.better(now, wish, ch.candidates[offset], best, lowest)
		offset++
		if offset == count {
			offset = 0
		}
	}
	return best
}

// better returns cd with its score if it beats the best so far.
func (ch *Picker) better(now instant, wish *Criteria, cd, best *Candidate, lowest float64) (*Candidate, float64) {
	if !cd.usable(now) || !cd.hasRoom(wish.RequireIdle) || !fits(cd, wish) {
		return best, lowest
	}
	score := ch.score(now, wish, cd)
	if best == nil || score < lowest {
		return cd, score
	}
	return best, lowest
}

// fits reports whether the upstream may serve the wish at all.
func fits(cd *Candidate, wish *Criteria) bool {
	if wish.Adapter != "" && !slices.Contains(cd.Adapters, wish.Adapter) {
		return false
	}
	return len(wish.Avoid) == 0 || !slices.Contains(wish.Avoid, cd.Name)
}

// score is the expected time of a call, in nanoseconds.
func (ch *Picker) score(now instant, wish *Criteria, cd *Candidate) float64 {
	service := cd.expected(now, ch.mean)
	load := (float64(cd.InFlight) + cd.othersNow(now, ch.others)) / float64(cd.Slots)
	score := service * (1 + load) * cd.ramp(now)
	if cd.FailureDomain != wish.FailureDomain {
		score += domainPenalty + spillShare*ch.mean
	}
	if cd.onTrial {
		score += trialShare * ch.mean
	}
	return score - prefillShare*service*cd.hitChance(now, wish.PrefixHash)
}

// Capacity returns the calls that this instance may have in flight on all usable upstreams together.
func (ch *Picker) Capacity(now time.Time) int64 {
	at := since(ch.base, now)
	total := int64(0)
	for _, cd := range ch.candidates {
		if !cd.Leaving && !cd.ejectedAt(at) {
			total += cd.room()
		}
	}
	return total
}
