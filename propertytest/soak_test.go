package propertytest

import (
	"flag"
	"fmt"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/entropy"
)

var (
	soakSeed  = flag.Uint64("seed", 0, "seed of the soak; 0 runs the fixed seeds")
	soakSteps = flag.Int("steps", 600, "steps of the soak for each seed")
)

// fixedSeeds are the seeds that CI runs.
var fixedSeeds = []uint64{1, 2, 3, 4, 5, 6}

// soak is one randomised run. Requests, edits and faults are drawn from a seed; at most maxFaults faults are active.
type soak struct {
	fl      *fleet
	random  *entropy.Source
	ledger  *ledger
	editors []*editor
	active  []*activeFault
	group   sync.WaitGroup

	mu           sync.Mutex
	violations   []string
	outcomes     map[string]int
	faults       map[string]int
	poisons      map[string]bool
	isolated     bool
	edits        int
	leftEncoders int
	sent         int
}

type activeFault struct {
	name  string
	steps int
	end   func()
}

const (
	soakNodes   = 6
	maxFaults   = 2
	depositKeys = 150
	// maxLateness is how long after its deadline an answer may reach the caller, if the instance was not frozen.
	maxLateness = 500 * time.Millisecond
)

// runSoak runs a soak and returns it with its violations and counts.
func runSoak(t *testing.T, seed uint64, steps int) (run *soak) {
	t.Helper()
	// With one processor, goroutines that become ready at the same fake instant run in the same order each time.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	withFleet(t, seed, soakNodes, func(fl *fleet) {
		run = &soak{
			fl: fl, random: fl.random.Fork("soak"), ledger: newLedger(fl), outcomes: map[string]int{},
			faults: map[string]int{}, poisons: map[string]bool{},
			editors: []*editor{{fl: fl, team: "base", semaphore: make(chan struct{}, 1)}, {fl: fl, team: "models", semaphore: make(chan struct{}, 1)}},
		}
		updateAll(fl.pool("engines"), func(up *fakeUpstream) { up.crashOn = "poison" })
		beforeSoak(fl)
		for range steps {
			run.step()
			time.Sleep(run.random.DurationUpTo(150 * time.Millisecond))
		}
		run.finish()
	})
	return run
}

// step ends the faults whose steps are used up and takes one random action.
func (sk *soak) step() {
	kept := sk.active[:0]
	for _, fault := range sk.active {
		if fault.steps--; fault.steps > 0 {
			kept = append(kept, fault)
			continue
		}
		fault.end()
	}
	sk.active = kept
	switch draw := sk.random.IntN(100); {
	case draw < 45:
		sk.sendDraft()
	case draw < 80:
		sk.sendDeposit()
	case draw < 84:
		sk.sendEdit()
	case draw < 86:
		sk.sendPoison()
	case len(sk.active) < maxFaults:
		sk.startFault()
	}
}

func (sk *soak) randomNode() *node {
	nodes := sk.fl.live()
	return nodes[sk.random.IntN(len(nodes))]
}

// nextID returns the next request id. Ids are assigned when a request is drawn, so that random values derived from them do
// not depend on the order in which requests run.
func (sk *soak) nextID() string {
	sk.sent++
	return fmt.Sprint("r", sk.sent)
}

// sendAndCheck sends a request in the background, records its outcome and checks the time that the answer took.
func (sk *soak) sendAndCheck(nd *node, req testRequest, check func(got reply)) {
	req.body.RequestID = sk.nextID()
	sk.group.Go(func() {
		began := time.Now()
		got := sk.fl.send(nd, req)
		took := time.Since(began)
		sk.mu.Lock()
		defer sk.mu.Unlock()
		outcome := string(got.Outcome)
		if got.Interrupted {
			outcome = "Cut"
		}
		if got.Error != nil {
			outcome += " " + string(got.Error.Code)
		}
		sk.outcomes[outcome]++
		if took > 4*time.Second+maxLateness && !nd.wasFrozen.Load() {
			sk.violations = append(sk.violations, fmt.Sprintf("%s of pipeline %s came after %v", outcome, req.pipeline, took))
		}
		check(got)
	})
}

func (sk *soak) sendDraft() {
	query := fmt.Sprint("soak ", sk.random.IntN(1<<30))
	req := draftRequest(query)
	req.organisation = organisations[sk.random.IntN(len(organisations))]
	req.body.Stream = sk.random.IntN(2) == 0
	sk.sendAndCheck(sk.randomNode(), req, func(got reply) { sk.violations = append(sk.violations, checkAnswer(query, got)...) })
}

func (sk *soak) sendDeposit() {
	key := fmt.Sprint("s", sk.random.IntN(depositKeys))
	sk.sendAndCheck(sk.randomNode(), depositRequest(key, key), func(got reply) {
		outcome := got.Outcome
		if got.Interrupted {
			outcome = answer.Unknown
		}
		sk.ledger.outcomes[key] = append(sk.ledger.outcomes[key], outcome)
	})
}

// sendEdit starts an edit by one of two operators; each operator makes one edit at a time.
func (sk *soak) sendEdit() {
	ed, nd := sk.editors[sk.random.IntN(len(sk.editors))], sk.randomNode()
	sk.edits++
	number := sk.edits
	sk.group.Go(func() {
		// This is a channel and not a mutex, since fake time does not advance while a goroutine waits for a mutex.
		ed.semaphore <- struct{}{}
		defer func() { <-ed.semaphore }()
		outcome := "edit " + ed.edit(nd, number).Outcome
		sk.mu.Lock()
		defer sk.mu.Unlock()
		sk.outcomes[outcome]++
	})
}

// sendPoison repeatedly sends a new content that crashes every engine.
func (sk *soak) sendPoison() {
	content := fmt.Sprint("poison ", sk.random.IntN(1<<30))
	sk.poisons[content] = true
	first := sk.random.IntN(soakNodes)
	sk.group.Go(func() {
		for at := range 8 {
			nodes := sk.fl.live()
			req := draftRequest(content)
			req.body.RequestID = fmt.Sprint(content[len("poison "):], "-", at)
			sk.fl.send(nodes[(first+at)%len(nodes)], req)
			time.Sleep(time.Second)
		}
	})
}

// finish ends all faults, waits for every request and runs the final checks.
func (sk *soak) finish() {
	for _, fault := range sk.active {
		fault.end()
	}
	sk.group.Wait()
	time.Sleep(time.Minute)
	sk.violations = append(sk.violations, sk.ledger.check()...)
	for _, ed := range sk.editors {
		sk.violations = append(sk.violations, ed.lostEdits()...)
	}
	sk.checkCrashes()
	sk.checkAgreement()
}

// checkCrashes checks the number of engines that each poison crashed. It skips runs in which instances may
// have been unable to exchange crash reports through each other and the platform.
func (sk *soak) checkCrashes() {
	if sk.isolated {
		return
	}
	for content := range sk.poisons {
		crashes := 0
		for _, up := range sk.fl.pool("engines") {
			crashes += up.crashesByContent[content]
		}
		if crashes > maxPoisonCrashes {
			sk.violations = append(sk.violations, fmt.Sprintf("%s crashed %d engines", content, crashes))
		}
	}
}

// checkAgreement checks that all live instances use the newest revision and know each other.
func (sk *soak) checkAgreement() {
	newest := sk.fl.newestRevision()
	for _, nd := range sk.fl.live() {
		if nd.core.Revision() != newest {
			sk.violations = append(sk.violations, fmt.Sprintf("%s uses revision %d, the newest is %d", nd.id, nd.core.Revision(), newest))
		}
		if known := len(nd.core.Peer().Live()); known != len(sk.fl.live()) {
			sk.violations = append(sk.violations, fmt.Sprintf("%s knows %d of %d live members", nd.id, known, len(sk.fl.live())))
		}
	}
}

// summary returns the counts of a run in one line; it is the same for the same seed.
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
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run := runSoak(t, seed, *soakSteps)
			t.Logf("seed %d steps %d: %s", seed, *soakSteps, run.summary())
			must.SliceEmpty(t, run.violations, must.Sprint(strings.Join(run.violations, "\n")))
		})
	}
}

// TestSoakFinds checks that the soak finds violations if the table service ignores conditions.
func TestSoakFinds(t *testing.T) {
	found := 0
	broken := func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.ignoreConditions = true }) }
	beforeSoak = broken
	defer func() { beforeSoak = func(*fleet) {} }()
	for _, seed := range fixedSeeds[:2] {
		found += len(runSoak(t, seed, 300).violations)
	}
	must.Positive(t, found)
}
