package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Criteria is what a request needs of its upstream; Session is 0 for a request without a prompt.
type Criteria struct {
	FailureDomain string
	Session       uint64
	// SharedTokens of the PromptTokens need not be read by an engine that served the session before.
	SharedTokens int
	PromptTokens int
	Exclude      []roster.Incarnation
	// InputBytes are read by the upstream from FailureDomain.
	InputBytes int64
	// Slack is how much time is left for the first part of the answer to be in time.
	Slack time.Duration
	// MaxInFlight bounds the requests that this instance has under way at an upstream, a connection each; 0 is no bound.
	MaxInFlight int
}

// Choice is the chosen upstream with what decided it.
type Choice struct {
	Upstream *roster.Upstream
	// Order is the place of the upstream in the order of the session, 0 being the first.
	Order int
	// ExpectedLatency is the expected time until the first part of the answer.
	ExpectedLatency time.Duration
}

// Result is how a request went at an upstream.
type Result int

// The ends of a request at an upstream.
const (
	// Served is an answer of the upstream's own.
	Served Result = iota
	// Rejected is a request that the upstream did not run.
	Rejected
	// Unreachable is a request for which there was no connection.
	Unreachable
	// Failed is a request that ended without a whole answer, or with an error.
	Failed
	// Abandoned is a request that the caller gave up; it says nothing of the upstream.
	Abandoned
)

// Pool is what one instance knows of the upstreams of one pool; it is not safe for concurrent use.
type Pool struct {
	states map[roster.Incarnation]*state
	base   time.Duration
	rotate uint64
}

// state is what is known of one upstream.
type state struct {
	running  int
	reading  int
	outUntil time.Time
	outs     int
	failing  float64
	slow     float64
	seenAt   time.Time
}

const (
	// tokensPerMs is how many prompt tokens an engine reads in a millisecond.
	tokensPerMs = 40
	// runningCost is what each request under way at an upstream adds to the expected time.
	runningCost = 4 * time.Millisecond
	// timelyShare is what time within the slack counts, lateCost what time beyond it does.
	timelyShare = 0.3
	lateCost    = 4
	// readAgainCost is what reading a shared token again costs, as time.
	readAgainCost = 85 * time.Microsecond
	// farCost and farCostPerMB are what an upstream of another failure domain costs, as time.
	farCost      = 2 * time.Millisecond
	farCostPerMB = 15 * time.Millisecond
	megabyte     = 1e6
	// halfLife is the time in which what was seen of an upstream loses half of its weight.
	halfLife = 3 * time.Second
	// endWeight is the weight of the newest request in what is known of an upstream.
	endWeight = 0.3
	// failingCost is the expected loss of time at an upstream that fails every request.
	failingCost = 4 * time.Second
	// firstOut is how long an upstream without a connection is left out; it doubles up to maxOuts times.
	firstOut = 300 * time.Millisecond
	maxOuts  = 4
	// rejectedOut is how long an upstream that had no room is left out.
	rejectedOut = 150 * time.Millisecond
	// maxSlow bounds the slowness that is believed of an upstream.
	maxSlow = 20
)

// New returns the state of a pool whose upstreams answer in about base when they are idle.
func New(base time.Duration) *Pool {
	return &Pool{states: map[roster.Incarnation]*state{}, base: base}
}

// Prune forgets upstreams that are no longer listed and have nothing under way.
func (pl *Pool) Prune(list []*roster.Upstream) {
	listed := map[roster.Incarnation]bool{}
	for _, one := range list {
		listed[one.Incarnation()] = true
	}
	for incarnation, known := range pl.states {
		if !listed[incarnation] && known.running == 0 {
			delete(pl.states, incarnation)
		}
	}
}

func (pl *Pool) state(incarnation roster.Incarnation) *state {
	known, found := pl.states[incarnation]
	if !found {
		known = &state{slow: 1}
		pl.states[incarnation] = known
	}
	return known
}

// decay returns the weight that is left of what was seen of an upstream.
func (st *state) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(st.seenAt)) / float64(halfLife))
}

func (st *state) failingNow(now time.Time) float64 {
	return st.failing * st.decay(now)
}

func (st *state) slowNow(now time.Time) float64 {
	return 1 + (st.slow-1)*st.decay(now)
}

// Pick returns the best of the listed upstreams, or false if none may be used now.
func (pl *Pool) Pick(now time.Time, list []*roster.Upstream, want Criteria) (Choice, bool) {
	best, found := Choice{}, false
	lowest := math.Inf(1)
	pl.rotate++
	for place, at := range pl.order(list, want.Session) {
		up := list[at]
		known := pl.state(up.Incarnation())
		if now.Before(known.outUntil) || slices.Contains(want.Exclude, up.Incarnation()) {
			continue
		}
		if want.MaxInFlight > 0 && known.running >= want.MaxInFlight {
			continue
		}
		expected := pl.expected(now, known, up, want, place)
		score := cost(expected, want.Slack) + known.failingNow(now)*float64(failingCost)
		if up.FailureDomain != want.FailureDomain {
			score += float64(farCost) + float64(want.InputBytes)*float64(farCostPerMB)/megabyte
		}
		if want.Session != 0 && place > 0 {
			score += float64(want.SharedTokens) * float64(readAgainCost)
		}
		if score < lowest {
			best, lowest, found = Choice{Upstream: up, Order: place, ExpectedLatency: expected}, score, true
		}
	}
	return best, found
}

// cost weighs the expected time: little while the answer is in time, much beyond.
func cost(expected, slack time.Duration) float64 {
	late := max(expected-max(slack, 0), 0)
	return timelyShare*float64(expected-late) + lateCost*float64(late)
}

// order returns the places of the list in the order of the session, which all instances agree on; without a
// session the order rotates.
func (pl *Pool) order(list []*roster.Upstream, session uint64) []int {
	places := make([]int, len(list))
	weights := make([]uint64, len(list))
	for at, up := range list {
		places[at] = at
		weights[at] = weight(session, up.ID)
	}
	if session == 0 {
		for at := range places {
			places[at] = (at + int(pl.rotate%uint64(len(list)))) % len(list)
		}
		return places
	}
	slices.SortFunc(places, func(left, right int) int { return cmp.Compare(weights[right], weights[left]) })
	return places
}

func weight(session uint64, id string) uint64 {
	mixed := (xxhash.Sum64String(id) ^ session) * 0x9E3779B97F4A7C15
	return mixed ^ mixed>>29
}

// Preferred returns the upstream that the session goes to when nothing speaks against it.
func (pl *Pool) Preferred(list []*roster.Upstream, session uint64) (*roster.Upstream, bool) {
	if len(list) == 0 {
		return nil, false
	}
	return list[pl.order(list, session)[0]], true
}

// expected is the time until the first part of the answer: the prompts that are read before, the own prompt, and
// the requests that run beside it.
func (pl *Pool) expected(now time.Time, known *state, up *roster.Upstream, want Criteria, place int) time.Duration {
	tokens := want.PromptTokens + known.reading
	if want.Session != 0 && place > 0 {
		tokens += want.SharedTokens
	}
	reading := time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
	beside := time.Duration(known.running) * runningCost
	if up.Slots > 0 && known.running >= up.Slots {
		beside += pl.base
	}
	expected := time.Duration(known.slowNow(now) * float64(pl.base+reading+beside))
	if now.Before(up.WarmAt) {
		expected *= 2
	}
	return expected
}

// RecordStart books a request that is being sent; First or Ended must follow.
func (pl *Pool) RecordStart(incarnation roster.Incarnation, promptTokens int) {
	known := pl.state(incarnation)
	known.running++
	known.reading += promptTokens
}

// RecordFirstByte books the first part of an answer, which took that long and was expected to take expected.
func (pl *Pool) RecordFirstByte(now time.Time, incarnation roster.Incarnation, promptTokens int, took, expected time.Duration) {
	known := pl.state(incarnation)
	known.reading -= promptTokens
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), 1), maxSlow)
	known.slow = known.slowNow(now)*(1-endWeight) + ratio*endWeight
	known.failing = known.failingNow(now) * (1 - endWeight)
	known.seenAt = now
}

// RecordEnd books the end of a request; answered says that Answering was called for it. It returns how long the upstream
// is left out for it.
func (pl *Pool) RecordEnd(now time.Time, incarnation roster.Incarnation, promptTokens int, answered bool, end Result) time.Duration {
	known := pl.state(incarnation)
	known.running--
	if !answered {
		known.reading -= promptTokens
	}
	switch end {
	case Served:
		known.outs = 0
	case Rejected:
		known.outUntil = now.Add(rejectedOut)
		return rejectedOut
	case Unreachable:
		out := firstOut << min(known.outs, maxOuts)
		known.outUntil = now.Add(out)
		known.outs++
		return out
	case Failed:
		known.slow, known.failing = known.slowNow(now), known.failingNow(now)*(1-endWeight)+endWeight
		known.seenAt = now
	case Abandoned:
	}
	return 0
}
