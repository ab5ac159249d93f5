package batch_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/batch"
)

// terms are those of a pool of three upstreams that carry 18 items a second one by one, and 86 in full calls.
var terms = batch.Config{
	Slots: 1, MaxBatch: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, ResultCapacity: 36e6, ResultTTL: 4 * time.Second,
}

var start = time.Unix(1000, 0)

// kind is one kind of groups that arrive at a rate.
type kind struct {
	perSecond float64
	items     int
	rank      int
	due       time.Duration
	expires   time.Duration
	bytes     int64
	// held is how long results are read for after a group is finished.
	held time.Duration
	from time.Duration
	to   time.Duration
}

// tally counts what became of the groups of one kind.
type tally struct {
	timely  int
	late    int
	dropped int
}

func (tl tally) all() int { return tl.timely + tl.late + tl.dropped }

func (tl tally) timelyShare() float64 { return float64(tl.timely) / float64(max(tl.all(), 1)) }

// event is something that happens at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(i, j int) bool { return ev[i].at.Before(ev[j].at) }
func (ev events) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)        { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}

// world plays a pool over fake time.
type world struct {
	pool    *batch.Scheduler
	queue   events
	random  *rand.Rand
	groups  map[uint64]*pending
	tallies []tally
	next    uint64
	handles int
	sizes   []int
	wakeAt  time.Time
	// slow is how many times longer calls to an upstream take, dead are upstreams without connections.
	slow map[string]float64
	dead map[string]bool
}

type pending struct {
	kind    int
	missing int
	due     time.Time
	handles []string
	held    time.Duration
}

func newWorld(seed uint64, terms batch.Config, upstreams ...string) *world {
	wd := &world{
		pool: batch.New(terms), random: rand.New(rand.NewPCG(seed, 1)), groups: map[uint64]*pending{},
		slow: map[string]float64{}, dead: map[string]bool{},
	}
	list := []batch.Upstream{}
	for _, name := range upstreams {
		list = append(list, batch.Upstream{Name: name})
	}
	wd.pool.SetUpstreams(list)
	return wd
}

func (wd *world) at(when time.Time, run func(time.Time)) {
	heap.Push(&wd.queue, event{at: when, run: run})
}

// offer lets the groups of each kind arrive.
func (wd *world) offer(kinds ...kind) {
	wd.tallies = make([]tally, len(kinds))
	for index, one := range kinds {
		for when := one.from; when < one.to; when += time.Duration(wd.random.ExpFloat64() / one.perSecond * float64(time.Second)) {
			wd.at(start.Add(when), func(now time.Time) { wd.submit(now, index, one) })
		}
	}
}

func (wd *world) submit(now time.Time, index int, one kind) {
	wd.next++
	wd.groups[wd.next] = &pending{kind: index, missing: one.items, due: now.Add(one.due), held: one.held}
	wd.pool.Submit(batch.Group{
		ID: wd.next, Count: one.items, Rank: one.rank, Due: now.Add(one.due), Expires: now.Add(one.expires), ResultBytes: one.bytes,
	})
}

// play runs to the end and returns what became of the groups.
func (wd *world) play(t *testing.T) []tally {
	t.Helper()
	for len(wd.queue) > 0 {
		next := heap.Pop(&wd.queue).(event)
		next.run(next.at)
		wd.step(t, next.at)
	}
	return wd.tallies
}

func (wd *world) step(t *testing.T, now time.Time) {
	t.Helper()
	for _, action := range wd.pool.Step(now, 100) {
		switch action := action.(type) {
		case batch.Send:
			must.LessEq(t, terms.MaxBatch, len(action.Items))
			wd.sizes = append(wd.sizes, len(action.Items))
			wd.send(now, action)
		case batch.Drop:
			if known := wd.groups[action.GroupID]; known != nil {
				wd.tallies[known.kind].dropped++
				delete(wd.groups, action.GroupID)
			}
		case batch.Wake:
			// One wake at a time, as the gatherer does it: each step asks for the next anew.
			if !wd.wakeAt.After(now) || action.At.Before(wd.wakeAt) {
				wd.wakeAt = action.At
				wd.at(action.At, func(time.Time) {})
			}
		}
	}
}

func (wd *world) send(now time.Time, action batch.Send) {
	if wd.dead[action.Upstream] {
		wd.at(now.Add(time.Millisecond), func(now time.Time) {
			wd.pool.CallEnded(now, batch.CallResult{CallID: action.CallID, Outcome: batch.OutcomeUnreachable, Unsent: action.Items})
		})
		return
	}
	took := terms.CallTime + time.Duration(len(action.Items))*terms.ItemTime
	took = time.Duration(float64(took) * max(wd.slow[action.Upstream], 1))
	wd.at(now.Add(took), func(now time.Time) { wd.finish(now, action) })
}

func (wd *world) finish(now time.Time, action batch.Send) {
	end := batch.CallResult{CallID: action.CallID, Results: map[batch.Item]string{}}
	done := []uint64{}
	for _, item := range action.Items {
		wd.handles++
		handle := string(rune(wd.handles))
		end.Results[item] = handle
		if known := wd.groups[item.GroupID]; known != nil {
			known.handles = append(known.handles, handle)
			if known.missing--; known.missing == 0 {
				done = append(done, item.GroupID)
			}
		}
	}
	wd.pool.CallEnded(now, end)
	for _, ticket := range done {
		wd.complete(now, ticket)
	}
}

func (wd *world) complete(now time.Time, ticket uint64) {
	known := wd.groups[ticket]
	delete(wd.groups, ticket)
	wd.pool.Remove(ticket)
	if now.After(known.due) {
		wd.tallies[known.kind].late++
	} else {
		wd.tallies[known.kind].timely++
	}
	wd.at(now.Add(known.held), func(now time.Time) {
		for _, handle := range known.handles {
			wd.pool.ResultReleased(now, handle)
		}
	})
}

// draft and light are the kinds of the users' sheets: few large results with little time, and single small ones.
func draft(perSecond float64, from, to time.Duration) kind {
	return kind{
		perSecond: perSecond, items: 2, due: 750 * time.Millisecond, expires: 3500 * time.Millisecond, bytes: 3e6,
		held: 150 * time.Millisecond, from: from, to: to,
	}
}

func light(perSecond float64, from, to time.Duration) kind {
	return kind{
		perSecond: perSecond, items: 1, rank: 2, due: 2 * time.Second, expires: 5 * time.Second, bytes: 8e3,
		held: 300 * time.Millisecond, from: from, to: to,
	}
}

func TestCalmDay(t *testing.T) {
	wd := newWorld(1, terms, "a", "b", "c")
	wd.offer(draft(8, 0, 20*time.Second), light(20, 0, 20*time.Second))
	for _, one := range wd.play(t) {
		must.Greater(t, 0.98, one.timelyShare())
	}
}

// TestBurstOfOneKind replays drafts at 2.6 times their rate.
func TestBurstOfOneKind(t *testing.T) {
	wd := newWorld(2, terms, "a", "b", "c")
	wd.offer(draft(21, 0, 6*time.Second), light(15, 0, 10*time.Second))
	tallies := wd.play(t)
	must.Greater(t, 0.7, tallies[0].timelyShare())
	must.Greater(t, 0.7, tallies[1].timelyShare(), must.Sprint("the other kind yields, but is not starved"))
}

// TestFloodAfterIdle replays a flood of the less urgent kind at a pool that was idle.
func TestFloodAfterIdle(t *testing.T) {
	wd := newWorld(3, terms, "a", "b", "c")
	wd.offer(draft(4, 0, 10*time.Second), light(120, 3*time.Second, 6*time.Second))
	tallies := wd.play(t)
	must.Greater(t, 0.95, tallies[0].timelyShare(), must.Sprint("urgent work keeps its time during a flood of other work"))
}

// TestThirdDead replays a pool of which one upstream takes no connections.
func TestThirdDead(t *testing.T) {
	wd := newWorld(4, terms, "a", "b", "c")
	wd.dead["b"] = true
	wd.offer(draft(8, 0, 10*time.Second), light(15, 0, 10*time.Second))
	for _, one := range wd.play(t) {
		must.Greater(t, 0.9, one.timelyShare())
	}
}

// TestOneSlow replays a pool of which one upstream is five times slower, with a baseline that does not tell it apart.
func TestOneSlow(t *testing.T) {
	wd := newWorld(5, terms, "a", "b", "c")
	wd.slow["b"] = 5
	wd.offer(draft(6, 0, 15*time.Second), light(12, 0, 15*time.Second))
	tallies := wd.play(t)
	must.Greater(t, 0.85, tallies[0].timelyShare())
	must.Greater(t, 0.9, tallies[1].timelyShare())
}

// TestOverloadKeepsMostOnTime replays twice what the pool carries: in plain order of due times nearly all would be late.
func TestOverloadKeepsMostOnTime(t *testing.T) {
	wd := newWorld(6, terms, "a", "b", "c")
	wd.offer(light(170, 0, 6*time.Second))
	one := wd.play(t)[0]
	must.Greater(t, 0.35, one.timelyShare(), must.Sprintf("%+v", one))
}

func TestCallsAreFullUnderLoad(t *testing.T) {
	wd := newWorld(7, terms, "a", "b", "c")
	wd.offer(light(110, 0, 5*time.Second))
	wd.play(t)
	total := 0
	for _, size := range wd.sizes {
		total += size
	}
	must.Greater(t, 6, float64(total)/float64(len(wd.sizes)))
}
