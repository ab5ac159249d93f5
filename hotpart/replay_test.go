package hotpart_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/priority"
	"github.com/turmericdoor/turmericdoor/roster"
)

// Sizes of the deployment, and rates of its engines, which differ from those that placement assumes.
const (
	engineCount   = 90
	instanceCount = 68
	slots         = 32
	tokensPerMs   = 42
	sharedTokens  = 6300
	promptTokens  = 2890
	fixedLatency  = 60 * time.Millisecond
	outputTime    = 1500 * time.Millisecond
	// hotRate is the requests a second with the hot part, otherRate those of otherSessions.
	hotRate       = 25
	otherRate     = 200
	otherSessions = 2000
	hotSession    = 7
	// engineParts is how many parts an engine keeps.
	engineParts = 12
)

var start = time.Unix(1000, 0)

// event is a function to be run at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// newEvents returns an empty queue of events, the earliest first.
func newEvents() *priority.Queue[event] {
	return priority.New(func(left, right event) bool { return left.at.Before(right.at) }, func(event, int) {})
}

// engine processes prompts one after the other, runs requests in its slots, and keeps the parts that were used last.
type engine struct {
	up      *roster.Upstream
	dead    bool
	running int
	waiting []func(now time.Time)
	// readUntil is when it has processed all prompts so far.
	readUntil time.Time
	parts     []uint64
}

// read processes a prompt from now on and returns when that ends, and the shared tokens that were not cached.
func (en *engine) read(now time.Time, session uint64) (time.Time, int) {
	missing := 0
	if at := slices.Index(en.parts, session); at >= 0 {
		en.parts = slices.Delete(en.parts, at, at+1)
	} else {
		missing = sharedTokens
	}
	en.parts = append(en.parts, session)
	if len(en.parts) > engineParts {
		en.parts = en.parts[1:]
	}
	if en.readUntil.Before(now) {
		en.readUntil = now
	}
	en.readUntil = en.readUntil.Add(time.Duration(float64(promptTokens+missing) / tokensPerMs * float64(time.Millisecond)))
	return en.readUntil, missing
}

// fleet runs the placement of all instances and the engines in simulated time.
type fleet struct {
	queue   *priority.Queue[event]
	random  *rand.Rand
	list    []*roster.Upstream
	engines map[string]*engine
	pools   []*placement.Pool
	// isBefore places requests without their demand, as before there was package hotpart.
	isBefore bool
	hot      measurement
	others   measurement
	// largest is the largest number of engines of the hot session.
	largest int
}

// measurement is what the requests of a kind have seen.
type measurement struct {
	latencies []time.Duration
	// readAgain are the shared tokens that were processed.
	readAgain int
	engines   map[string]int
	failed    int
	// replicated counts the requests for which the session had several engines.
	replicated int
	// placed holds the engines of the requests in order.
	placed []string
}

func (ms *measurement) quantile(share float64) time.Duration {
	slices.Sort(ms.latencies)
	return ms.latencies[int(share*float64(len(ms.latencies)-1))]
}

func newFleet(seed uint64, isBefore bool) *fleet {
	fl := &fleet{queue: newEvents(), random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, isBefore: isBefore}
	for at := range engineCount {
		up := &roster.Upstream{ID: fmt.Sprintf("e%d", at), Slots: slots, FailureDomain: domain(at)}
		fl.list = append(fl.list, up)
		fl.engines[up.ID] = &engine{up: up}
	}
	for range instanceCount {
		fl.pools = append(fl.pools, placement.New(fixedLatency))
	}
	fl.hot.engines, fl.others.engines = map[string]int{}, map[string]int{}
	return fl
}

func domain(at int) string {
	return []string{"a", "b", "c"}[at%3]
}

func (fl *fleet) at(when time.Time, run func(time.Time)) {
	fl.queue.Push(event{at: when, run: run})
}

// arrivals are requests of sessions at a rate during a time.
type arrivals struct {
	perSecond float64
	from, to  time.Duration
	session   func() uint64
	instance  func() int
	into      *measurement
}

func (fl *fleet) add(one arrivals) {
	for when := one.from; when < one.to; when += time.Duration(fl.random.ExpFloat64() / one.perSecond * float64(time.Second)) {
		session, instance := one.session(), one.instance()
		fl.at(start.Add(when), func(now time.Time) { fl.request(now, instance, session, one.into) })
	}
}

func (fl *fleet) anyInstance() int { return fl.random.IntN(instanceCount) }

// unevenInstance returns every instance with a share between one and three.
func (fl *fleet) unevenInstance() int {
	for {
		at := fl.anyInstance()
		if fl.random.Float64() < (1+2*float64(at)/(instanceCount-1))/3 {
			return at
		}
	}
}

func (fl *fleet) addHot(from, to time.Duration, instance func() int) {
	fl.add(arrivals{perSecond: hotRate, from: from, to: to, session: func() uint64 { return hotSession }, instance: instance, into: &fl.hot})
}

func (fl *fleet) addOthers(to time.Duration) {
	fl.add(arrivals{
		perSecond: otherRate, to: to, instance: fl.anyInstance, into: &fl.others,
		session: func() uint64 { return 1000 + uint64(fl.random.IntN(otherSessions)) },
	})
}

func (fl *fleet) run() {
	for fl.queue.Len() > 0 {
		next := fl.queue.Pop()
		next.run(next.at)
	}
}

// request places a request at an instance and runs it at the engine.
func (fl *fleet) request(now time.Time, instance int, session uint64, into *measurement) {
	pool := fl.pools[instance]
	criteria := placement.Criteria{
		FailureDomain: domain(instance), Session: session, SharedTokens: sharedTokens, PromptTokens: promptTokens,
		Slack: 600 * time.Millisecond, Instances: instanceCount, IsRepeated: fl.isBefore,
	}
	pool.Prune(fl.list)
	choice, found := pool.Pick(now, fl.list, criteria)
	if !found {
		into.failed++
		return
	}
	into.placed = append(into.placed, choice.Upstream.ID)
	if session != hotSession && choice.Engines > 1 {
		into.replicated++
	}
	if session == hotSession {
		fl.largest = max(fl.largest, choice.Engines)
	}
	incarnation := choice.Upstream.Incarnation()
	pool.RecordStart(incarnation, promptTokens)
	if !fl.isBefore {
		pool.RecordSent(now, incarnation, session)
	}
	en := fl.engines[choice.Upstream.ID]
	if en.dead {
		pool.RecordEnd(now, incarnation, promptTokens, false, placement.Unreachable)
		pool.RecordNotRun(incarnation, session, placement.Unreachable)
		fl.at(now.Add(time.Millisecond), func(now time.Time) { fl.request(now, instance, session, into) })
		return
	}
	into.engines[choice.Upstream.ID]++
	begin := func(begun time.Time) {
		readEnd, missing := en.read(begun, session)
		into.readAgain += missing
		first := readEnd.Add(fixedLatency)
		fl.at(first, func(at time.Time) {
			into.latencies = append(into.latencies, at.Sub(now))
			pool.RecordFirstByte(at, incarnation, promptTokens, at.Sub(now), choice.ExpectedLatency)
		})
		fl.at(first.Add(outputTime), func(at time.Time) {
			pool.RecordEnd(at, incarnation, promptTokens, true, placement.Served)
			pool.RecordServiceTime(at.Sub(now))
			en.end(at)
		})
	}
	en.begin(now, begin)
}

func (en *engine) begin(now time.Time, run func(now time.Time)) {
	if en.running >= slots {
		en.waiting = append(en.waiting, run)
		return
	}
	en.running++
	run(now)
}

func (en *engine) end(now time.Time) {
	en.running--
	if len(en.waiting) > 0 {
		next := en.waiting[0]
		en.waiting = en.waiting[1:]
		en.begin(now, next)
	}
}

// compare runs the same load with the placement before and after, and logs what both have seen.
func compare(t *testing.T, seed uint64, load func(fl *fleet)) (before, after *fleet) {
	t.Helper()
	run := func(isBefore bool) *fleet {
		fl := newFleet(seed, isBefore)
		load(fl)
		fl.run()
		for name, ms := range map[string]*measurement{"hot": &fl.hot, "others": &fl.others} {
			if len(ms.latencies) == 0 {
				continue
			}
			late := measurement{latencies: slices.Clone(ms.latencies[len(ms.latencies)/2:])}
			t.Logf("before=%t %s: requests=%d shared tokens processed=%d p50=%d ms p99=%d ms; second half p50=%d ms p99=%d ms; engines=%d most=%d replicated=%d",
				isBefore, name, len(ms.latencies), ms.readAgain, ms.quantile(0.5).Milliseconds(), ms.quantile(0.99).Milliseconds(),
				late.quantile(0.5).Milliseconds(), late.quantile(0.99).Milliseconds(), len(ms.engines), fl.largest, ms.replicated)
		}
		return fl
	}
	return run(true), run(false)
}

// assertBetter checks that far fewer tokens of the hot part are processed, and that no request waits longer for its first byte.
func assertBetter(t *testing.T, before, after *fleet) {
	t.Helper()
	must.Less(t, before.hot.readAgain/2, after.hot.readAgain)
	for _, share := range []float64{0.5, 0.99} {
		must.LessEq(t, before.hot.quantile(share), after.hot.quantile(share))
		must.LessEq(t, before.others.quantile(share), after.others.quantile(share))
	}
}

// TestHotPart guards against a part being processed again and again by one engine after the other, and against requests
// queueing at the first one.
func TestHotPart(t *testing.T) {
	for seed := range uint64(2) {
		before, after := compare(t, seed, func(fl *fleet) {
			fl.addHot(0, time.Minute, fl.anyInstance)
			fl.addOthers(time.Minute)
		})
		assertBetter(t, before, after)
	}
}

// TestUnevenInstances guards against a number of engines that is right only if all instances have the same demand.
func TestUnevenInstances(t *testing.T) {
	before, after := compare(t, 4, func(fl *fleet) {
		fl.addHot(0, time.Minute, fl.unevenInstance)
		fl.addOthers(time.Minute)
	})
	assertBetter(t, before, after)
}

// TestEngineDies guards against requests that are sent on to an engine of the session which is gone, and against the part being
// processed everywhere afterwards.
func TestEngineDies(t *testing.T) {
	const diesAt, unregisteredAt = 20 * time.Second, 22 * time.Second
	before, after := compare(t, 5, func(fl *fleet) {
		fl.addHot(0, time.Minute, fl.anyInstance)
		fl.addOthers(time.Minute)
		preferred, _ := fl.pools[0].Preferred(fl.list, hotSession)
		fl.at(start.Add(diesAt), func(time.Time) { fl.engines[preferred.ID].dead = true })
		fl.at(start.Add(unregisteredAt), func(time.Time) {
			fl.list = slices.DeleteFunc(slices.Clone(fl.list), func(up *roster.Upstream) bool { return up == preferred })
		})
	})
	assertBetter(t, before, after)
	must.Zero(t, after.hot.failed)
}

// TestDemandEnds guards against engines that keep serving a session after its demand has ended, and against a number that
// rises and falls with the few requests that each instance sees.
func TestDemandEnds(t *testing.T) {
	fl := newFleet(6, false)
	fl.addHot(0, 20*time.Second, fl.anyInstance)
	replicated := []int{}
	for after := 15 * time.Second; after <= 70*time.Second; after += 5 * time.Second {
		fl.at(start.Add(after), func(now time.Time) {
			count := 0
			for _, pool := range fl.pools {
				count += pool.ReplicatedSessions(now)
			}
			replicated = append(replicated, count)
		})
	}
	fl.add(arrivals{
		perSecond: 0.5, from: 20 * time.Second, to: 70 * time.Second, instance: fl.anyInstance, into: &fl.hot,
		session: func() uint64 { return hotSession },
	})
	fl.run()
	t.Logf("instances with more than one engine, every 5 s from 15 s on: %v", replicated)
	must.Greater(t, instanceCount*2/3, replicated[0])
	must.Greater(t, replicated[1]/2, replicated[2], must.Sprint("the number is kept for a while"))
	must.Zero(t, replicated[len(replicated)-1])
	must.True(t, slices.IsSortedFunc(replicated[1:], func(left, right int) int { return right - left }), must.Sprint("it only falls"))
}

// TestLittleDemand guards against sessions with little demand being placed otherwise than by their order and the load.
func TestLittleDemand(t *testing.T) {
	before, after := compare(t, 7, func(fl *fleet) {
		fl.addOthers(time.Minute)
	})
	must.Eq(t, before.others.placed, after.others.placed)
	must.Zero(t, after.others.replicated)
}
