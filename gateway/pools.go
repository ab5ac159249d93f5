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

// Pools is what the instance knows of each pool: its upstreams' standing and the repeated sends that are left. It
// is safe for concurrent use.
type Pools struct {
	timers *timer.Service
	terms  retryquota.Config
	live   func() int

	mu         sync.Mutex
	placements map[string]*placement.Pool
	allowances map[string]*retryquota.Quota
	// factors correct the expected time of each pipeline's requests.
	factors map[string]*calibration.Factor
}

// NewPools returns pools of which nothing is known; live returns the number of live instances.
func NewPools(timers *timer.Service, terms retryquota.Config, live func() int) *Pools {
	return &Pools{
		timers: timers, terms: terms, live: live,
		placements: map[string]*placement.Pool{}, allowances: map[string]*retryquota.Quota{},
		factors: map[string]*calibration.Factor{},
	}
}

func (pl *Pools) allowance(pool string) *retryquota.Quota {
	known, found := pl.allowances[pool]
	if !found {
		known = retryquota.New(pl.terms)
		pl.allowances[pool] = known
	}
	return known
}

// RecordRequest books a request of a pool.
func (pl *Pools) RecordRequest(pool string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.allowance(pool).RecordRequest(pl.timers.Now())
}

// Remaining returns how many repeated sends a pool may still get from here.
func (pl *Pools) Remaining(pool string) int {
	live := pl.live()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.allowance(pool).Remaining(pl.timers.Now(), live)
}

// Spend takes one repeated send of a pool and reports whether there was one.
func (pl *Pools) Spend(pool string) bool {
	live := pl.live()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.allowance(pool).Spend(pl.timers.Now(), live)
}

// mostRunning returns how many connections to one upstream of a pool this instance may hold, an equal share of those
// that the upstream takes, or 0 if there is no bound.
func (pl *Pools) mostRunning(pool route.Pool) int {
	if pool.MaxConnections == 0 {
		return 0
	}
	return max(pool.MaxConnections/max(pl.live(), 1), 1)
}

// forecast is the expected time of a request, corrected by applied.
type forecast struct {
	expected time.Duration
	applied  float64
}

// correct corrects the expected time of a pipeline's request by how far earlier ones were off.
func (pl *Pools) correct(pipeline string, expected time.Duration) forecast {
	now := pl.timers.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	factor := pl.factor(pipeline)
	return forecast{expected: factor.Apply(now, expected), applied: factor.Value(now)}
}

// observe takes the time that a request really took.
func (pl *Pools) observe(pipeline string, made forecast, actual time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.factor(pipeline).Observe(pl.timers.Now(), made.expected, actual, made.applied)
}

func (pl *Pools) factor(pipeline string) *calibration.Factor {
	known, found := pl.factors[pipeline]
	if !found {
		known = calibration.New()
		pl.factors[pipeline] = known
	}
	return known
}

// baseAnswer is the time in which an idle upstream answers before it has been measured.
const baseAnswer = 60 * time.Millisecond

// with runs a decision on a pool's placement.
func (pl *Pools) with(pool string, decide func(now time.Time, known *placement.Pool)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	known, found := pl.placements[pool]
	if !found {
		known = placement.New(baseAnswer)
		pl.placements[pool] = known
	}
	decide(pl.timers.Now(), known)
}

func (pl *Pools) pick(pool string, list []*roster.Upstream, want placement.Criteria, tokens int) (placement.Choice, bool) {
	choice, found := placement.Choice{}, false
	pl.with(pool, func(now time.Time, known *placement.Pool) {
		known.Prune(list)
		if choice, found = known.Pick(now, list, want); found {
			known.RecordStart(choice.Upstream.Incarnation(), tokens)
		}
	})
	return choice, found
}

// first returns the upstream that a session belongs to.
func (pl *Pools) first(pool string, list []*roster.Upstream, session uint64) (*roster.Upstream, bool) {
	found, known := (*roster.Upstream)(nil), false
	pl.with(pool, func(_ time.Time, state *placement.Pool) { found, known = state.Preferred(list, session) })
	return found, known
}
