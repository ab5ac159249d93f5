package choice

import (
	"time"

	"github.com/turmericdoor/turmericdoor/limit"
)

// Candidate is one upstream with the state that this instance tracks for it; it is not safe for concurrent use.
type Candidate struct {
	Name          string
	FailureDomain string
	// Incarnation is raised in the document when an upstream that had left comes back under the same name.
	Incarnation int64
	// Slots is the number of calls that the upstream can run concurrently.
	Slots int64
	// Adapters are the model adapters that the upstream loads.
	Adapters []string
	// Limit bounds this instance's calls in flight on the upstream, which InFlight counts.
	Limit    *limit.Limiter
	InFlight int64
	// Leaving is set if the upstream gets no more calls because it will stop.
	Leaving bool
	// Exclusive is set while the upstream is reserved for a request that must run alone, or runs one: it gets no other
	// calls from this instance.
	Exclusive bool

	epoch time.Time
	// otherLoad is the load at the last report, less this instance's own calls in flight at that time.
	otherLoad      int64
	loadReportedAt instant
	// serviceTime is the moving average of the service time in nanoseconds, or 0 before the first measurement.
	serviceTime         float64
	serviceMeasuredAt   instant
	consecutiveFailures int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil instant
	// halfOpen is set from an ejection until the next success. Once the ejection has ended, the upstream gets one call
	// at a time; if requireProbe is set, it gets none until a probe has reached it, which sets probeSucceeded.
	halfOpen       bool
	requireProbe   bool
	probeSucceeded bool
	addedAt        instant
	prefixes       [prefixSlots]prefixEntry
}

// instant is a time in nanoseconds since the picker's epoch plus epochOffset. The zero value is older than every
// TTL below. Comparing instants is cheaper than comparing time.Time values on the path of each request.
type instant int64

// epochOffset is the instant of the picker's epoch, which is the time of the first Add.
const epochOffset = instant(time.Hour)

func toInstant(epoch, now time.Time) instant {
	return epochOffset + instant(now.Sub(epoch))
}

// prefixEntry records when a prompt prefix was last sent to the upstream.
type prefixEntry struct {
	hash uint64
	at   instant
}

const (
	// prefixSlots is the number of prompt prefixes recorded for each upstream.
	prefixSlots = 64
	// prefixTTL is the time after which a prefix is assumed to be evicted from an engine's cache.
	prefixTTL = instant(time.Minute)
	// cachedPrefixSaving is the fraction of the service time that a cached prefix saves.
	cachedPrefixSaving = 0.3
	// loadReportTTL is the age at which the load that an upstream reported is no longer used.
	loadReportTTL = instant(time.Second)
	// serviceTimeTTL is the age at which a measured service time is no longer used. Without it, an upstream with
	// one slow measurement would never be picked and so never be measured again.
	serviceTimeTTL = 5 * instant(time.Second)
	// slowStartDuration is the time that a new upstream takes to reach its full share of calls.
	slowStartDuration = 5 * instant(time.Second)
	// serviceSmoothing is the weight of a new service time in an upstream's moving average.
	serviceSmoothing = 0.2
	// crossDomainLatency is the extra time, in nanoseconds, of a call to another failure domain.
	crossDomainLatency = float64(2 * time.Millisecond)
	// crossDomainMargin is the fraction of the pool's mean service time by which an upstream of another failure
	// domain must be faster. It prevents random differences from sending calls over links that may be cut.
	crossDomainMargin = 0.5
	// halfOpenMargin is the same fraction for an upstream that was ejected and has not answered since. Such an
	// upstream gets a call when the others are near their limits, but not with each request while load is low.
	halfOpenMargin = 1.0
	// failuresToEject is the number of consecutive failures after which an upstream is ejected.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection; each further ejection without a success in between doubles it.
	baseEjection = instant(time.Second)
	// maxEjectionDoublings limits how often the duration of an ejection doubles for an upstream that failed calls.
	maxEjectionDoublings = 5
	// maxUnreachableDoublings is the same limit for an upstream to which no connection could be made. It is lower
	// because a failed connection attempt costs little.
	maxUnreachableDoublings = 1
)

// RecordLoad records the load that the upstream reported, less this instance's own calls in flight.
func (cd *Candidate) RecordLoad(now time.Time, load int64) {
	cd.otherLoad = max(load-cd.InFlight, 0)
	cd.loadReportedAt = toInstant(cd.epoch, now)
}

// otherLoadAt estimates the load from other instances. As the last report ages, the estimate moves linearly from
// the reported load to the pool's mean: an upstream without a recent report is not assumed to be idle.
func (cd *Candidate) otherLoadAt(now instant, mean float64) float64 {
	age := now - cd.loadReportedAt
	if age >= loadReportTTL {
		return mean
	}
	return mean + (float64(cd.otherLoad)-mean)*float64(loadReportTTL-age)/float64(loadReportTTL)
}

// RecordSuccess records an answer and its service time, and ends the half-open state.
func (cd *Candidate) RecordSuccess(now time.Time, service time.Duration) {
	cd.consecutiveFailures = 0
	cd.ejections = 0
	cd.halfOpen = false
	cd.recordServiceTime(now, service)
}

func (cd *Candidate) recordServiceTime(now time.Time, service time.Duration) {
	if cd.serviceTime == 0 {
		cd.serviceTime = float64(service)
	}
	cd.serviceTime += serviceSmoothing * (float64(service) - cd.serviceTime)
	cd.serviceMeasuredAt = toInstant(cd.epoch, now)
}

// RecordCancelled records a call that this instance cancelled after elapsed, which is a lower bound for its
// service time.
func (cd *Candidate) RecordCancelled(now time.Time, elapsed time.Duration) {
	if float64(elapsed) > cd.serviceTime {
		cd.recordServiceTime(now, elapsed)
	}
}

// RecordFailure counts a failed call and reports whether the upstream should be ejected.
func (cd *Candidate) RecordFailure() bool {
	cd.consecutiveFailures++
	return cd.consecutiveFailures >= failuresToEject
}

// eject ejects the upstream for a time that doubles with each ejection in a row, at most maxDoublings times. The
// upstream is half-open afterwards, and one more failure ejects it again.
func (cd *Candidate) eject(now instant, maxDoublings int) {
	length := baseEjection << min(cd.ejections, maxDoublings)
	cd.ejections++
	cd.consecutiveFailures = failuresToEject - 1
	cd.halfOpen = true
	cd.probeSucceeded = false
	cd.ejectedUntil = now + length
}

// IsEjected reports whether the upstream is ejected at the time now.
func (cd *Candidate) IsEjected(now time.Time) bool {
	return cd.isEjectedAt(toInstant(cd.epoch, now))
}

func (cd *Candidate) isEjectedAt(now instant) bool {
	return now < cd.ejectedUntil
}

// isUsable reports whether the upstream may get new calls, apart from its limit.
func (cd *Candidate) isUsable(now instant) bool {
	return !cd.Leaving && !cd.Exclusive && !cd.isEjectedAt(now)
}

// hasCapacity reports whether one more call stays within the limit. With requireIdle, this instance must also have no
// call in flight on the upstream.
func (cd *Candidate) hasCapacity(requireIdle bool) bool {
	if requireIdle {
		return cd.InFlight == 0 && cd.maxInFlight() > 0
	}
	return cd.InFlight < cd.maxInFlight()
}

// maxInFlight returns the number of calls that may be in flight. A half-open upstream may have one, or none until
// a probe has reached it if probes are required.
func (cd *Candidate) maxInFlight() int64 {
	switch {
	case !cd.halfOpen:
		return cd.Limit.Current()
	case cd.requireProbe && !cd.probeSucceeded:
		return 0
	default:
		return 1
	}
}

// capacity returns what the upstream adds to the pool's capacity. For a half-open upstream, calls in flight are
// deducted.
func (cd *Candidate) capacity() int64 {
	if cd.halfOpen {
		return max(cd.maxInFlight()-cd.InFlight, 0)
	}
	return cd.Limit.Current()
}

// RecordPrefix records that the upstream computes a prompt prefix; prefix is its hash, or 0 for none.
func (cd *Candidate) RecordPrefix(now time.Time, prefix uint64) {
	if prefix != 0 {
		cd.prefixes[prefix%prefixSlots] = prefixEntry{hash: prefix, at: toInstant(cd.epoch, now)}
	}
}

// prefixHitProbability estimates the probability that the upstream still has the prefix in its cache.
func (cd *Candidate) prefixHitProbability(now instant, prefix uint64) float64 {
	if prefix == 0 {
		return 0
	}
	use := &cd.prefixes[prefix%prefixSlots]
	age := now - use.at
	if use.hash != prefix || age >= prefixTTL {
		return 0
	}
	return 1 - float64(age)/float64(prefixTTL)
}

// expectedServiceTime returns the upstream's expected service time in nanoseconds. As the last measurement ages,
// the result moves linearly to mean, which is the pool's mean service time.
func (cd *Candidate) expectedServiceTime(now instant, mean float64) float64 {
	if cd.serviceTime == 0 {
		return mean
	}
	age := now - cd.serviceMeasuredAt
	if age >= serviceTimeTTL || age < 0 {
		return mean
	}
	return mean + (cd.serviceTime-mean)*float64(serviceTimeTTL-age)/float64(serviceTimeTTL)
}

// slowStartFactor returns the factor on the score of a new upstream: 5 at first, falling to 1 in
// slowStartDuration.
func (cd *Candidate) slowStartFactor(now instant) float64 {
	age := now - cd.addedAt
	if age >= slowStartDuration {
		return 1
	}
	return 1 + 4*float64(slowStartDuration-age)/float64(slowStartDuration)
}
