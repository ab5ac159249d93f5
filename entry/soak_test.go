package entry_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/retryquota"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
)

var (
	soakSeed  = flag.Uint64("seed", 0, "seed of the randomised run; 0 runs the fixed seeds")
	soakSeeds = flag.Uint64("seeds", 1, "how many seeds to run, beginning with -seed")
	soakSteps = flag.Int("steps", 500, "steps of the randomised run for each seed")
)

// fixedSeeds are the seeds that CI runs.
var fixedSeeds = []uint64{1, 2, 3, 4}

// soak is one randomised run over an instance fleet: requests, changes and the platform's faults.
type soak struct {
	fleet   *fleet
	variant broken
	chance  *entropy.Source
	active  []*activeFault
	group   sync.WaitGroup

	mu       sync.Mutex
	wrong    []string
	outcomes map[string]int
	faults   map[string]int
	sent     int
	revision int64
	holders  []string
	poisons  []string
	severed  bool
}

// activeFault is a fault and the steps until it ends.
type activeFault struct {
	name  string
	steps int
	end   func()
}

const (
	maxFaults     = 2
	organisations = 8
	patience      = 3 * time.Second
	// lateBy is how much later than its time a final answer may come.
	lateBy = 250 * time.Millisecond
	// poisonLimit is how many upstreams one content may cost.
	poisonLimit = 6
)

// run makes a run in fake time and returns it for its counts to be read.
func run(t *testing.T, seed uint64, steps int, variant broken) (sk *soak) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleet(seed, variant)
		sk = &soak{
			fleet: fl, variant: variant, chance: fl.chance.Fork("soak"), outcomes: map[string]int{}, faults: map[string]int{},
		}
		for at := range organisations {
			sk.holders = append(sk.holders, organisation(at))
		}
		sk.configure()
		time.Sleep(contact + time.Second)
		for range steps {
			sk.step()
			time.Sleep(sk.chance.DurationUpTo(60 * time.Millisecond))
		}
		sk.settle()
		fl.end()
	})
	return sk
}

// configure puts a new revision in force, with the keys of the organisations that are left.
func (sk *soak) configure() {
	sk.revision++
	table := route.Table{
		Revision: sk.revision, Organisations: map[string]route.Organisation{},
		Pools: map[string]route.Pool{
			"plain": {Name: "plain"}, "model": {Name: "model", Engine: &route.Engine{Slots: 8}},
			"encode": stagePool("encode"), "rank": stagePool("rank"),
		},
	}
	for _, holder := range sk.holders {
		table.Organisations["key-"+holder] = route.Organisation{Name: holder}
	}
	to := func(pool string) []route.WeightedPool { return []route.WeightedPool{{Pool: pool, Weight: 1}} }
	table.Pipelines = []route.Pipeline{
		{Name: "once", Host: "h", Prefix: "/once/", Pools: to("plain"), MaxUpstreams: 1, Timeout: patience, TargetLatency: 300 * time.Millisecond},
		{Name: "lookup", Host: "h", Prefix: "/lookup/", Pools: to("plain"), MaxUpstreams: 3, RetryPolicy: route.Idempotent, Timeout: patience, TargetLatency: 300 * time.Millisecond},
		{Name: "stream", Host: "h", Prefix: "/stream/", Pools: to("model"), MaxUpstreams: 2, RetryPolicy: route.Resumable, Streaming: true, Timeout: patience, TargetLatency: time.Second},
		{
			Name: "draft", Host: "h", Prefix: "/draft/", Pools: to("model"), MaxUpstreams: 1, Streaming: true, Timeout: patience, TargetLatency: time.Second,
			Stages: []route.Stage{{Pool: "encode", ResultBytes: 1000}, {Pool: "rank", DependsOn: []int{0}, ResultBytes: 1000}},
		},
	}
	sk.fleet.store.mu.Lock()
	sk.fleet.store.tables[sk.revision] = route.New(table)
	sk.fleet.store.mu.Unlock()
	sk.fleet.store.put(configurations, replica.Row{Key: "config", Value: []byte(fmt.Sprint(sk.revision))})
}

func stagePool(name string) route.Pool {
	return route.Pool{Name: name, Batching: &route.Batching{
		Slots: 1, QueueCapacity: 2, MaxBatch: 8, CallTime: workTime, ItemTime: 2 * time.Millisecond, ResultCapacity: 1e9, ResultTTL: 4 * time.Second,
	}}
}

func organisation(number int) string { return fmt.Sprint("guild-", number) }

// step does one thing at random and ends the faults whose time has come.
func (sk *soak) step() {
	kept := []*activeFault{}
	for _, fault := range sk.active {
		if fault.steps--; fault.steps > 0 {
			kept = append(kept, fault)
			continue
		}
		fault.end()
	}
	sk.active = kept
	sk.checkRevisions()
	switch draw := sk.chance.IntN(100); {
	case draw < 76:
		sk.send()
	case draw < 79:
		sk.change()
	case draw == 79 && sk.chance.IntN(3) == 0:
		sk.sendPoison()
	case len(sk.active) < maxFaults:
		sk.startFault()
	}
}

// change changes what instances must learn in time: the configuration, a key, an upstream.
func (sk *soak) change() {
	down, _ := sk.fleet.store.state()
	if down {
		return
	}
	switch sk.chance.IntN(4) {
	case 0:
		sk.configure()
	case 1:
		if len(sk.holders) > 2 {
			gone := sk.holders[0]
			sk.holders = sk.holders[1:]
			sk.configure()
			sk.fleet.world.mu.Lock()
			sk.fleet.world.revoked[gone] = time.Now()
			sk.fleet.world.mu.Unlock()
		}
	default:
		if up := sk.fleet.world.pick(); up != nil {
			sk.fleet.world.leave(up, sk.chance.IntN(2) == 0)
			sk.group.Go(func() {
				time.Sleep(5 * time.Second)
				sk.awaitStore()
				sk.fleet.world.register(up.ID, up.Pool, up.FailureDomain)
			})
		}
	}
}

// awaitStore waits until the store takes writes.
func (sk *soak) awaitStore() {
	for {
		if down, _ := sk.fleet.store.state(); !down {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var kinds = []string{"once", "lookup", "stream", "draft"}

// send sends a request of a random kind in the background.
func (sk *soak) send() {
	kind := sk.chance.IntN(len(kinds))
	sk.sent++
	id := fmt.Sprint("r", sk.sent)
	nodes := sk.fleet.live()
	nd := nodes[sk.chance.IntN(len(nodes))]
	holder := sk.holders[sk.chance.IntN(len(sk.holders))]
	if sk.chance.IntN(6) == 0 {
		// Callers whose key has gone still try.
		holder = organisation(sk.chance.IntN(organisations))
	}
	leaves := sk.chance.IntN(12) == 0
	request := &gateway.Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/" + kinds[kind] + "/" + id, APIKey: "key-" + holder, Body: []byte("body"),
		Arrived: time.Now(), CallerTimeout: patience, ItemCounts: []int{2, 1}, ItemKey: id,
	}
	sk.group.Go(func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if leaves {
			time.AfterFunc(60*time.Millisecond, cancel)
		}
		sk.serve(ctx, nd, request)
	})
}

// sink keeps the body of an answer.
type sink struct {
	body strings.Builder
}

// Start has nothing to keep.
func (sn *sink) Start(int, http.Header, int64) {}

// Write keeps a part of the body.
func (sn *sink) Write(part []byte) error { sn.body.Write(part); return nil }

func (sk *soak) serve(ctx context.Context, nd *node, request *gateway.Request) {
	carrier, err := http.NewRequestWithContext(ctx, request.Method, "http://h"+request.Path, nil)
	if err != nil {
		panic(err)
	}
	out := &sink{}
	outcome := nd.entry.Serve(carrier, request, out)
	took := time.Since(request.Arrived)
	sk.mu.Lock()
	defer sk.mu.Unlock()
	name := gateway.OutcomeName(outcome)
	if refused, is := outcome.(gateway.Refused); is {
		name += " " + string(refused.Cause)
	}
	sk.outcomes[name]++
	if took > patience+lateBy && !nd.dead.Load() {
		sk.wrong = append(sk.wrong, fmt.Sprintf("%s of %s came after %v", name, request.Path, took))
	}
	sk.checkAnswer(request, outcome, out)
}

// sendPoison sends a content that crashes upstreams, again and again.
func (sk *soak) sendPoison() {
	body := fmt.Sprint("poison ", sk.chance.IntN(1<<30))
	sk.poisons = append(sk.poisons, body)
	holder := sk.holders[len(sk.holders)-1]
	sk.group.Go(func() {
		for at := range 8 {
			nodes := sk.fleet.live()
			nd := nodes[at%len(nodes)]
			request := &gateway.Request{
				ID: fmt.Sprint(strings.ReplaceAll(body, " ", "-"), "-", at), Method: http.MethodPost, Host: "h", Path: "/lookup/poison", APIKey: "key-" + holder,
				Body: []byte(body), Arrived: time.Now(), CallerTimeout: patience,
			}
			sk.serve(context.Background(), nd, request)
			time.Sleep(time.Second)
		}
	})
}

// settle ends all faults, waits for every request, and checks what must hold in the end.
func (sk *soak) settle() {
	for _, fault := range sk.active {
		fault.end()
	}
	sk.group.Wait()
	time.Sleep(10 * time.Second)
	sk.checkRevisions()
	for _, nd := range sk.fleet.live() {
		if !nd.entry.Ready() || nd.revision.Load() != sk.revision {
			sk.wrong = append(sk.wrong, fmt.Sprintf("%s is at revision %d of %d, ready %t", nd.id, nd.revision.Load(), sk.revision, nd.entry.Ready()))
		}
	}
	wd := sk.fleet.world
	wd.mu.Lock()
	defer wd.mu.Unlock()
	sk.wrong = append(sk.wrong, wd.breaches...)
	sk.wrong = append(sk.wrong, wd.checkBudget()...)
	sk.checkPoisons(wd)
}

// summary is the counts of a run in one line.
func (sk *soak) summary() string {
	parts := []string{}
	for name, count := range sk.outcomes {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count))
	}
	for name, count := range sk.faults {
		parts = append(parts, fmt.Sprintf("fault %s=%d", name, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func TestSoak(t *testing.T) {
	seeds := fixedSeeds
	if *soakSeed != 0 {
		seeds = nil
		for at := range *soakSeeds {
			seeds = append(seeds, *soakSeed+at)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sk := run(t, seed, *soakSteps, broken{})
			t.Logf("seed %d steps %d: %s", seed, *soakSteps, sk.summary())
			must.SliceEmpty(t, sk.wrong, must.Sprint(strings.Join(sk.wrong, "\n")))
		})
	}
}

// deaf reads registrations without their leaving, and configurations without the keys that went.
type deaf struct {
	decoder
	leaving bool
	keys    bool
}

// Registration reads an upstream.
func (df deaf) Registration(row replica.Row, now time.Time) (roster.Upstream, error) {
	read, err := df.decoder.Registration(row, now)
	read.Leaving = read.Leaving && !df.leaving
	return read, err
}

// Configuration reads a revision.
func (df deaf) Configuration(row replica.Row) (*route.Table, error) {
	table, err := df.decoder.Configuration(row)
	if err != nil || !df.keys {
		return table, err
	}
	changed := *table
	changed.Organisations = map[string]route.Organisation{}
	for at := range organisations {
		holder := organisation(at)
		changed.Organisations["key-"+holder] = route.Organisation{Name: holder}
	}
	return route.New(changed), nil
}

// TestSoakFinds plays variants that each break one promise: the run must find it.
func TestSoakFinds(t *testing.T) {
	variants := map[string]struct {
		variant broken
		finds   string
	}{
		"requests that are sent twice":         {broken{sendsTwice: true}, "again"},
		"refusals that are not true":           {broken{deniesRuns: true}, "refused and ran"},
		"results of another request's items":   {broken{mixesItems: true}, "was given"},
		"upstreams that are not seen to leave": {broken{decoder: func(dc decoder) catalog.Decoder { return deaf{decoder: dc, leaving: true} }}, "which left"},
		"keys that are not seen to go":         {broken{decoder: func(dc decoder) catalog.Decoder { return deaf{decoder: dc, keys: true} }}, "whose key went"},
		"a budget without an end":              {broken{budget: retryquota.Config{Ratio: 5, Extra: 5000, Window: 10 * time.Second}}, "repeated sends"},
	}
	for name, each := range variants {
		t.Run(name, func(t *testing.T) {
			found := ""
			for _, seed := range fixedSeeds {
				if strings.Contains(found, each.finds) {
					break
				}
				found += strings.Join(run(t, seed, 800, each.variant).wrong, "\n")
			}
			must.StrContains(t, found, each.finds)
		})
	}
}
