package experiment

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
)

// back is a fake upstream: so many calls at once, others wait by rank, then by arrival.
type back struct {
	world   *world
	config  *document.Upstream
	service time.Duration
	factor  float64
	dead    bool
	running map[*call]bool
	waiting callHeap
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

type callHeap []*call

func (hp callHeap) Len() int { return len(hp) }

func (hp callHeap) Less(left, right int) bool {
	if hp[left].rank != hp[right].rank {
		return hp[left].rank < hp[right].rank
	}
	return hp[left].number < hp[right].number
}

func (hp callHeap) Swap(left, right int) {
	hp[left], hp[right] = hp[right], hp[left]
	hp[left].seat, hp[right].seat = left, right
}

func (hp *callHeap) Push(value any) {
	one, _ := value.(*call)
	one.seat = len(*hp)
	*hp = append(*hp, one)
}

func (hp *callHeap) Pop() any {
	last := (*hp)[len(*hp)-1]
	*hp = (*hp)[:len(*hp)-1]
	last.seat = -1
	return last
}

// refusalTime is how long a machine without the process takes to refuse a connection.
const refusalTime = time.Millisecond

// send brings a call to the upstream; share is the part of the work that it asks for.
func (up *back) send(rank int, share float64, done func(callOutcome)) *call {
	up.arrived++
	one := &call{up: up, rank: rank, number: up.arrived, seat: -1, share: share, began: up.world.now, done: done}
	if up.dead {
		up.world.after(refusalTime, func() { one.end(callOutcome{unreachable: true, load: -1}) })
		return one
	}
	heap.Push(&up.waiting, one)
	up.next()
	return one
}

// next starts waiting calls while there is room.
func (up *back) next() {
	for !up.dead && len(up.waiting) > 0 && int64(len(up.running)) < up.config.Slots {
		one, _ := heap.Pop(&up.waiting).(*call)
		up.start(one)
	}
}

func (up *back) start(one *call) {
	if up.running == nil {
		up.running = map[*call]bool{}
	}
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
	return int64(len(up.running) + len(up.waiting))
}

// end tells a call's end once and gives its room to the next.
func (one *call) end(outcome callOutcome) {
	if one.over {
		return
	}
	one.over = true
	delete(one.up.running, one)
	if one.seat >= 0 {
		heap.Remove(&one.up.waiting, one.seat)
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
	calls := append(slices.Collect(maps.Keys(up.running)), up.waiting...)
	slices.SortFunc(calls, func(left, right *call) int { return left.number - right.number })
	for _, one := range calls {
		up.world.after(0, func() { one.end(callOutcome{load: -1}) })
	}
}
