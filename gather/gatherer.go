package gather

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/calibration"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// RetryBudget is the budget of items that are sent a second time.
type RetryBudget interface {
	RecordRequest(pool string)
	Remaining(pool string) int
	Spend(pool string) bool
}

// View is what the gatherer reads of the configuration and the registrations.
type View interface {
	Pool(name string) (route.Pool, bool)
	Upstreams(pool, failureDomain string) []*roster.Upstream
	IsUsable(incarnation roster.Incarnation) bool
	Find(id string) *roster.Upstream
}

// Gatherer fills the calls to the stage pools of failure domains; it is safe for concurrent use.
type Gatherer struct {
	view    View
	caller  Caller
	repeats RetryBudget
	owns    func(at QueueKey) bool
	timers  *timer.Service
	events  *timeline.Ring

	mu       sync.Mutex
	places   map[QueueKey]*place
	ctx      context.Context
	parts    inflight.Group
	stopping atomic.Bool
}

// QueueKey is the upstreams of one pool in one failure domain.
type QueueKey struct {
	Pool          string
	FailureDomain string
}

// Parts are what a gatherer works with.
type Parts struct {
	View        View
	Caller      Caller
	RetryBudget RetryBudget
	Timers      *timer.Service
	Events      *timeline.Ring
	// Owns reports whether it is this instance's turn to gather for a place.
	Owns func(at QueueKey) bool
}

// New returns a gatherer whose work ends with ctx.
func New(ctx context.Context, parts Parts) *Gatherer {
	return &Gatherer{
		view: parts.View, caller: parts.Caller, repeats: parts.RetryBudget, owns: parts.Owns, timers: parts.Timers, events: parts.Events,
		places: map[QueueKey]*place{}, ctx: ctx,
	}
}

// Run waits for the end of ctx and of all that is under way; done is closed at the end.
func (gt *Gatherer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	<-ctx.Done()
	gt.parts.Wait()
}

// place returns the state of a place, or nil if the configuration has no such pool.
func (gt *Gatherer) place(at QueueKey) *place {
	pool, known := gt.view.Pool(at.Pool)
	if !known || pool.Batching == nil {
		return nil
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if found := gt.places[at]; found != nil {
		return found
	}
	fresh := &place{
		gatherer: gt, at: at, pool: batch.New(termsOf(pool)), jobs: map[uint64]*job{}, kick: make(chan struct{}, 1),
		soonFactor: calibration.New(), lastFactor: calibration.New(),
	}
	gt.places[at] = fresh
	gt.parts.Go(func() { fresh.run(gt.ctx) })
	return fresh
}

func termsOf(pool route.Pool) batch.Config {
	items := pool.Batching
	return batch.Config{
		Slots: items.Slots, MaxBatch: items.MaxBatch, CallTime: items.CallTime, ItemTime: items.ItemTime,
		ResultCapacity: items.ResultCapacity, ResultTTL: items.ResultTTL,
	}
}

// ActiveLoads returns the places that had work lately, with the wait of a new item.
func (gt *Gatherer) ActiveLoads(since time.Time) map[QueueKey]Load {
	active := map[QueueKey]Load{}
	for _, each := range gt.all() {
		if load, busy := each.load(since); busy {
			active[each.at] = load
		}
	}
	return active
}

// Ticket is work that was accepted; Done delivers its result.
type Ticket struct {
	Wait  time.Duration
	Done  <-chan Result
	place *place
	id    uint64
}

// Cancel gives the work up: what was not sent yet never is.
func (tk *Ticket) Cancel() {
	tk.place.withdraw(tk.id)
}

// Drain gives all work back that waits here, takes no more, and returns when the calls under way have ended or ctx has.
func (gt *Gatherer) Drain(ctx context.Context) {
	gt.stopping.Store(true)
	for {
		waiting := false
		for _, each := range gt.all() {
			waiting = each.handOn() || waiting
		}
		if !waiting || gt.timers.Sleep(ctx, handOnCheck) != nil {
			return
		}
	}
}

// handOnCheck is how often a stopping gatherer looks whether its calls have ended.
const handOnCheck = 20 * time.Millisecond

// all returns the places.
func (gt *Gatherer) all() []*place {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return slices.Collect(maps.Values(gt.places))
}

// Submit enters work at a place, or returns Refused when its results can't be there in time.
func (gt *Gatherer) Submit(failureDomain string, work Job) (*Ticket, *Refused) {
	found := gt.place(QueueKey{Pool: work.Pool, FailureDomain: failureDomain})
	if found == nil {
		return nil, &Refused{Cause: "no such pool"}
	}
	if gt.stopping.Load() {
		return nil, &Refused{Cause: causeMoved}
	}
	return found.submit(work)
}

// Load returns the expected wait at a place.
func (gt *Gatherer) Load(at QueueKey) Load {
	found := gt.place(at)
	if found == nil {
		return Load{}
	}
	load, _ := found.load(time.Time{})
	return load
}

// Upcoming returns the items that the requests at a place will need of other pools.
func (gt *Gatherer) Upcoming(at QueueKey) []PoolItems {
	if found := gt.place(at); found != nil {
		return found.upcoming()
	}
	return nil
}

// gathers reports whether this instance has had work of a place.
func (gt *Gatherer) gathers(at QueueKey) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.places[at] != nil
}

// Release frees results that lie at upstreams of a pool.
func (gt *Gatherer) Release(pool string, handles []string) {
	left := handles
	for _, each := range gt.all() {
		if each.at.Pool == pool {
			left = each.release(left)
		}
	}
	if len(left) > 0 {
		gt.freeUnknown(pool, left)
	}
}

// freeUnknown frees results of calls that another instance made: their upstream is found by its address.
func (gt *Gatherer) freeUnknown(pool string, handles []string) {
	byUpstream := map[string][]string{}
	for _, handle := range handles {
		for _, up := range gt.view.Upstreams(pool, "") {
			if len(handle) > len(up.Address) && handle[:len(up.Address)+1] == up.Address+"/" {
				byUpstream[up.ID] = append(byUpstream[up.ID], handle)
			}
		}
	}
	for id, list := range byUpstream {
		gt.free(id, list, func() {})
	}
}

// freeTimeout bounds a call that frees results; an upstream frees them by itself some seconds later.
const freeTimeout = time.Second

// free frees results in the background and calls freed once the upstream has confirmed it.
func (gt *Gatherer) free(id string, handles []string, freed func()) {
	gt.parts.Go(func() {
		up := gt.view.Find(id)
		if up == nil {
			return
		}
		ctx, cancel := context.WithTimeout(gt.ctx, freeTimeout)
		defer cancel()
		if err := gt.caller.FreeResults(ctx, up, handles); err != nil {
			gt.events.Record(&wire.Event{Kind: wire.EventKind_EventCallFailed, Upstream: id, Detail: "free results: " + err.Error()})
			return
		}
		freed()
	})
}
