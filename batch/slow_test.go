package batch_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/batch"
)

// poolNames are the upstreams of a pool of which a fifth is slow.
var poolNames = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

func newSlowPool(seed uint64) *simulation {
	sm := newSimulation(seed, config, poolNames...)
	sm.slow["c"], sm.slow["h"] = 5, 5
	return sm
}

// loads are the rates of the two kinds of groups at half of the load that the pool can just serve and at all of it.
var loads = map[string][2]float64{"half": {30, 80}, "full": {50, 120}}

func kindsOf(perSecond [2]float64, during time.Duration) []kind {
	return []kind{draft(perSecond[0], 0, during), light(perSecond[1], 0, during)}
}

// estimatesAfter runs a scheduler for a time and returns its estimates at the end of it.
func estimatesAfter(t *testing.T, seed uint64, perSecond [2]float64, during time.Duration) []batch.Slowdown {
	t.Helper()
	sm := newSlowPool(seed)
	sm.addArrivals(kindsOf(perSecond, during)...)
	list := []batch.Slowdown{}
	sm.at(start.Add(during), func(now time.Time) { list = sm.scheduler.SlowUpstreams(now) })
	sm.run(t)
	return list
}

// slowCalls counts the calls that slow upstreams got, their items, and the groups that ended on time.
type slowCalls struct {
	calls  int
	items  int
	onTime int
}

// add runs a new scheduler with estimates and a backlog of one second, and adds the calls of the given time.
func (sl *slowCalls) add(t *testing.T, seed uint64, perSecond [2]float64, during time.Duration, estimates []batch.Slowdown) {
	t.Helper()
	sm := newSlowPool(seed)
	sm.scheduler.AdoptSlowdowns(start, estimates)
	kinds := kindsOf(perSecond, during)
	sm.addArrivals(kinds...)
	for index, one := range kinds {
		for range int(one.perSecond) {
			sm.at(start, func(now time.Time) { sm.submit(now, index, one) })
		}
	}
	for _, one := range sm.run(t) {
		sl.onTime += one.onTime
	}
	for _, sent := range sm.sent {
		if sm.slow[sent.Upstream] > 1 {
			sl.calls++
			sl.items += len(sent.Items)
		}
	}
}

// TestSlowUpstreamsHandedOver guards against a new owner of a queue that has to find out again which upstreams are slow. A fifth
// of the pool is five times slower, and the owner is lost. The time until the next one gets jobs does not count, see package gather.
func TestSlowUpstreamsHandedOver(t *testing.T) {
	const ran, first = 10 * time.Second, 3 * time.Second
	for name, perSecond := range loads {
		t.Run(name, func(t *testing.T) {
			before, after := slowCalls{}, slowCalls{}
			for seed := range uint64(6) {
				estimates := estimatesAfter(t, seed, perSecond, ran)
				must.SliceLen(t, 2, estimates)
				for at := range estimates {
					estimates[at].At = estimates[at].At.Add(-ran)
				}
				before.add(t, seed+10, perSecond, first, nil)
				after.add(t, seed+10, perSecond, first, estimates)
			}
			t.Logf("to slow upstreams in the first %v of six owners: before %+v, after %+v", first, before, after)
			must.LessEq(t, before.calls*3/4, after.calls)
			must.LessEq(t, before.items*3/4, after.items)
			must.GreaterEq(t, before.onTime, after.onTime)
		})
	}
}

// TestSlowUpstreams guards against estimates for upstreams that are fast, or for more than one message carries.
func TestSlowUpstreams(t *testing.T) {
	scheduler := batch.New(config)
	names, adopted := []batch.Upstream{}, []batch.Slowdown{}
	for at := range 20 {
		name := string(rune('a' + at))
		names = append(names, batch.Upstream{Name: name})
		adopted = append(adopted, batch.Slowdown{Upstream: name, Factor: 1.4 + float64(at)/2, At: start})
	}
	scheduler.SetUpstreams(names)
	must.SliceEmpty(t, scheduler.SlowUpstreams(start))
	scheduler.AdoptSlowdowns(start, adopted)
	list := scheduler.SlowUpstreams(start)
	must.SliceLen(t, 15, list, must.Sprint("the first 16 of a list are adopted, and one of those is fast"))
	must.Eq(t, adopted[15], list[0], must.Sprint("the slowest is the first"))
	scheduler.AdoptSlowdowns(start, adopted[10:])
	must.SliceLen(t, 16, scheduler.SlowUpstreams(start))
	must.Less(t, 16, len(scheduler.SlowUpstreams(start.Add(12*time.Second))), must.Sprint("they decay"))
}

// TestAdoptedSlowdowns guards against estimates that replace newer observations, or that make an upstream useless.
func TestAdoptedSlowdowns(t *testing.T) {
	slow := func(factor float64, age time.Duration) []batch.Slowdown {
		return []batch.Slowdown{{Upstream: "a", Factor: factor, At: start.Add(-age)}}
	}
	for name, each := range map[string]struct {
		adopted  []batch.Slowdown
		expected int
	}{
		"a slow upstream":         {slow(5, 0), 1},
		"an old estimate":         {slow(5, 30*time.Second), 0},
		"an estimate to come":     {slow(5, -time.Second), 0},
		"no number":               {slow(math.NaN(), 0), 0},
		"a negative number":       {slow(-5, 0), 0},
		"a fast upstream":         {slow(1.2, 0), 0},
		"a huge number":           {slow(math.Inf(1), 0), 1},
		"another incarnation":     {[]batch.Slowdown{{Upstream: "a2", Factor: 5, At: start}}, 0},
		"an upstream named twice": {append(slow(5, 0), slow(6, 0)...), 1},
	} {
		t.Run(name, func(t *testing.T) {
			scheduler := newScheduler(config)
			scheduler.AdoptSlowdowns(start, each.adopted)
			list := scheduler.SlowUpstreams(start)
			must.SliceLen(t, each.expected, list)
			submit(scheduler, 1, 8, 1000)
			sent := sends(scheduler.Step(start.Add(time.Millisecond), 0))
			must.SliceLen(t, 1, sent, must.Sprint("the only upstream gets calls"))
			for _, one := range list {
				must.LessEq(t, 100, one.Factor)
				must.SliceLen(t, 2, sent[0].Items, must.Sprint("small ones if it is slow"))
			}
		})
	}
	t.Run("own calls count", func(t *testing.T) {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 8, 1000)
		send := sends(scheduler.Step(start, 0))[0]
		ended := start.Add(send.ExpectedDuration)
		scheduler.CallEnded(ended, batch.CallResult{CallID: send.CallID, Results: results(send, "1", "2", "3", "4", "5", "6", "7", "8")})
		later := ended.Add(time.Second)
		scheduler.AdoptSlowdowns(later, []batch.Slowdown{{Upstream: "a", Factor: 5, At: later}})
		must.SliceEmpty(t, scheduler.SlowUpstreams(later))
		later = ended.Add(4 * time.Second)
		scheduler.AdoptSlowdowns(later, []batch.Slowdown{{Upstream: "a", Factor: 5, At: later}})
		must.SliceLen(t, 1, scheduler.SlowUpstreams(later), must.Sprint("unless they are too old"))
	})
}
