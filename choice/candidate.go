package choice

import (
	"time"

	"github.com/turmericdoor/turmericdoor/limit"
)

// Candidate is one upstream as this instance sees it; it is not safe for concurrent use.
type Candidate struct {
	Name          string
	FailureDomain string
	Incarnation   int64
	Slots         int64
	Adapters      []string
	Limit         *limit.Limiter
	InFlight      int64
	Leaving       bool
	Exclusive     bool

	base        time.Time
	others      int64
	reportedAt  instant
	service     float64
	servedAt    instant
	failures    int
	ejections   int
	ejectedTill instant
	onTrial     bool
	probeFirst  bool
	reached     bool
	addedAt     instant
	prefixes    [prefixSlots]prefixUse
}

// instant is a time in nanoseconds since the chooser began, moved up by beginning so that the zero
// value lies further back than anything is remembered; the path of a request compares these, not times.
type instant int64

// beginning is the instant at which a chooser begins.
const beginning = instant(time.Hour)

// since converts a time to an instant.
func since(base, now time.Time) instant {
	return beginning + instant(now.Sub(base))
}

// prefixUse remembers when a prompt prefix was last computed on the upstream.
type prefixUse struct {
	hash uint64
	at   instant
}

const (
	// prefixSlots is how many prefixes are remembered for each upstream.
	prefixSlots = 64
	// prefixLife is how long a prefix is taken to stay in an engine's cache.
	prefixLife = instant(time.Minute)
	// prefillShare is the part of the service time that a cached prefix saves.
	prefillShare = 0.3
	// reportLife is how long another instance's load, as reported on an answer, is believed.
	reportLife = instant(time.Second)
	// forgetAfter is how long a bad latency keeps an unused upstream from being tried again.
	forgetAfter = 5 * instant(time.Second)
	// slowStart is how long a newcomer takes to reach its full share.
	slowStart = 5 * instant(time.Second)
	// smoothing is the weight of a new service time in the mean.
	smoothing = 0.2
	// domainPenalty is the added time of a call into another failure domain.
	domainPenalty = float64(2 * time.Millisecond)
	// spillShare is the part of the pool's mean service time that an upstream of another failure domain must
	// be quicker by; it keeps chance differences from sending calls over links that may be cut.
	spillShare = 0.5
	// trialShare is the same for an upstream that was ejected and has not answered since: it is tried again once
	// the others are about as loaded as they may be, and not with each request of a quiet time.
	trialShare = 1.0
	// failuresToEject is how many calls in a row must fail before an upstream is ejected.
	failuresToEject = 3
	// firstEjection is the length of a first ejection; it doubles with each further one.
	firstEjection = instant(time.Second)
	// maxEjectionDoubles bounds how often the length of an ejection after failures doubles.
	maxEjectionDoubles = 5
	// maxUnreachableDoubles bounds it for upstreams that took no connection: to try one costs little.
	maxUnreachableDoubles = 1
)

// RecordLoad notes the load that an upstream stated on an answer, less this instance's own calls.
func (cd *Candidate) RecordLoad(now time.Time, load int64) {
	cd.others = max(load-cd.InFlight, 0)
	cd.reportedAt = since(cd.base, now)
}

// othersNow is the other instances' load: as reported at first, and with the report's age more and more the
// mean over the pool, since an upstream of which nothing was heard lately is no idler than the others.
func (cd *Candidate) othersNow(now instant, mean float64) float64 {
	age := now - cd.reportedAt
	if age >= reportLife {
		return mean
	}
	return mean + (float64(cd.others)-mean)*float64(reportLife-age)/float64(reportLife)
}

// RecordSuccess notes an answer and its service time.
func (cd *Candidate) RecordSuccess(now time.Time, service time.Duration) {
	cd.failures = 0
	cd.ejections = 0
	cd.onTrial = false
	cd.measured(now, service)
}

func (cd *Candidate) measured(now time.Time, service time.Duration) {
	if cd.service == 0 {
		cd.service = float64(service)
	}
	cd.service += smoothing * (float64(service) - cd.service)
	cd.servedAt = since(cd.base, now)
}

// RecordCancelled notes a call that was given up after elapsed, as a lower bound of its service time.
func (cd *Candidate) RecordCancelled(now time.Time, elapsed time.Duration) {
	if float64(elapsed) > cd.service {
		cd.measured(now, elapsed)
	}
}

// RecordFailure notes a call without an answer and reports whether the upstream should be ejected.
func (cd *Candidate) RecordFailure() bool {
	cd.failures++
	return cd.failures >= failuresToEject
}

// eject takes the upstream out of use for a while.
func (cd *Candidate) eject(now instant, maxDoubles int) {
	length := firstEjection << min(cd.ejections, maxDoubles)
	cd.ejections++
	cd.failures = failuresToEject - 1
	cd.onTrial = true
	cd.reached = false
	cd.ejectedTill = now + length
}

// IsEjected reports whether the upstream is out of use after failures.
func (cd *Candidate) IsEjected(now time.Time) bool {
	return cd.ejectedAt(since(cd.base, now))
}

func (cd *Candidate) ejectedAt(now instant) bool {
	return now < cd.ejectedTill
}

// usable reports whether a call may be sent at all.
func (cd *Candidate) usable(now instant) bool {
	return !cd.Leaving && !cd.Exclusive && !cd.ejectedAt(now)
}

// hasRoom reports whether a call fits this instance's limit; alone asks for an idle upstream.
func (cd *Candidate) hasRoom(alone bool) bool {
	if alone {
		return cd.InFlight == 0 && cd.allowed() > 0
	}
	return cd.InFlight < cd.allowed()
}

// allowed is how many calls may be in flight: one after an ejection, until it has been answered, and none
// before a probe has reached the upstream, where there are probes.
func (cd *Candidate) allowed() int64 {
	switch {
	case !cd.onTrial:
		return cd.Limit.Current()
	case cd.probeFirst && !cd.reached:
		return 0
	default:
		return 1
	}
}

// room is what the upstream adds to the room of its pool; a call that is a trial already leaves none.
func (cd *Candidate) room() int64 {
	if cd.onTrial {
		return max(cd.allowed()-cd.InFlight, 0)
	}
	return cd.Limit.Current()
}

// RecordPrefix notes that a prompt prefix is computed on the upstream.
func (cd *Candidate) RecordPrefix(now time.Time, prefix uint64) {
	if prefix != 0 {
		cd.prefixes[prefix%prefixSlots] = prefixUse{hash: prefix, at: since(cd.base, now)}
	}
}

// hitChance is the probability that the prefix is still cached.
func (cd *Candidate) hitChance(now instant, prefix uint64) float64 {
	if prefix == 0 {
		return 0
	}
	use := &cd.prefixes[prefix%prefixSlots]
	age := now - use.at
	if use.hash != prefix || age >= prefixLife {
		return 0
	}
	return 1 - float64(age)/float64(prefixLife)
}

// expected is the mean service time; an old measurement drifts back to the pool's.
func (cd *Candidate) expected(now instant, mean float64) float64 {
	if cd.service == 0 {
		return mean
	}
	age := now - cd.servedAt
	if age >= forgetAfter || age < 0 {
		return mean
	}
	return mean + (cd.service-mean)*float64(forgetAfter-age)/float64(forgetAfter)
}

// ramp is above 1 while a newcomer is warming up.
func (cd *Candidate) ramp(now instant) float64 {
	age := now - cd.addedAt
	if age >= slowStart {
		return 1
	}
	return 1 + 4*float64(slowStart-age)/float64(slowStart)
}
