package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/requestbody"
)

const (
	// crashesUntilBound is the number of crashes after which requests with the part may reach upstreams only for
	// newsBound longer, but for maxLateArrivals of them.
	crashesUntilBound = 5
	newsBound         = 3 * time.Second
	maxLateArrivals   = 3
	// minSoundShare is the least share of sound requests that are answered from twice newsBound after the crashes on, relative to
	// the share without crashes.
	minSoundShare = 0.5
	badPart       = "bad"
)

// partsRun sends sound requests and requests with a part that crashes upstreams to a fleet.
type partsRun struct {
	soak *soak
	// instances and upstreams are the sizes of the fleet and of the pool.
	instances, upstreams int
	// soundEvery and badEvery are the intervals of the requests, badAt the position of the bad part.
	soundEvery, badEvery time.Duration
	badAt                int
	// companion is a second new part of each bad request, or "".
	companion string
	// soundBefore sends requests with the bad part before it crashes upstreams.
	soundBefore bool
	// newParts is the number of further shared parts of each request, all of them new.
	newParts int
	// during is called each 100 ms with the time since the first bad request.
	during func(sk *soak, elapsed time.Duration)
	// prepare changes the upstreams before the run.
	prepare func(us *upstreamSet)

	sent  int
	sound []soundRequest
}

// soundRequest is a request without a bad part: when it was sent and whether it was answered.
type soundRequest struct {
	at       time.Time
	answered bool
}

const (
	calmTime = 4 * time.Second
	badTime  = 16 * time.Second
	tick     = 10 * time.Millisecond
	// partsSeed is the seed of the runs, unless -seed is greater.
	partsSeed = 7
)

func newPartsRun() *partsRun {
	return &partsRun{instances: fleetSize, upstreams: 9, soundEvery: 20 * time.Millisecond, badEvery: 150 * time.Millisecond, badAt: 1}
}

// play runs the fleet and returns the share of sound requests that were answered before the first bad request, and the share
// from twice newsBound after boundFrom on.
func (pr *partsRun) play(t *testing.T) (calm, late float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleetOf(pr.instances, max(*soakSeed, partsSeed), defects{})
		pr.soak = &soak{fleet: fl, random: fl.random.Fork("parts"), outcomes: map[string]int{}, faults: map[string]int{}, lastOutcome: map[string]string{}, keyHolders: []string{organisationName(0)}}
		for at := 4; at < pr.upstreams; at++ {
			fl.upstreams.register(fmt.Sprintf("model-%d", at), "model", domains[at%len(domains)])
		}
		if pr.prepare != nil {
			pr.prepare(fl.upstreams)
		}
		pr.soak.configure()
		time.Sleep(convergenceTime + time.Second)
		pr.sendFor(calmTime, false)
		began := time.Now()
		fl.upstreams.mu.Lock()
		fl.upstreams.crashParts[badPart] = &partCrashes{}
		fl.upstreams.mu.Unlock()
		pr.sendFor(badTime, true)
		pr.soak.group.Wait()
		fl.stop()
		calm = pr.answeredShare(time.Time{}, began)
		late = pr.answeredShare(pr.boundFrom().Add(2*newsBound), time.Now())
	})
	return calm, late
}

// boundFrom returns the time of the crash from which the bounds count: the fifth, or the last if there are fewer.
func (pr *partsRun) boundFrom() time.Time {
	crashes := pr.soak.fleet.upstreams.crashParts[badPart].crashes
	if len(crashes) == 0 {
		return time.Time{}
	}
	return crashes[min(len(crashes), crashesUntilBound)-1]
}

func (pr *partsRun) sendFor(length time.Duration, withBad bool) {
	began := time.Now()
	for elapsed := time.Duration(0); elapsed < length; elapsed = time.Since(began) {
		if elapsed%pr.soundEvery == 0 {
			pr.send(fmt.Sprint("session-", pr.soak.random.IntN(6)), false)
		}
		if pr.soundBefore && !withBad && elapsed%pr.badEvery == 0 {
			pr.send(badPart, false)
		}
		if withBad && elapsed%pr.badEvery == 0 {
			pr.send(badPart, true)
		}
		if withBad && pr.during != nil && elapsed%(100*time.Millisecond) == 0 {
			pr.during(pr.soak, elapsed)
		}
		time.Sleep(tick)
	}
}

// send sends a request, no two of which are alike, to a random instance.
func (pr *partsRun) send(part string, bad bool) {
	pr.sent++
	nodes := pr.soak.fleet.live()
	nd := nodes[pr.soak.random.IntN(len(nodes))]
	id := fmt.Sprint("p", pr.sent)
	request := &gateway.Request{
		ID: id, Method: "POST", Host: "h", Path: "/stream/" + id, APIKey: "key-" + organisationName(0), Body: requestbody.Of([]byte(id)),
		Arrived: time.Now(), CallerTimeout: requestTimeout, Prompt: pr.prompt(part, id),
	}
	pr.soak.group.Go(func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		answered := pr.soak.serveParts(ctx, nd, request)
		if !bad && !nd.dead.Load() {
			pr.soak.mu.Lock()
			defer pr.soak.mu.Unlock()
			pr.sound = append(pr.sound, soundRequest{at: request.Arrived, answered: answered})
		}
	})
}

// prompt returns a prompt whose first part all requests share, unless the bad part stands there.
func (pr *partsRun) prompt(part, id string) gateway.Prompt {
	ids := []string{"first", part}
	switch {
	case part == badPart && pr.badAt == 0:
		ids = []string{badPart, "session-0"}
	case part == badPart && pr.companion != "":
		ids = append(ids, pr.companion)
	}
	for at := range pr.newParts {
		ids = append(ids, fmt.Sprint("new-", id, "-", at))
	}
	return promptOf(append(ids, "own-"+id)...)
}

// promptOf returns a prompt with the given parts.
func promptOf(ids ...string) gateway.Prompt {
	prompt := gateway.Prompt{Tokens: 900, MaxOutputTokens: 20}
	for _, each := range ids {
		prompt.Parts = append(prompt.Parts, gateway.PromptPart{ID: each, Tokens: 300})
	}
	return prompt
}

// serveParts serves a request and reports whether it was answered.
func (sk *soak) serveParts(ctx context.Context, nd *node, request *gateway.Request) bool {
	sk.serve(ctx, nd, request)
	sk.mu.Lock()
	defer sk.mu.Unlock()
	return sk.lastOutcome[request.ID] == "Answered"
}

// answeredShare returns the share of the sound requests of a time that were answered.
func (pr *partsRun) answeredShare(from, until time.Time) float64 {
	answered, sent := 0, 0
	for _, each := range pr.sound {
		if each.at.Before(from) || !each.at.Before(until) {
			continue
		}
		sent++
		if each.answered {
			answered++
		}
	}
	return float64(answered) / float64(max(sent, 1))
}

// lateArrivals returns how many bad requests reached upstreams later than newsBound after the fifth crash.
func (pr *partsRun) lateArrivals() int {
	return pr.soak.fleet.upstreams.crashParts[badPart].lateArrivals()
}

// assertPartIsStopped plays a run and checks that the bad part no longer reaches upstreams and sound requests are served.
func assertPartIsStopped(t *testing.T, pr *partsRun) {
	t.Helper()
	calm, late := pr.play(t)
	bad := pr.soak.fleet.upstreams.crashParts[badPart]
	t.Logf("%d upstreams crashed, %d late arrivals of %d, sound requests answered: %.2f calm, %.2f late", len(bad.crashes), pr.lateArrivals(), len(bad.arrivals), calm, late)
	must.SliceNotEmpty(t, bad.crashes)
	must.LessEq(t, maxLateArrivals, pr.lateArrivals(), must.Sprint("requests with the part reached upstreams after its crashes"))
	must.Greater(t, 0.9, calm)
	must.GreaterEq(t, minSoundShare*calm, late, must.Sprint("sound requests with the same key and first part"))
	must.SliceEmpty(t, pr.soak.violations)
}

// partsCases are the circumstances in which requests with the bad part are sent.
var partsCases = map[string]func(pr *partsRun){
	"before the first event": func(_ *partsRun) {},
	"after the first event": func(pr *partsRun) {
		pr.prepare = func(us *upstreamSet) { us.crashAfterEvent = true }
	},
	"as the first part": func(pr *partsRun) {
		pr.badAt = 0
	},
	"many at once": func(pr *partsRun) {
		pr.badEvery = 20 * time.Millisecond
	},
	"seldom": func(pr *partsRun) {
		pr.badEvery = 1200 * time.Millisecond
	},
	"upstreams are back at once": func(pr *partsRun) {
		pr.prepare = func(us *upstreamSet) { us.restartDelay = 0 }
	},
	"beside many new parts": func(pr *partsRun) {
		pr.newParts = 40
	},
	"beside a failure domain that crashes again and again": func(pr *partsRun) {
		pr.during = func(sk *soak, elapsed time.Duration) {
			if elapsed%(4*time.Second) == 0 {
				sk.crashDomain("a")
			}
		}
	},
	"in a fleet of seventy instances": func(pr *partsRun) {
		pr.instances, pr.upstreams, pr.badEvery = 70, 40, 50*time.Millisecond
	},
	"while instances are restarted": func(pr *partsRun) {
		pr.during = func(sk *soak, elapsed time.Duration) {
			if elapsed%time.Second == 0 {
				sk.restartOne()
			}
		}
	},
	"beside a new part that always comes with it": func(pr *partsRun) {
		pr.companion = "companion"
	},
	"after it was sound before": func(pr *partsRun) {
		pr.soundBefore = true
	},
	"after all instances were restarted at once": func(pr *partsRun) {
		pr.during = func(sk *soak, elapsed time.Duration) {
			if elapsed == 0 {
				sk.restartAll()
			}
		}
	},
	"while half of the instances are cut off from the others": func(pr *partsRun) {
		pr.during = func(sk *soak, elapsed time.Duration) { sk.split(elapsed, 200*time.Millisecond, 5*time.Second) }
	},
	"while an instance is cut off": func(pr *partsRun) {
		pr.during = func(sk *soak, elapsed time.Duration) { sk.cutOff(elapsed, 500*time.Millisecond, 5*time.Second) }
	},
}

// TestPartCrashesUpstreamsOneAfterTheOther guards against requests that are all different but for one part of their
// prompts, which crashes every upstream that begins to answer it.
func TestPartCrashesUpstreamsOneAfterTheOther(t *testing.T) {
	for name, change := range partsCases {
		t.Run(name, func(t *testing.T) {
			pr := newPartsRun()
			change(pr)
			assertPartIsStopped(t, pr)
		})
	}
}

// crashDomain crashes all model engines of a failure domain at the same moment.
func (sk *soak) crashDomain(domain string) {
	us := sk.fleet.upstreams
	us.mu.Lock()
	list := []*upstream{}
	for _, up := range us.byID {
		if up.Pool == "model" && up.FailureDomain == domain {
			list = append(list, up)
		}
	}
	us.mu.Unlock()
	for _, up := range list {
		us.crash(up)
	}
}

// restartOne kills a random instance and starts it anew.
func (sk *soak) restartOne() {
	nd := sk.randomNode()
	sk.fleet.kill(nd)
	sk.fleet.restart(nd, defects{})
}

// restartAll kills all instances and starts them anew.
func (sk *soak) restartAll() {
	for _, nd := range sk.fleet.live() {
		sk.fleet.kill(nd)
		sk.fleet.restart(nd, defects{})
	}
}

// split disconnects every second instance from the others from one time to another; all reach the store.
func (sk *soak) split(elapsed, from, until time.Duration) {
	for at, nd := range sk.fleet.live() {
		switch {
		case at%2 == 0:
		case elapsed == from:
			nd.side.Store(1)
		case elapsed == until:
			nd.side.Store(0)
		}
	}
}

// cutOff disconnects the first instance from the others and the store from one time to another.
func (sk *soak) cutOff(elapsed, from, until time.Duration) {
	nd := sk.fleet.live()[0]
	switch elapsed {
	case from:
		nd.partitioned.Store(true)
		nd.storeUnreachable.Store(true)
	case until:
		nd.connectedAt.Store(time.Now().UnixNano())
		nd.partitioned.Store(false)
		nd.storeUnreachable.Store(false)
	}
}

// TestSharedPartIsNotBlamedForOtherCrashes guards against a part that all requests share and that is stopped because
// upstreams crashed for another reason.
func TestSharedPartIsNotBlamedForOtherCrashes(t *testing.T) {
	pr := newPartsRun()
	pr.badEvery = time.Hour
	pr.during = func(sk *soak, elapsed time.Duration) {
		switch {
		case elapsed%(7*time.Second) == 0:
			sk.crashDomain("a")
		case elapsed%(7*time.Second) == 3500*time.Millisecond:
			sk.crashDomain("b")
		}
	}
	calm, late := pr.play(t)
	must.Greater(t, 0.9, calm)
	must.GreaterEq(t, 0.9, late)
	must.Zero(t, pr.soak.outcomes["Refused CrashesUpstreams"])
}
