package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/priority"
)

// back is a fake upstream: so many calls at once, others wait by rank, then by arrival.
type back struct {
	world   *world
	config  *document.Upstream
	service time.Duration
	factor  float64
	dead    bool
	running map[*call]bool
	waiting *priority.Queue[*call]
	arrived int
}

// call is one call on an upstream; done is told how it ended.
type call struct {
	up      *back
	rank    int
	number  int
	seat    int
	share   float64
	began   time.Duration
	started time.Duration
	over    bool
	done    func(outcome callOutcome)
}

// callOutcome is how a call ended: answered, or not reached, or broken off.
type callOutcome struct {
	answered    bool
	unreachable bool
	waited      time.Duration
	load        int64
}

// newBack returns a healthy upstream.
func newBack(wd *world, config *document.Upstream) *back {
	return &back{
		world: wd, config: config, service: config.Pool.StageTime, running: map[*call]bool{},
		waiting: priority.New(earlier, func(one *call, seat int) { one.seat = seat }),
	}
}

// earlier orders waiting calls by rank, then by arrival.
func earlier(left, right *call) bool {
	if left.rank != right.rank {
		return left.rank < right.rank
	}
	return left.number < right.number
}

// refusalTime is how long a machine without the process takes to refuse a connection.
const refusalTime = time.Millisecond

// send brings a call to the upstream; share is the part of the work that it asks for.
func (up *back) send(rank int, share float64, done func(callOutcome)) *call {
	up.arrived++
	one := &call{up: up, rank: rank, number: up.arrived, seat: priority.NotQueued, share: share, began: up.world.now, done: done}
	if up.dead {
		up.world.after(refusalTime, func() { one.end(callOutcome{unreachable: true, load: -1}) })
		return one
	}
	up.waiting.Push(one)
	up.next()
	return one
}

// next starts waiting calls while there is room.
func (up *back) next() {
	for !up.dead && up.waiting.Len() > 0 && int64(len(up.running)) < up.config.Slots {
		up.start(up.waiting.Pop())
	}
}

func (up *back) start(one *call) {
	up.running[one] = true
	one.started = up.world.now
	length := time.Duration((0.5 + up.world.random.Float64()) * one.share * float64(up.service))
	if up.factor > 0 {
		length = time.Duration(up.factor * float64(length))
	}
	up.world.result.busy[up.config.Pool.Name] += length.Seconds()
	up.world.after(length, func() {
		one.end(callOutcome{answered: true, waited: one.started - one.began, load: up.load()})
	})
}

func (up *back) load() int64 {
	return int64(len(up.running) + up.waiting.Len())
}

// end tells a call's end once and gives its room to the next.
func (one *call) end(outcome callOutcome) {
	if one.over {
		return
	}
	one.over = true
	delete(one.up.running, one)
	if one.seat >= 0 {
		one.up.waiting.Remove(one.seat)
	}
	one.up.next()
	one.done(outcome)
}

// cancel takes a call back; its end is not told.
func (one *call) cancel() {
	one.done = func(callOutcome) {}
	one.end(callOutcome{})
}

// die breaks off all calls.
func (up *back) die() {
	up.dead = true
	calls := append(slices.Collect(maps.Keys(up.running)), up.waiting.All()...)
	slices.SortFunc(calls, func(left, right *call) int { return left.number - right.number })
	for _, one := range calls {
		up.world.after(0, func() { one.end(callOutcome{load: -1}) })
	}
}
