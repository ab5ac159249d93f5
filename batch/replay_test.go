package batch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/priority"
)

// config gives a pool of three upstreams a throughput of 18 items a second in calls of one, and 86 in full calls.
var config = batch.Config{
	Slots: 1, MaxBatch: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, ResultCapacity: 36e6, ResultTTL: 4 * time.Second,
}

var start = time.Unix(1000, 0)

// kind is a kind of groups that arrive at a rate.
type kind struct {
	perSecond float64
	items     int
	rank      int
	due       time.Duration
	expires   time.Duration
	bytes     int64
	// readTime is how long the results are held after a group is finished.
	readTime time.Duration
	from     time.Duration
	to       time.Duration
}

// tally counts the groups of one kind by how they ended.
type tally struct {
	onTime  int
	late    int
	dropped int
}

func (tl tally) total() int { return tl.onTime + tl.late + tl.dropped }

func (tl tally) onTimeShare() float64 { return float64(tl.onTime) / float64(max(tl.total(), 1)) }

// event is a function to be run at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// newEvents returns an empty queue of events, the earliest first.
func newEvents() *priority.Queue[event] {
	return priority.New(func(left, right event) bool { return left.at.Before(right.at) }, func(event, int) {})
}

// simulation runs a scheduler and its upstreams in simulated time.
type simulation struct {
	scheduler *batch.Scheduler
	queue     *priority.Queue[event]
	random    *rand.Rand
	groups    map[uint64]*pending
	tallies   []tally
	next      uint64
	handles   int
	sizes     []int
	sent      []batch.Send
	wakeAt    time.Time
	// slow multiplies the duration of calls to an upstream; dead upstreams refuse connections.
	slow map[string]float64
	dead map[string]bool
}

type pending struct {
	kind     int
	missing  int
	due      time.Time
	handles  []string
	readTime time.Duration
}

func newSimulation(seed uint64, config batch.Config, upstreams ...string) *simulation {
	sm := &simulation{
		queue:     newEvents(),
		scheduler: batch.New(config), random: rand.New(rand.NewPCG(seed, 1)), groups: map[uint64]*pending{},
		slow: map[string]float64{}, dead: map[string]bool{},
	}
	list := []batch.Upstream{}
	for _, name := range upstreams {
		list = append(list, batch.Upstream{Name: name})
	}
	sm.scheduler.SetUpstreams(list)
	return sm
}

func (sm *simulation) at(when time.Time, run func(time.Time)) {
	sm.queue.Push(event{at: when, run: run})
}

// addArrivals schedules the arrivals of the groups of each kind.
func (sm *simulation) addArrivals(kinds ...kind) {
	sm.tallies = make([]tally, len(kinds))
	for index, one := range kinds {
		for when := one.from; when < one.to; when += time.Duration(sm.random.ExpFloat64() / one.perSecond * float64(time.Second)) {
			sm.at(start.Add(when), func(now time.Time) { sm.submit(now, index, one) })
		}
	}
}

func (sm *simulation) submit(now time.Time, index int, one kind) {
	sm.next++
	sm.groups[sm.next] = &pending{kind: index, missing: one.items, due: now.Add(one.due), readTime: one.readTime}
	sm.scheduler.Submit(batch.Group{
		ID: sm.next, Count: one.items, Rank: one.rank, Due: now.Add(one.due), Expires: now.Add(one.expires), ResultBytes: one.bytes,
	})
}

// run runs all events and returns a tally for each kind.
func (sm *simulation) run(t *testing.T) []tally {
	t.Helper()
	for sm.queue.Len() > 0 {
		next := sm.queue.Pop()
		next.run(next.at)
		sm.step(t, next.at)
	}
	return sm.tallies
}

func (sm *simulation) step(t *testing.T, now time.Time) {
	t.Helper()
	for _, action := range sm.scheduler.Step(now, 100) {
		switch action := action.(type) {
		case batch.Send:
			must.LessEq(t, config.MaxBatch, len(action.Items))
			sm.sizes = append(sm.sizes, len(action.Items))
			sm.sent = append(sm.sent, action)
			sm.send(now, action)
		case batch.Drop:
			if known := sm.groups[action.GroupID]; known != nil {
				sm.tallies[known.kind].dropped++
				delete(sm.groups, action.GroupID)
			}
		case batch.Wake:
			// There is one wake-up at a time, as in package gather: each step returns the next one.
			if !sm.wakeAt.After(now) || action.At.Before(sm.wakeAt) {
				sm.wakeAt = action.At
				sm.at(action.At, func(time.Time) {})
			}
		}
	}
}

func (sm *simulation) send(now time.Time, action batch.Send) {
	if sm.dead[action.Upstream] {
		sm.at(now.Add(time.Millisecond), func(now time.Time) {
			sm.scheduler.CallEnded(now, batch.CallResult{CallID: action.CallID, Outcome: batch.OutcomeUnreachable, Unsent: action.Items})
		})
		return
	}
	took := config.CallTime + time.Duration(len(action.Items))*config.ItemTime
	took = time.Duration(float64(took) * max(sm.slow[action.Upstream], 1))
	sm.at(now.Add(took), func(now time.Time) { sm.finish(now, action) })
}

func (sm *simulation) finish(now time.Time, action batch.Send) {
	end := batch.CallResult{CallID: action.CallID, Results: map[batch.Item]string{}}
	done := []uint64{}
	for _, item := range action.Items {
		sm.handles++
		handle := string(rune(sm.handles))
		end.Results[item] = handle
		if known := sm.groups[item.GroupID]; known != nil {
			known.handles = append(known.handles, handle)
			if known.missing--; known.missing == 0 {
				done = append(done, item.GroupID)
			}
		}
	}
	sm.scheduler.CallEnded(now, end)
	for _, id := range done {
		sm.complete(now, id)
	}
}

func (sm *simulation) complete(now time.Time, id uint64) {
	known := sm.groups[id]
	delete(sm.groups, id)
	sm.scheduler.Remove(id)
	if now.After(known.due) {
		sm.tallies[known.kind].late++
	} else {
		sm.tallies[known.kind].onTime++
	}
	sm.at(now.Add(known.readTime), func(now time.Time) {
		for _, handle := range known.handles {
			sm.scheduler.ResultReleased(now, handle)
		}
	})
}

// draft has few large results with little time; light has a single small result with a lower priority.
func draft(perSecond float64, from, to time.Duration) kind {
	return kind{
		perSecond: perSecond, items: 2, due: 750 * time.Millisecond, expires: 3500 * time.Millisecond, bytes: 3e6,
		readTime: 150 * time.Millisecond, from: from, to: to,
	}
}

func light(perSecond float64, from, to time.Duration) kind {
	return kind{
		perSecond: perSecond, items: 1, rank: 2, due: 2 * time.Second, expires: 5 * time.Second, bytes: 8e3,
		readTime: 300 * time.Millisecond, from: from, to: to,
	}
}

func TestNormalLoad(t *testing.T) {
	sm := newSimulation(1, config, "a", "b", "c")
	sm.addArrivals(draft(8, 0, 20*time.Second), light(20, 0, 20*time.Second))
	for _, one := range sm.run(t) {
		must.Greater(t, 0.98, one.onTimeShare())
	}
}

// TestBurstOfOneKind: drafts arrive at 2.6 times their usual rate.
func TestBurstOfOneKind(t *testing.T) {
	sm := newSimulation(2, config, "a", "b", "c")
	sm.addArrivals(draft(21, 0, 6*time.Second), light(15, 0, 10*time.Second))
	tallies := sm.run(t)
	must.Greater(t, 0.7, tallies[0].onTimeShare())
	must.Greater(t, 0.7, tallies[1].onTimeShare(), must.Sprint("the other kind is delayed, but not starved"))
}

// TestFloodAfterIdle: a flood of groups of lower priority hits an idle pool.
func TestFloodAfterIdle(t *testing.T) {
	sm := newSimulation(3, config, "a", "b", "c")
	sm.addArrivals(draft(4, 0, 10*time.Second), light(120, 3*time.Second, 6*time.Second))
	tallies := sm.run(t)
	must.Greater(t, 0.95, tallies[0].onTimeShare(), must.Sprint("groups of high priority stay on time during a flood of others"))
}

// TestOneOfThreeUpstreamsDead: one upstream refuses all connections.
func TestOneOfThreeUpstreamsDead(t *testing.T) {
	sm := newSimulation(4, config, "a", "b", "c")
	sm.dead["b"] = true
	sm.addArrivals(draft(8, 0, 10*time.Second), light(15, 0, 10*time.Second))
	for _, one := range sm.run(t) {
		must.Greater(t, 0.9, one.onTimeShare())
	}
}

// TestOneSlowUpstream: one upstream is five times slower than the configuration says of all.
func TestOneSlowUpstream(t *testing.T) {
	sm := newSimulation(5, config, "a", "b", "c")
	sm.slow["b"] = 5
	sm.addArrivals(draft(6, 0, 15*time.Second), light(12, 0, 15*time.Second))
	tallies := sm.run(t)
	must.Greater(t, 0.85, tallies[0].onTimeShare())
	must.Greater(t, 0.9, tallies[1].onTimeShare())
}

// TestOverloadKeepsMostOnTime: groups arrive at twice the pool's throughput, and nearly all would be late in plain order
// of due times.
func TestOverloadKeepsMostOnTime(t *testing.T) {
	sm := newSimulation(6, config, "a", "b", "c")
	sm.addArrivals(light(170, 0, 6*time.Second))
	one := sm.run(t)[0]
	must.Greater(t, 0.35, one.onTimeShare(), must.Sprintf("%+v", one))
}

func TestCallsAreFullUnderLoad(t *testing.T) {
	sm := newSimulation(7, config, "a", "b", "c")
	sm.addArrivals(light(110, 0, 5*time.Second))
	sm.run(t)
	total := 0
	for _, size := range sm.sizes {
		total += size
	}
	must.Greater(t, 6, float64(total)/float64(len(sm.sizes)))
}
