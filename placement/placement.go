package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/hotpart"
	"github.com/turmericdoor/turmericdoor/roster"
)

// Criteria describes what a request needs from its upstream; Session is 0 for a request without a shared prompt.
type Criteria struct {
	FailureDomain string
	Session       uint64
	// SharedTokens are prompt tokens that an engine has cached if it served the session before. PromptTokens are not shared.
	SharedTokens int
	PromptTokens int
	// Instances is the number of live instances, each of which places requests of the session; 0 counts as 1.
	Instances int
	// IsRepeated is set if the request was placed before, so that it does not add to the session's demand.
	IsRepeated bool
	Exclude    []roster.Incarnation
	// SoftwareVersion is the only version that upstreams may have if OnlyVersion is set.
	OnlyVersion     bool
	SoftwareVersion string
	// InputBytes is the size of the inputs that the upstream reads from FailureDomain.
	InputBytes int64
	// Slack is the time left until the first byte misses the target latency.
	Slack time.Duration
	// Pinned selects the first usable upstream in the session's order, whatever its load.
	Pinned bool
	// MaxInFlight bounds the requests, one connection each, that this instance has in flight at an upstream; 0 is no limit.
	MaxInFlight int
	// Avoided holds upstreams that are chosen only if there is no other, until a time.
	Avoided map[roster.Incarnation]time.Time
}

// allows reports whether the request may run on an upstream.
func (cr Criteria) allows(up *roster.Upstream) bool {
	return !slices.Contains(cr.Exclude, up.Incarnation()) && (!cr.OnlyVersion || up.SoftwareVersion == cr.SoftwareVersion)
}

// Choice is the selected upstream with the reasons for the selection.
type Choice struct {
	Upstream *roster.Upstream
	// Order is the upstream's position in the session's rendezvous order, starting at 0.
	Order int
	// Engines is how many of the first upstreams in the order serve the session, or 0 without a session.
	Engines int
	// ExpectedLatency is the expected time until the first byte of the response.
	ExpectedLatency time.Duration
}

// Result is how an attempt at an upstream ended.
type Result int

// The results of an attempt.
const (
	// Served is a complete response.
	Served Result = iota
	// Rejected is a request that the upstream did not execute.
	Rejected
	// Unreachable is a request for which no connection could be made.
	Unreachable
	// Failed is a request without a complete response, or with an error response.
	Failed
	// Abandoned is a request that was given up for reasons unrelated to the upstream.
	Abandoned
)

// Pool holds what one instance knows about the upstreams of one pool; it is not safe for concurrent use.
type Pool struct {
	states      map[roster.Incarnation]*state
	idleLatency time.Duration
	rotation    uint64
	// sessions holds the demand of the sessions, and where their parts are expected to be cached.
	sessions *hotpart.Table
	// serviceTime is the moving average of the duration of a request.
	serviceTime time.Duration
}

// state holds what is known about one upstream.
type state struct {
	inFlight int
	// pendingTokens are the prompt tokens of the requests without a first byte.
	pendingTokens int
	ejectedUntil  time.Time
	// limitedUntil is when the upstream's rate limit allows another request.
	limitedUntil time.Time
	// ejections counts the consecutive connection failures.
	ejections int
	// failureRate and slowdown are moving averages at observedAt; a slowdown of 1 is the expected latency.
	failureRate float64
	slowdown    float64
	observedAt  time.Time
}

const (
	// tokensPerMs is the assumed rate at which an engine processes a prompt.
	tokensPerMs = 40
	// inFlightCost is the latency added by each request in flight at an upstream.
	inFlightCost = 4 * time.Millisecond
	// onTimeWeight is the weight of expected latency within the slack, lateWeight of latency beyond it.
	onTimeWeight = 0.3
	lateWeight   = 4
	// recomputeCost is the time cost of processing a shared token that is not cached.
	recomputeCost = 85 * time.Microsecond
	// remoteCost and remoteCostPerMB are the time cost of an upstream in another failure domain.
	remoteCost      = 2 * time.Millisecond
	remoteCostPerMB = 15 * time.Millisecond
	megabyte        = 1e6
	// halfLife is the time in which an observation loses half of its weight.
	halfLife = 3 * time.Second
	// sampleWeight is the weight of the newest request in the moving averages.
	sampleWeight = 0.3
	// failureCost is the expected time lost at an upstream that fails every request.
	failureCost = 4 * time.Second
	// avoidedCost is what a request gains at another upstream than one that has asked other instances for a pause.
	avoidedCost = 4 * time.Second
	// baseEjection is how long an unreachable upstream is ejected; it doubles with each further failure, at most
	// maxDoublings times.
	baseEjection = 300 * time.Millisecond
	maxDoublings = 4
	// rejectionEjection is how long an upstream that rejected a request is ejected.
	rejectionEjection = 150 * time.Millisecond
	// maxSlowdown bounds the slowdown of a single observation.
	maxSlowdown = 20
)

// New returns the state of a pool; idleLatency is the assumed latency of an idle upstream.
func New(idleLatency time.Duration) *Pool {
	return &Pool{states: map[roster.Incarnation]*state{}, idleLatency: idleLatency, sessions: hotpart.New(), serviceTime: assumedServiceTime}
}

// Prune drops the state of upstreams that are no longer listed and have no request in flight.
func (pl *Pool) Prune(list []*roster.Upstream) {
	listed := map[roster.Incarnation]bool{}
	for _, up := range list {
		listed[up.Incarnation()] = true
	}
	gone := []roster.Incarnation{}
	for incarnation, known := range pl.states {
		if !listed[incarnation] && known.inFlight == 0 {
			delete(pl.states, incarnation)
			gone = append(gone, incarnation)
		}
	}
	pl.sessions.Forget(gone...)
}

func (pl *Pool) state(incarnation roster.Incarnation) *state {
	known, found := pl.states[incarnation]
	if !found {
		known = &state{slowdown: 1}
		pl.states[incarnation] = known
	}
	return known
}

// decay returns the remaining weight of the last observation.
func (st *state) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(st.observedAt)) / float64(halfLife))
}

func (st *state) failureRateAt(now time.Time) float64 {
	return st.failureRate * st.decay(now)
}

func (st *state) slowdownAt(now time.Time) float64 {
	return 1 + (st.slowdown-1)*st.decay(now)
}

// Pick returns the listed upstream with the lowest cost, or false if none is available.
func (pl *Pool) Pick(now time.Time, list []*roster.Upstream, criteria Criteria) (Choice, bool) {
	best, found := Choice{}, false
	lowest := math.Inf(1)
	pl.rotation++
	serving := pl.observe(now, list, criteria)
	hasUnavailable := false
	for position, at := range pl.order(list, criteria.Session) {
		up := list[at]
		known := pl.state(up.Incarnation())
		if !known.isAvailable(now, up, criteria) {
			hasUnavailable = hasUnavailable || position < serving.count
			continue
		}
		isCached := serving.isCached(now, up, position)
		expected := pl.expectedLatency(now, known, up, criteria, isCached)
		if criteria.Pinned {
			return Choice{Upstream: up, Order: position, Engines: serving.count, ExpectedLatency: expected}, true
		}
		score := cost(expected, criteria.Slack) + known.failureRateAt(now)*float64(failureCost)
		if up.FailureDomain != criteria.FailureDomain {
			score += float64(remoteCost) + float64(criteria.InputBytes)*float64(remoteCostPerMB)/megabyte
		}
		if now.Before(criteria.Avoided[up.Incarnation()]) {
			score += float64(avoidedCost)
		}
		score += serving.cost(position, isCached, criteria.SharedTokens)
		if score < lowest {
			best, lowest, found = Choice{Upstream: up, Order: position, Engines: serving.count, ExpectedLatency: expected}, score, true
		}
	}
	if !hasUnavailable {
		serving.recordOverflow(now, best)
	}
	return best, found
}

// isAvailable reports whether a request may be sent to an upstream now.
func (st *state) isAvailable(now time.Time, up *roster.Upstream, criteria Criteria) bool {
	if now.Before(st.ejectedUntil) || now.Before(st.limitedUntil) || !criteria.allows(up) {
		return false
	}
	return criteria.MaxInFlight == 0 || st.inFlight < criteria.MaxInFlight
}

// PickLimited returns the listed upstream whose rate limit first allows another request, and how long that takes, or false if no
// upstream is left out for its rate limit alone.
func (pl *Pool) PickLimited(now time.Time, list []*roster.Upstream, criteria Criteria) (Choice, time.Duration, bool) {
	best, found := Choice{}, false
	shortest := time.Duration(math.MaxInt64)
	serving := pl.sessionEngines(list, criteria)
	for position, at := range pl.order(list, criteria.Session) {
		up := list[at]
		known := pl.state(up.Incarnation())
		wait := known.limitedUntil.Sub(now)
		if wait <= 0 || now.Before(known.ejectedUntil) || !criteria.allows(up) {
			continue
		}
		if wait < shortest {
			expected := pl.expectedLatency(now, known, up, criteria, serving.isCached(now, up, position))
			best, shortest, found = Choice{Upstream: up, Order: position, Engines: serving.count, ExpectedLatency: expected}, wait, true
		}
	}
	return best, shortest, found
}

// RecordLimited records that an upstream's rate limit allows no request until a time.
func (pl *Pool) RecordLimited(incarnation roster.Incarnation, until time.Time) {
	pl.state(incarnation).limitedUntil = until
}

// cost weights expected latency lightly within the slack and heavily beyond it.
func cost(expected, slack time.Duration) float64 {
	late := max(expected-max(slack, 0), 0)
	return onTimeWeight*float64(expected-late) + lateWeight*float64(late)
}

// order returns the indexes of the list in the session's rendezvous order, which is the same on all instances. Without
// a session the order rotates with each pick.
func (pl *Pool) order(list []*roster.Upstream, session uint64) []int {
	positions := make([]int, len(list))
	weights := make([]uint64, len(list))
	for at, up := range list {
		positions[at] = at
		weights[at] = weight(session, up.ID)
	}
	if session == 0 {
		for at := range positions {
			positions[at] = (at + int(pl.rotation%uint64(len(list)))) % len(list)
		}
		return positions
	}
	slices.SortFunc(positions, func(left, right int) int { return cmp.Compare(weights[right], weights[left]) })
	return positions
}

func weight(session uint64, id string) uint64 {
	mixed := (xxhash.Sum64String(id) ^ session) * 0x9E3779B97F4A7C15
	return mixed ^ mixed>>29
}

// Preferred returns the first upstream in the session's order, or false if the list is empty.
func (pl *Pool) Preferred(list []*roster.Upstream, session uint64) (*roster.Upstream, bool) {
	if len(list) == 0 {
		return nil, false
	}
	return list[pl.order(list, session)[0]], true
}

// expectedLatency estimates the time until the first byte from the queued prompts, the request's own prompt and the
// requests in flight. It is doubled for an upstream that is still warming up.
func (pl *Pool) expectedLatency(now time.Time, known *state, up *roster.Upstream, criteria Criteria, isCached bool) time.Duration {
	tokens := criteria.PromptTokens + known.pendingTokens
	if !isCached {
		tokens += criteria.SharedTokens
	}
	promptTime := time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
	inFlightTime := time.Duration(known.inFlight) * inFlightCost
	if up.Slots > 0 && known.inFlight >= up.Slots {
		inFlightTime += pl.idleLatency
	}
	expected := time.Duration(known.slowdownAt(now) * float64(pl.idleLatency+promptTime+inFlightTime))
	if now.Before(up.WarmAt) {
		expected *= 2
	}
	return expected
}

// RecordStart records that a request is being sent; RecordEnd must follow.
func (pl *Pool) RecordStart(incarnation roster.Incarnation, promptTokens int) {
	known := pl.state(incarnation)
	known.inFlight++
	known.pendingTokens += promptTokens
}

// RecordFirstByte records the first byte of a response and compares its latency with the expected one.
func (pl *Pool) RecordFirstByte(now time.Time, incarnation roster.Incarnation, promptTokens int, latency, expected time.Duration) {
	known := pl.state(incarnation)
	known.pendingTokens -= promptTokens
	ratio := min(max(float64(latency)/float64(max(expected, time.Millisecond)), 1), maxSlowdown)
	known.slowdown = known.slowdownAt(now)*(1-sampleWeight) + ratio*sampleWeight
	known.failureRate = known.failureRateAt(now) * (1 - sampleWeight)
	known.observedAt = now
}

// RecordEnd records the end of an attempt and returns how long the upstream is ejected because of it. gotFirstByte must
// be true if RecordFirstByte was called for the attempt.
func (pl *Pool) RecordEnd(now time.Time, incarnation roster.Incarnation, promptTokens int, gotFirstByte bool, result Result) time.Duration {
	known := pl.state(incarnation)
	known.inFlight--
	if !gotFirstByte {
		known.pendingTokens -= promptTokens
	}
	switch result {
	case Served:
		known.ejections = 0
	case Rejected:
		known.ejectedUntil = now.Add(rejectionEjection)
		return rejectionEjection
	case Unreachable:
		ejection := baseEjection << min(known.ejections, maxDoublings)
		known.ejectedUntil = now.Add(ejection)
		known.ejections++
		return ejection
	case Failed:
		known.slowdown, known.failureRate = known.slowdownAt(now), known.failureRateAt(now)*(1-sampleWeight)+sampleWeight
		known.observedAt = now
	case Abandoned:
	}
	return 0
}
