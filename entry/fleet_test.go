package entry_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/entry"
	"github.com/turmericdoor/turmericdoor/retryquota"
	"github.com/turmericdoor/turmericdoor/timer"
)

// budget is small, so that a run exceeds it if it is not enforced.
var budget = retryquota.Config{Ratio: 0.05, Extra: 4, Window: 10 * time.Second}

// node is one instance of the fleet and its injected faults.
type node struct {
	id     string
	domain string
	entry  *entry.Instance

	dead        atomic.Bool
	partitioned atomic.Bool
	// side is the side of a split of the network on which the instance is.
	side             atomic.Int32
	storeUnreachable atomic.Bool
	storeHangs       atomic.Bool
	// storeDelay is how long the answers of the store take to this instance, in nanoseconds, and storeReplica is what it reads instead of
	// the store, or nil.
	storeDelay   atomic.Int64
	storeReplica atomic.Pointer[storeCopy]
	// storeCalls is the number of calls to the store in progress, and storeCalledAt is when the last one ended, in Unix nanoseconds.
	storeCalls    atomic.Int64
	storeCalledAt atomic.Int64
	// isStopping is set from the beginning of a planned stop on.
	isStopping atomic.Bool
	// endsAt is when the requests of a stopping instance are cancelled, in Unix nanoseconds, from the end of the notice on.
	endsAt atomic.Int64
	// frozen makes all calls from and to the instance wait.
	frozen atomic.Bool
	// connectedAt is when the instance was last started or reconnected, in Unix nanoseconds.
	connectedAt atomic.Int64
	revision    atomic.Int64
}

// convergenceTime is how long an instance must have been connected before the bounds on changes apply to it.
const convergenceTime = 3 * time.Second

// hasConverged reports whether the bounds on changes apply to the instance.
func (nd *node) hasConverged() bool {
	return !nd.dead.Load() && !nd.partitioned.Load() && !nd.frozen.Load() && time.Since(time.Unix(0, nd.connectedAt.Load())) > convergenceTime
}

// fleet is a set of instances with a store and upstreams, run in the fake time of synctest.
type fleet struct {
	random    *entropy.Source
	store     *store
	upstreams *upstreamSet
	calls     sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
}

// defects makes a fleet violate a guarantee; the zero value violates none.
type defects struct {
	decoder func(decoder) catalog.Decoder
	budget  retryquota.Config
	// sendsTwice runs some requests twice, deniesRuns reports some executed requests as not executed, and mixesItems
	// swaps results of a batch.
	sendsTwice bool
	deniesRuns bool
	mixesItems bool
	// completesCutOff ends responses that were cut off as complete.
	completesCutOff bool
	// hidesLimits keeps the rate limits in the answers of upstreams from the instances.
	hidesLimits bool
	// passesOnLate keeps the end of its grace period from a stopping instance.
	passesOnLate bool
	// startsFirst makes the settings say that the fleet starts for the first time.
	startsFirst bool
	// ignoresCold makes the instances ignore that upstreams are cold.
	ignoresCold bool
	// hidesCrashes makes probes find every upstream alive.
	hidesCrashes bool
	// neverEvacuates keeps failure domains from being evacuated.
	neverEvacuates bool
}

var domains = []string{"a", "b"}

const fleetSize = 6

func newFleet(seed uint64, variant defects) *fleet {
	return newFleetOf(fleetSize, seed, variant)
}

func newFleetOf(size int, seed uint64, variant defects) *fleet {
	fl := &fleet{random: entropy.New(seed), store: newStore()}
	fl.upstreams = newUpstreamSet(fl, variant)
	for at := range size {
		nd := fl.start(fmt.Sprintf("i%d", at), domains[at%len(domains)], variant)
		fl.mu.Lock()
		fl.nodes = append(fl.nodes, nd)
		fl.mu.Unlock()
	}
	return fl
}

func (fl *fleet) start(id, domain string, variant defects) *node {
	nd := &node{id: id, domain: domain}
	nd.connectedAt.Store(time.Now().UnixNano())
	terms := budget
	if variant.budget.Window > 0 {
		terms = variant.budget
	}
	reader := catalog.Decoder(decoder{fl.store})
	if variant.decoder != nil {
		reader = variant.decoder(decoder{fl.store})
	}
	seeds := []string{}
	for at := range fleetSize {
		seeds = append(seeds, fmt.Sprintf("i%d", at))
	}
	upstreams := upstreamClient{fleet: fl, node: nd}
	nd.entry = entry.New(entry.Parts{
		Settings: entry.Settings{Instance: id, FailureDomain: domain, PeerAddress: id, Seeds: seeds, RetryBudget: terms, IsFirstStart: variant.startsFirst, LimitsCold: !variant.ignoresCold},
		Logger:   log.New(io.Discard), Timers: timer.New(), Random: fl.random.Fork(fmt.Sprint(id, time.Now().UnixNano())),
		Source: storeClient{store: fl.store, node: nd}, Decoder: reader,
		Tables: catalog.TableNames{Configuration: configurations, Registrations: registrations},
		Sender: upstreams, Caller: upstreams, PeerDialer: fl.dialPeer(nd), BatchDialer: fl.dialBatches(nd),
	})
	nd.entry.Start()
	return nd
}

// nodeAt returns the running instance with an address, or nil.
func (fl *fleet) nodeAt(address string) *node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, nd := range fl.nodes {
		if nd.id == address && !nd.dead.Load() {
			return nd
		}
	}
	return nil
}

// live returns the running instances.
func (fl *fleet) live() []*node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []*node{}
	for _, nd := range fl.nodes {
		if !nd.dead.Load() {
			list = append(list, nd)
		}
	}
	return list
}

// freeze makes all calls from and to an instance wait for a time.
func (fl *fleet) freeze(nd *node, length time.Duration) {
	nd.frozen.Store(true)
	fl.calls.Go(func() {
		time.Sleep(length)
		nd.connectedAt.Store(time.Now().UnixNano())
		nd.frozen.Store(false)
	})
}

// awaitThaw waits while an instance is frozen; it returns false if ctx ends first.
func (nd *node) awaitThaw(ctx context.Context) bool {
	for nd.frozen.Load() {
		if !sleep(ctx, 10*time.Millisecond) {
			return false
		}
	}
	return true
}

func (fl *fleet) connected(from, to *node) bool {
	return !from.dead.Load() && !to.dead.Load() && !from.partitioned.Load() && !to.partitioned.Load() &&
		from.side.Load() == to.side.Load()
}

// kill stops an instance without draining; its requests in flight get no answer.
func (fl *fleet) kill(nd *node) {
	nd.dead.Store(true)
	fl.calls.Go(nd.entry.Stop)
}

// restart replaces a killed instance by a new one with the same id.
func (fl *fleet) restart(old *node, variant defects) {
	fresh := fl.start(old.id, old.domain, variant)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for at, nd := range fl.nodes {
		if nd == old {
			fl.nodes[at] = fresh
		}
	}
}

// stop stops all instances and waits for their calls.
func (fl *fleet) stop() {
	for _, nd := range fl.live() {
		nd.dead.Store(true)
		nd.entry.Stop()
	}
	fl.calls.Wait()
}
