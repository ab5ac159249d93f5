package gateway

import (
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/calibration"
	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/retryquota"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Pools holds what this instance knows about each pool: the state of its upstreams, its share of the retry budget and
// the accuracy of its latency forecasts. It is safe for concurrent use.
type Pools struct {
	timers        *timer.Service
	config        retryquota.Config
	liveInstances func() int

	mu         sync.Mutex
	placements map[string]*placement.Pool
	quotas     map[string]*retryquota.Quota
	// forecastFactors are the factors that correct the latency forecasts, by pipeline.
	forecastFactors map[string]*calibration.Factor
	// unsent counts the admitted requests of each pool that were not sent yet. nextReturn is when the next caller is asked to
	// return that finds the rate limits of a pool's upstreams used up.
	unsent     map[string]int
	nextReturn map[string]time.Time
}

// NewPools returns the state of pools without observations; liveInstances returns the number of live instances.
func NewPools(timers *timer.Service, config retryquota.Config, liveInstances func() int) *Pools {
	return &Pools{
		timers: timers, config: config, liveInstances: liveInstances,
		placements: map[string]*placement.Pool{}, quotas: map[string]*retryquota.Quota{},
		forecastFactors: map[string]*calibration.Factor{}, unsent: map[string]int{}, nextReturn: map[string]time.Time{},
	}
}

func (pl *Pools) quota(pool string) *retryquota.Quota {
	known, found := pl.quotas[pool]
	if !found {
		known = retryquota.New(pl.config)
		pl.quotas[pool] = known
	}
	return known
}

// RecordRequest records a request of a pool, which raises the pool's retry budget.
func (pl *Pools) RecordRequest(pool string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.quota(pool).RecordRequest(pl.timers.Now())
}

// Remaining returns how many retries this instance may still spend on a pool.
func (pl *Pools) Remaining(pool string) int {
	live := pl.liveInstances()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.quota(pool).Remaining(pl.timers.Now(), live)
}

// Spend takes one retry from a pool's budget and reports whether one was left.
func (pl *Pools) Spend(pool string) bool {
	live := pl.liveInstances()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.quota(pool).Spend(pl.timers.Now(), live)
}

// Refund returns one retry that was not sent to a pool's budget.
func (pl *Pools) Refund(pool string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.quota(pool).Refund()
}

// maxInFlight returns how many requests, one connection each, this instance may have in flight at one upstream: an
// equal share of the upstream's connection limit, or 0 for no limit.
func (pl *Pools) maxInFlight(pool route.Pool) int {
	if pool.MaxConnections == 0 {
		return 0
	}
	return max(pool.MaxConnections/max(pl.liveInstances(), 1), 1)
}

// forecast is the corrected expected latency of a request and the correction factor that was applied.
type forecast struct {
	expected time.Duration
	applied  float64
}

// forecastLatency corrects the expected time until the first byte of a pipeline's request by the error of earlier forecasts.
func (pl *Pools) forecastLatency(pipeline string, expected time.Duration) forecast {
	now := pl.timers.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	factor := pl.forecastFactor(pipeline)
	return forecast{expected: factor.Apply(now, expected), applied: factor.Value(now)}
}

// observeLatency updates the pipeline's correction with the actual time until a request's first byte.
func (pl *Pools) observeLatency(pipeline string, made forecast, actual time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.forecastFactor(pipeline).Observe(pl.timers.Now(), made.expected, actual, made.applied)
}

// forecastFactor returns the factor that corrects the forecasts of a pipeline's latency, and creates it if needed.
func (pl *Pools) forecastFactor(pipeline string) *calibration.Factor {
	known, found := pl.forecastFactors[pipeline]
	if !found {
		known = calibration.New()
		pl.forecastFactors[pipeline] = known
	}
	return known
}

// idleLatency is the assumed latency of an idle upstream until it has been observed.
const idleLatency = 60 * time.Millisecond

// withPlacement calls decide with the placement state of a pool while holding the lock.
func (pl *Pools) withPlacement(pool string, decide func(now time.Time, known *placement.Pool)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	known, found := pl.placements[pool]
	if !found {
		known = placement.New(idleLatency)
		pl.placements[pool] = known
	}
	decide(pl.timers.Now(), known)
}

// pick selects an upstream and records the start of a request on it.
func (pl *Pools) pick(pool string, list []*roster.Upstream, criteria placement.Criteria, tokens int) (placement.Choice, bool) {
	choice, found := placement.Choice{}, false
	pl.withPlacement(pool, func(now time.Time, known *placement.Pool) {
		known.Prune(list)
		if choice, found = known.Pick(now, list, criteria); found {
			known.RecordStart(choice.Upstream.Incarnation(), tokens)
		}
	})
	return choice, found
}

// preferredUpstream returns the first upstream in the session's order.
func (pl *Pools) preferredUpstream(pool string, list []*roster.Upstream, session uint64) (*roster.Upstream, bool) {
	found, known := (*roster.Upstream)(nil), false
	pl.withPlacement(pool, func(_ time.Time, state *placement.Pool) { found, known = state.Preferred(list, session) })
	return found, known
}
