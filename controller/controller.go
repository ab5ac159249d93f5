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

// EngineClient reads the state of engines and orders them to load models.
type EngineClient interface {
	ReadEngine(ctx context.Context, address string) (order.State, error)
	OrderEngine(ctx context.Context, address string, fencingToken int64, desired order.State) error
}

// Members returns the live instances.
type Members interface {
	Live() []member.Member
}

// Parts holds the dependencies and settings of a controller.
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

// Controller sends orders to the engines of the pools whose leases it holds.
type Controller struct {
	parts   Parts
	mu      sync.Mutex
	current *document.Document
	pools   map[string]*poolState
}

// poolState is the lease and the engines of one pool; acquiredAt and token belong to the lease's latest term.
type poolState struct {
	lease      *lease.Lease
	acquiredAt time.Time
	token      int64
	engines    map[string]*order.Reconciler
}

const (
	// LeaseDuration is how long a lease lasts without renewal.
	LeaseDuration = 15 * time.Second
	// LeaseMargin is how much earlier a lease expires for its holder than for other instances.
	LeaseMargin = 3 * time.Second
	// reconcileInterval is the mean time between two passes over the pools.
	reconcileInterval = 4 * time.Second
	// maxCandidates is the number of live instances that try to take a pool's lease. It is fixed, so that reads of
	// the table service do not grow with the number of instances.
	maxCandidates = 3
	// maxLoads is the maximum number of orders to the engines of a pool in one pass, since the engines load from
	// a shared weight store.
	maxLoads = 2
)

// New returns a controller without a document; it does nothing until SetDocument is called.
func New(parts Parts) *Controller {
	return &Controller{parts: parts, pools: map[string]*poolState{}}
}

// SetDocument sets the document whose pools the controller reconciles from the next pass on.
func (ct *Controller) SetDocument(current *document.Document) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.current = current
}

func (ct *Controller) document() *document.Document {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.current
}

// Run takes and renews leases and sends orders until ctx ends, then closes done.
func (ct *Controller) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ct.parts.Timers.Sleep(ctx, reconcileInterval/2+ct.parts.Random.DurationUpTo(reconcileInterval)) == nil {
		current := ct.document()
		if current == nil {
			continue
		}
		for _, pool := range enginePools(current) {
			ct.reconcilePool(ctx, pool)
		}
	}
}

// enginePools returns the engine pools with at least one upstream for which the document names a model, by name.
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

// reconcilePool takes or renews one pool's lease and, if it is held, reconciles the pool's engines.
func (ct *Controller) reconcilePool(ctx context.Context, pool *document.Pool) {
	state, known := ct.pools[pool.Name]
	if !known {
		state = &poolState{
			lease:   lease.New("orders/"+pool.Name, ct.parts.Instance, LeaseDuration, LeaseMargin),
			engines: map[string]*order.Reconciler{},
		}
		ct.pools[pool.Name] = state
	}
	if !state.lease.IsHeld(ct.parts.Timers.Now()) && !ct.isCandidate(pool.Name) {
		return
	}
	ct.updateLease(ctx, pool.Name, state)
	if state.lease.IsHeld(ct.parts.Timers.Now()) {
		ct.reconcileEngines(ctx, pool, state)
	}
}

// isCandidate reports whether this instance is among the maxCandidates live instances with the highest rendezvous
// hash for the pool, which try to take its lease.
func (ct *Controller) isCandidate(pool string) bool {
	higher := 0
	own := rendezvousHash(pool, ct.parts.Instance)
	for _, mb := range ct.parts.Members.Live() {
		if mb.ID != ct.parts.Instance && rendezvousHash(pool, mb.ID) > own {
			higher++
		}
	}
	return higher < maxCandidates
}

func rendezvousHash(pool, instance string) uint64 {
	return xxhash.Sum64String(pool + "\x00" + instance)
}

// updateLease reads a lease's row once and, if the lease can be taken or renewed, commits the change.
func (ct *Controller) updateLease(ctx context.Context, pool string, state *poolState) {
	ctx, cancel := context.WithTimeout(ctx, ct.parts.CallTimeout)
	defer cancel()
	held := state.lease.IsHeld(ct.parts.Timers.Now())
	rows, read := ct.parts.Store.Read(ctx, state.lease.Key()).(table.Rows)
	if !read {
		return
	}
	// now is taken after the read, so that the row counts as unchanged for no longer than it was, and before
	// the commit, so that the lease does not expire later for its holder than for others.
	now := ct.parts.Timers.Now()
	step, isCommit := state.lease.Observe(now, table.Find(rows.Rows, state.lease.Key())).(lease.Commit)
	if !isCommit {
		return
	}
	state.lease.RecordCommit(step, ct.parts.Store.Commit(ctx, step.Transaction))
	if state.lease.FencingToken() != state.token {
		state.token, state.acquiredAt = state.lease.FencingToken(), ct.parts.Timers.Now()
		ct.recordEvent(wire.EventKind_EventLeaseTaken, pool, "", state.token)
	}
	if held && !state.lease.IsHeld(ct.parts.Timers.Now()) {
		ct.recordEvent(wire.EventKind_EventLeaseLost, pool, "", state.token)
	}
}

// recordEvent records an event of a pool's lease or of one of its engines. wire.Event has no fields for a pool or a fencing
// token: the pool's name is recorded as Stage, and the lease's token as Revision.
func (ct *Controller) recordEvent(kind wire.EventKind, pool, up string, token int64) {
	ct.parts.Events.Record(&wire.Event{Kind: kind, Stage: pool, Upstream: up, Revision: token})
}

// reconcileEngines reconciles every engine of a pool, engines without a model first.
func (ct *Controller) reconcileEngines(ctx context.Context, pool *document.Pool, state *poolState) {
	orders := 0
	for _, up := range ct.unloadedFirst(pool, state) {
		if up.Model == "" || orders >= maxLoads {
			continue
		}
		if ct.reconcileEngine(ctx, pool.Name, up, state) {
			orders++
		}
	}
}

// unloadedFirst returns the pool's upstreams, those known to have no model loaded first.
func (ct *Controller) unloadedFirst(pool *document.Pool, state *poolState) []*document.Upstream {
	list := append([]*document.Upstream{}, pool.Upstreams...)
	isUnloaded := func(up *document.Upstream) bool {
		known, found := state.engines[up.Name]
		return found && known.IsUnloaded()
	}
	sort.SliceStable(list, func(left, right int) bool { return isUnloaded(list[left]) && !isUnloaded(list[right]) })
	return list
}

// maxSteps is the maximum number of steps for one engine in one pass.
const maxSteps = 3

// reconcileEngine carries out the next steps for one engine and reports whether an order was sent.
func (ct *Controller) reconcileEngine(ctx context.Context, pool string, up *document.Upstream, state *poolState) bool {
	desired := order.State{Model: up.Model, Adapters: up.Adapters}
	engine, known := state.engines[up.Name]
	if !known {
		engine = order.New(up.ChecksFence, desired)
		state.engines[up.Name] = engine
	}
	engine.SetDesired(desired)
	for range maxSteps {
		now := ct.parts.Timers.Now()
		term := order.LeaseTerm{FencingToken: state.token, Since: state.acquiredAt, Remaining: state.lease.Remaining(now)}
		switch step := engine.Next(now, term).(type) {
		case order.Read:
			if !ct.readState(ctx, up, engine) {
				return false
			}
		case order.Send:
			ct.sendOrder(ctx, pool, up, engine, step)
			return true
		case order.Wait, order.UpToDate:
			return false
		}
	}
	return false
}

// readState reads an engine's state and reports whether that succeeded.
func (ct *Controller) readState(ctx context.Context, up *document.Upstream, engine *order.Reconciler) bool {
	ctx, cancel := context.WithTimeout(ctx, order.CallTimeout)
	defer cancel()
	state, err := ct.parts.EngineClient.ReadEngine(ctx, up.Address)
	if err != nil {
		return false
	}
	engine.RecordState(ct.parts.Timers.Now(), state)
	return true
}

func (ct *Controller) sendOrder(ctx context.Context, pool string, up *document.Upstream, engine *order.Reconciler, step order.Send) {
	ctx, cancel := context.WithTimeout(ctx, order.CallTimeout)
	defer cancel()
	ct.recordEvent(wire.EventKind_EventOrderSent, pool, up.Name, step.FencingToken)
	// The error is ignored, since the engine's state is read again before the next order.
	_ = ct.parts.EngineClient.OrderEngine(ctx, up.Address, step.FencingToken, step.Desired)
	engine.MarkStateUnknown()
}
