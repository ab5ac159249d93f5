package controller

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/lease"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/order"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// EngineClient reads engines and gives them orders.
type EngineClient interface {
	ReadEngine(ctx context.Context, address string) (order.State, error)
	OrderEngine(ctx context.Context, address string, fence int64, wanted order.State) error
}

// Members tells which instances are live.
type Members interface {
	Live() []member.Member
}

// Parts are what a controller works with.
type Parts struct {
	Timers       *timer.Service
	Store        table.Store
	EngineClient EngineClient
	Events       *timeline.Ring
	Members      Members
	Random       *entropy.Source
	Instance     string
	CallTimeout  time.Duration
}

// Controller gives orders to the engines of the pools whose leases it holds.
type Controller struct {
	parts  Parts
	mu     sync.Mutex
	wanted *document.Document
	pools  map[string]*poolState
}

// poolState is the lease of one pool and its engines.
type poolState struct {
	lease   *lease.Lease
	since   time.Time
	number  int64
	engines map[string]*order.Reconciler
}

const (
	// LeaseDuration is how long a lease lasts without renewal.
	LeaseDuration = 15 * time.Second
	// LeaseMargin is how long before the end of a lease its holder stops relying on it.
	LeaseMargin = 3 * time.Second
	// interval is the mean time between two looks at a lease.
	interval = 4 * time.Second
	// contenders is how many live instances try for a pool's lease, so that the reads do not grow with the fleet.
	contenders = 3
	// maxLoads is how many engines of a pool load at once, since the weight store is shared.
	maxLoads = 2
)

// New returns a controller without a document.
func New(parts Parts) *Controller {
	return &Controller{parts: parts, pools: map[string]*poolState{}}
}

// SetDocument takes over what a document wants engines to hold.
func (ct *Controller) SetDocument(current *document.Document) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.wanted = current
}

func (ct *Controller) document() *document.Document {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.wanted
}

// Run keeps leases and gives orders until ctx ends; done is closed then.
func (ct *Controller) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ct.parts.Timers.Sleep(ctx, interval/2+ct.parts.Random.DurationUpTo(interval)) == nil {
		current := ct.document()
		if current == nil {
			continue
		}
		for _, pool := range enginePools(current) {
			ct.round(ctx, pool)
		}
	}
}

// enginePools are the pools with an upstream that the document wants a model on.
func enginePools(current *document.Document) []*document.Pool {
	list := []*document.Pool{}
	for _, pool := range current.Pools {
		if pool.Kind == document.Engine && slices.ContainsFunc(pool.Upstreams, func(up *document.Upstream) bool { return up.Model != "" }) {
			list = append(list, pool)
		}
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

// round looks at one pool's lease and, if it is held here, at the pool's engines.
func (ct *Controller) round(ctx context.Context, pool *document.Pool) {
	state, known := ct.pools[pool.Name]
	if !known {
		state = &poolState{
			lease:   lease.New("orders/"+pool.Name, ct.parts.Instance, LeaseDuration, LeaseMargin),
			engines: map[string]*order.Reconciler{},
		}
		ct.pools[pool.Name] = state
	}
	if !state.lease.IsHeld(ct.parts.Timers.Now()) && !ct.contends(pool.Name) {
		return
	}
	ct.keep(ctx, pool.Name, state)
	if state.lease.IsHeld(ct.parts.Timers.Now()) {
		ct.command(ctx, pool, state)
	}
}

// contends reports whether this instance is among the few that try for a pool's lease.
func (ct *Controller) contends(pool string) bool {
	higher := 0
	own := rank(pool, ct.parts.Instance)
	for _, mb := range ct.parts.Members.Live() {
		if mb.ID != ct.parts.Instance && rank(pool, mb.ID) > own {
			higher++
		}
	}
	return higher < contenders
}

func rank(pool, instance string) uint64 {
	return xxhash.Sum64String(pool + "\x00" + instance)
}

// keep makes one step towards getting or renewing a lease.
func (ct *Controller) keep(ctx context.Context, pool string, state *poolState) {
	ctx, cancel := context.WithTimeout(ctx, ct.parts.CallTimeout)
	defer cancel()
	held := state.lease.IsHeld(ct.parts.Timers.Now())
	rows, read := ct.parts.Store.Read(ctx, state.lease.Key()).(table.Rows)
	if !read {
		return
	}
	// The time of the look is taken after the read, so that a row is never thought to stand still for longer
	// than it did, and the time of the commit before its call.
	now := ct.parts.Timers.Now()
	step, commits := state.lease.Observe(now, table.Find(rows.Rows, state.lease.Key())).(lease.Commit)
	if !commits {
		return
	}
	state.lease.RecordCommit(step, ct.parts.Store.Commit(ctx, step.Transaction))
	if state.lease.FencingToken() != state.number {
		state.number, state.since = state.lease.FencingToken(), ct.parts.Timers.Now()
		ct.event(wire.EventKind_EventLeaseTaken, pool, "", state.number)
	}
	if held && !state.lease.IsHeld(ct.parts.Timers.Now()) {
		ct.event(wire.EventKind_EventLeaseLost, pool, "", state.number)
	}
}

func (ct *Controller) event(kind wire.EventKind, pool, up string, number int64) {
	ct.parts.Events.Record(&wire.Event{Kind: kind, Stage: pool, Upstream: up, Revision: number})
}

// command looks at every engine of a pool, those without a model first.
func (ct *Controller) command(ctx context.Context, pool *document.Pool, state *poolState) {
	loads := 0
	for _, up := range ct.recoveriesFirst(pool, state) {
		if up.Model == "" || loads >= maxLoads {
			continue
		}
		if ct.commandOne(ctx, pool.Name, up, state) {
			loads++
		}
	}
}

func (ct *Controller) recoveriesFirst(pool *document.Pool, state *poolState) []*document.Upstream {
	list := append([]*document.Upstream{}, pool.Upstreams...)
	recovers := func(up *document.Upstream) bool {
		known, found := state.engines[up.Name]
		return found && known.IsUnloaded()
	}
	sort.SliceStable(list, func(left, right int) bool { return recovers(list[left]) && !recovers(list[right]) })
	return list
}

// maxSteps bounds the steps at one engine in one round.
const maxSteps = 3

// commandOne brings one engine a few steps forward and reports whether it was told to load.
func (ct *Controller) commandOne(ctx context.Context, pool string, up *document.Upstream, state *poolState) bool {
	wanted := order.State{Model: up.Model, Adapters: up.Adapters}
	engine, known := state.engines[up.Name]
	if !known {
		engine = order.New(up.ChecksFence, wanted)
		state.engines[up.Name] = engine
	}
	engine.SetDesired(wanted)
	for range maxSteps {
		now := ct.parts.Timers.Now()
		tenure := order.LeaseTerm{FencingToken: state.number, Since: state.since, Remaining: state.lease.Remaining(now)}
		switch step := engine.Next(now, tenure).(type) {
		case order.Read:
			if !ct.read(ctx, up, engine) {
				return false
			}
		case order.Send:
			ct.send(ctx, pool, up, engine, step)
			return true
		case order.Wait, order.UpToDate:
			return false
		}
	}
	return false
}

func (ct *Controller) read(ctx context.Context, up *document.Upstream, engine *order.Reconciler) bool {
	ctx, cancel := context.WithTimeout(ctx, order.CallTimeout)
	defer cancel()
	state, err := ct.parts.EngineClient.ReadEngine(ctx, up.Address)
	if err != nil {
		return false
	}
	engine.RecordState(ct.parts.Timers.Now(), state)
	return true
}

func (ct *Controller) send(ctx context.Context, pool string, up *document.Upstream, engine *order.Reconciler, step order.Send) {
	ctx, cancel := context.WithTimeout(ctx, order.CallTimeout)
	defer cancel()
	ct.event(wire.EventKind_EventOrderSent, pool, up.Name, step.FencingToken)
	// Whatever the answer says, the engine's state is read before the next order.
	_ = ct.parts.EngineClient.OrderEngine(ctx, up.Address, step.FencingToken, step.Desired)
	engine.MarkStateUnknown()
}
