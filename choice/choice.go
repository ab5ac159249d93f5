package choice

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Criteria are the properties of a call that decide which upstreams may serve it and which one is best.
type Criteria struct {
	// FailureDomain is the preferred failure domain.
	FailureDomain string
	// Avoid lists the names of upstreams that must not be picked.
	Avoid []string
	// Adapter is the model adapter that the upstream must have loaded, or "" for none.
	Adapter string
	// PrefixHash is the hash of the prompt prefix, or 0 for a call without one.
	PrefixHash uint64
	// RequireIdle restricts the pick to upstreams on which this instance has no call in flight.
	RequireIdle bool
}

// Picker picks among the upstreams of one pool; it is not safe for concurrent use.
type Picker struct {
	candidates []*Candidate
	random     *rand.Rand
	// meanServiceTime, in nanoseconds, and meanOtherLoad are moving averages over all upstreams of the pool.
	meanServiceTime float64
	meanOtherLoad   float64
	epoch           time.Time
	requireProbe    bool
}

const (
	// maxFullScan is the pool size up to which each pick scores every upstream.
	maxFullScan = 32
	// sampleSize is the number of randomly drawn upstreams that a pick scores in a larger pool.
	sampleSize = 16
	// maxEjectedFraction is the fraction of a pool that may be ejected at once because of failed calls.
	maxEjectedFraction = 0.5
)

// New returns a picker without upstreams. It draws from random, and assumes the service time mean until calls
// have been measured.
func New(random *rand.Rand, mean time.Duration) *Picker {
	return &Picker{random: random, meanServiceTime: float64(mean)}
}

// Add adds an upstream; a warm one skips slow start.
func (pk *Picker) Add(now time.Time, cd *Candidate, warm bool) {
	if pk.epoch.IsZero() {
		pk.epoch = now
	}
	cd.epoch = pk.epoch
	cd.requireProbe = pk.requireProbe
	cd.addedAt = toInstant(pk.epoch, now)
	if warm {
		cd.addedAt -= slowStartDuration
	}
	pk.candidates = append(pk.candidates, cd)
}

// Remove removes an upstream by name.
func (pk *Picker) Remove(name string) {
	pk.candidates = slices.DeleteFunc(pk.candidates, func(cd *Candidate) bool { return cd.Name == name })
}

// Candidates returns the upstreams; the caller must not modify the slice.
func (pk *Picker) Candidates() []*Candidate {
	return pk.candidates
}

// MeanServiceTime returns the moving average of the service time over the pool.
func (pk *Picker) MeanServiceTime() time.Duration {
	return time.Duration(pk.meanServiceTime)
}

// poolSmoothing is the weight of one call in the pool's moving averages.
const poolSmoothing = 0.02

// RecordLoad records the load that an upstream reported, for the upstream and for the pool.
func (pk *Picker) RecordLoad(now time.Time, cd *Candidate, load int64) {
	cd.RecordLoad(now, load)
	pk.meanOtherLoad += poolSmoothing * (float64(cd.otherLoad) - pk.meanOtherLoad)
}

// RecordSuccess records the service time of an answer, for the upstream and for the pool.
func (pk *Picker) RecordSuccess(now time.Time, cd *Candidate, service time.Duration) {
	cd.RecordSuccess(now, service)
	pk.meanServiceTime += poolSmoothing * (float64(service) - pk.meanServiceTime)
}

// RecordFailure counts a failed call and reports whether the upstream was ejected for it. The upstream is ejected
// after failuresToEject failures in a row, unless that would eject more than maxEjectedFraction of the pool.
func (pk *Picker) RecordFailure(now time.Time, cd *Candidate) bool {
	at := toInstant(pk.epoch, now)
	if !cd.RecordFailure() || cd.isEjectedAt(at) {
		return false
	}
	ejected := 1
	for _, other := range pk.candidates {
		if other.isEjectedAt(at) {
			ejected++
		}
	}
	if float64(ejected) > maxEjectedFraction*float64(len(pk.candidates)) {
		return false
	}
	cd.eject(at, maxEjectionDoublings)
	return true
}

// RecordUnreachable ejects an upstream to which no connection could be made. maxEjectedFraction doesn't apply:
// calls to an unreachable upstream can't succeed.
func (pk *Picker) RecordUnreachable(now time.Time, cd *Candidate) {
	at := toInstant(pk.epoch, now)
	if !cd.isEjectedAt(at) {
		cd.eject(at, maxUnreachableDoublings)
	}
}

// RequireProbe withholds calls from an upstream whose ejection has ended until a probe has reached it. It must be
// called before Add.
func (pk *Picker) RequireProbe() {
	pk.requireProbe = true
}

// ProbeTargets returns the upstreams whose ejection has ended and that no probe has reached since.
func (pk *Picker) ProbeTargets(now time.Time) []*Candidate {
	at := toInstant(pk.epoch, now)
	list := []*Candidate{}
	for _, cd := range pk.candidates {
		if cd.halfOpen && !cd.probeSucceeded && !cd.Leaving && !cd.isEjectedAt(at) {
			list = append(list, cd)
		}
	}
	return list
}

// RecordProbe records whether a probe reached an upstream, and ejects the upstream again if not.
func (pk *Picker) RecordProbe(now time.Time, cd *Candidate, reached bool) {
	if reached {
		cd.probeSucceeded = true
		return
	}
	pk.RecordUnreachable(now, cd)
}

// Pick returns the upstream with the lowest score among those that meet the criteria and have capacity, or nil if
// there is none. In a pool larger than maxFullScan it scores a random sample first, and all upstreams only if
// none of the sample can take the call.
func (pk *Picker) Pick(now time.Time, criteria *Criteria) *Candidate {
	count := len(pk.candidates)
	if count == 0 {
		return nil
	}
	at := toInstant(pk.epoch, now)
	if count > maxFullScan {
		if picked := pk.pickSample(at, criteria); picked != nil {
			return picked
		}
	}
	return pk.scan(at, criteria, pk.random.IntN(count), count)
}

// pickSample returns the best of sampleSize randomly drawn upstreams, or nil.
func (pk *Picker) pickSample(now instant, criteria *Criteria) *Candidate {
	count := len(pk.candidates)
	best := (*Candidate)(nil)
	lowest := 0.0
	for range sampleSize {
		cd := pk.candidates[pk.random.IntN(count)]
		best, lowest = pk.better(now, criteria, cd, best, lowest)
	}
	return best
}

// scan returns the best of count upstreams from the index next on, or nil. The caller draws next at random, so
// that equal scores don't always pick the same upstream.
func (pk *Picker) scan(now instant, criteria *Criteria, next, count int) *Candidate {
	best := (*Candidate)(nil)
	lowest := 0.0
	for range count {
		best, lowest = pk.better(now, criteria, pk.candidates[next], best, lowest)
		next++
		if next == count {
			next = 0
		}
	}
	return best
}

// better returns cd and its score if cd may take the call and scores lower than best, and otherwise best and
// lowest.
func (pk *Picker) better(now instant, criteria *Criteria, cd, best *Candidate, lowest float64) (*Candidate, float64) {
	if !cd.isUsable(now) || !cd.hasCapacity(criteria.RequireIdle) || !satisfies(cd, criteria) {
		return best, lowest
	}
	score := pk.score(now, criteria, cd)
	if best == nil || score < lowest {
		return cd, score
	}
	return best, lowest
}

// satisfies reports whether the upstream has the required adapter and isn't to be avoided.
func satisfies(cd *Candidate, criteria *Criteria) bool {
	if criteria.Adapter != "" && !slices.Contains(cd.Adapters, criteria.Adapter) {
		return false
	}
	return len(criteria.Avoid) == 0 || !slices.Contains(criteria.Avoid, cd.Name)
}

// score returns the expected time of a call in nanoseconds, with margins added for other failure domains and for
// half-open upstreams.
func (pk *Picker) score(now instant, criteria *Criteria, cd *Candidate) float64 {
	serviceTime := cd.expectedServiceTime(now, pk.meanServiceTime)
	load := (float64(cd.InFlight) + cd.otherLoadAt(now, pk.meanOtherLoad)) / float64(cd.Slots)
	score := serviceTime * (1 + load) * cd.slowStartFactor(now)
	if cd.FailureDomain != criteria.FailureDomain {
		score += crossDomainLatency + crossDomainMargin*pk.meanServiceTime
	}
	if cd.halfOpen {
		score += halfOpenMargin * pk.meanServiceTime
	}
	return score - cachedPrefixSaving*serviceTime*cd.prefixHitProbability(now, criteria.PrefixHash)
}

// Capacity returns the total number of calls that this instance may have in flight on the pool's upstreams that
// are neither leaving nor ejected.
func (pk *Picker) Capacity(now time.Time) int64 {
	at := toInstant(pk.epoch, now)
	total := int64(0)
	for _, cd := range pk.candidates {
		if !cd.Leaving && !cd.isEjectedAt(at) {
			total += cd.capacity()
		}
	}
	return total
}
