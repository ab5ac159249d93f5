package entry_test

import (
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

// budget is small, so that a breach of it shows.
var budget = retryquota.Config{Ratio: 0.05, Extra: 4, Window: 10 * time.Second}

// node is an instance of the fleet and the faults on it.
type node struct {
	id     string
	domain string
	entry  *entry.Instance

	dead         atomic.Bool
	cut          atomic.Bool
	cutFromStore atomic.Bool
	silentStore  atomic.Bool
	// touchedAt is when the instance last came back to the others, in Unix nanoseconds.
	touchedAt atomic.Int64
	revision  atomic.Int64
}

// contact is how long an instance must have been in touch for the bounds to hold.
const contact = 3 * time.Second

// inTouch reports whether the bounds on changes hold for the instance.
func (nd *node) inTouch() bool {
	return !nd.dead.Load() && !nd.cut.Load() && time.Since(time.Unix(0, nd.touchedAt.Load())) > contact
}

// fleet is instances, a store and upstreams in fake time.
type fleet struct {
	chance *entropy.Source
	store  *store
	world  *world
	calls  sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
}

// broken is a variant of the fleet that breaks a promise.
type broken struct {
	decoder func(decoder) catalog.Decoder
	budget  retryquota.Config
	// sendsTwice runs requests twice, deniesRuns says of some that they did not run, and mixesItems swaps results.
	sendsTwice bool
	deniesRuns bool
	mixesItems bool
}

var domains = []string{"a", "b"}

const fleetSize = 6

func newFleet(seed uint64, variant broken) *fleet {
	fl := &fleet{chance: entropy.New(seed), store: newStore()}
	fl.world = newWorld(fl, variant)
	for at := range fleetSize {
		nd := fl.start(fmt.Sprintf("i%d", at), domains[at%len(domains)], variant)
		fl.mu.Lock()
		fl.nodes = append(fl.nodes, nd)
		fl.mu.Unlock()
	}
	return fl
}

func (fl *fleet) start(id, domain string, variant broken) *node {
	nd := &node{id: id, domain: domain}
	nd.touchedAt.Store(time.Now().UnixNano())
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
	upstreams := reach{fleet: fl, node: nd}
	nd.entry = entry.New(entry.Parts{
		Settings: entry.Settings{Instance: id, FailureDomain: domain, PeerAddress: id, Seeds: seeds, RetryBudget: terms},
		Logger:   log.New(io.Discard), Timers: timer.New(), Random: fl.chance.Fork(fmt.Sprint(id, time.Now().UnixNano())),
		Source: view{store: fl.store, node: nd}, Decoder: reader,
		Tables: catalog.TableNames{Configuration: configurations, Registrations: registrations},
		Sender: upstreams, Caller: upstreams, PeerDialer: fl.dialPeer(nd), BatchDialer: fl.dialBatches(nd),
	})
	nd.entry.Start()
	return nd
}

// at returns the instance with an address that runs, or nil.
func (fl *fleet) at(address string) *node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, nd := range fl.nodes {
		if nd.id == address && !nd.dead.Load() {
			return nd
		}
	}
	return nil
}

// live returns the instances that run.
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

func (fl *fleet) connected(from, to *node) bool {
	return !from.dead.Load() && !to.dead.Load() && !from.cut.Load() && !to.cut.Load()
}

// kill ends an instance without notice; what it had under way has no answer.
func (fl *fleet) kill(nd *node) {
	nd.dead.Store(true)
	fl.calls.Go(nd.entry.Stop)
}

// restart starts an instance again under its id.
func (fl *fleet) restart(old *node, variant broken) {
	fresh := fl.start(old.id, old.domain, variant)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for at, nd := range fl.nodes {
		if nd == old {
			fl.nodes[at] = fresh
		}
	}
}

// end stops all instances.
func (fl *fleet) end() {
	for _, nd := range fl.live() {
		nd.dead.Store(true)
		nd.entry.Stop()
	}
	fl.calls.Wait()
}
