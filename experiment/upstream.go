package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/priority"
)

// fakeUpstream is a simulated upstream. It runs one call in each of its slots; further calls wait, ordered
// by rank and then by arrival. slowdown multiplies the service time; 0 means that it is normal.
type fakeUpstream struct {
	sim         *simulation
	config      *document.Upstream
	serviceTime time.Duration
	slowdown    float64
	crashed     bool
	running     map[*call]bool
	waiting     *priority.Queue[*call]
	arrivals    int
}

// call is one call to an upstream. workShare is the fraction of the mean service time that it needs; onEnd
// is called once, with its outcome.
type call struct {
	up        *fakeUpstream
	rank      int
	number    int
	index     int
	workShare float64
	arrivedAt time.Duration
	startedAt time.Duration
	ended     bool
	onEnd     func(outcome callOutcome)
}

// callOutcome is how a call ended: answered, unreachable because the connection was refused, or neither if
// the upstream crashed during the call. load is the number of running and waiting calls at that time, with
// this one, or -1 if unknown.
type callOutcome struct {
	answered    bool
	unreachable bool
	waited      time.Duration
	load        int64
}

// newFakeUpstream returns a healthy upstream.
func newFakeUpstream(sim *simulation, config *document.Upstream) *fakeUpstream {
	return &fakeUpstream{
		sim: sim, config: config, serviceTime: config.Pool.StageTime, running: map[*call]bool{},
		waiting: priority.New(callBefore, func(cl *call, index int) { cl.index = index }),
	}
}

// callBefore reports whether left starts before right: the lower rank first, then the earlier arrival.
func callBefore(left, right *call) bool {
	if left.rank != right.rank {
		return left.rank < right.rank
	}
	return left.number < right.number
}

// refusalDelay is how long a host on which the process does not run takes to refuse a connection.
const refusalDelay = time.Millisecond

// send starts a call, or queues it until a slot is free. If the upstream has crashed, the call ends as
// unreachable after refusalDelay.
func (up *fakeUpstream) send(rank int, workShare float64, onEnd func(callOutcome)) *call {
	up.arrivals++
	cl := &call{up: up, rank: rank, number: up.arrivals, index: priority.NotQueued, workShare: workShare, arrivedAt: up.sim.now, onEnd: onEnd}
	if up.crashed {
		up.sim.scheduleAfter(refusalDelay, func() { cl.end(callOutcome{unreachable: true, load: -1}) })
		return cl
	}
	up.waiting.Push(cl)
	up.startWaiting()
	return cl
}

// startWaiting starts waiting calls while slots are free.
func (up *fakeUpstream) startWaiting() {
	for !up.crashed && up.waiting.Len() > 0 && int64(len(up.running)) < up.config.Slots {
		up.start(up.waiting.Pop())
	}
}

// start runs a call. Its service time is the pool's mean service time, times the call's workShare, times the
// upstream's slowdown if that is set, times a random factor between 0.5 and 1.5. The load that the outcome
// reports is a number of calls.
func (up *fakeUpstream) start(cl *call) {
	up.running[cl] = true
	cl.startedAt = up.sim.now
	length := time.Duration((0.5 + up.sim.random.Float64()) * cl.workShare * float64(up.serviceTime))
	if up.slowdown > 0 {
		length = time.Duration(up.slowdown * float64(length))
	}
	up.sim.result.busySeconds[up.config.Pool.Name] += length.Seconds()
	up.sim.scheduleAfter(length, func() {
		cl.end(callOutcome{answered: true, waited: cl.startedAt - cl.arrivedAt, load: up.load()})
	})
}

// load returns the number of running and waiting calls.
func (up *fakeUpstream) load() int64 {
	return int64(len(up.running) + up.waiting.Len())
}

// isLessLoaded reports whether the upstream has fewer running and waiting calls than another, or only the other has
// crashed.
func (up *fakeUpstream) isLessLoaded(other *fakeUpstream) bool {
	if up.crashed != other.crashed {
		return other.crashed
	}
	return up.load() < other.load()
}

// end frees the slot of a call, or its place in the queue, and calls onEnd. Further calls of end do
// nothing.
func (cl *call) end(outcome callOutcome) {
	if cl.ended {
		return
	}
	cl.ended = true
	delete(cl.up.running, cl)
	if cl.index >= 0 {
		cl.up.waiting.Remove(cl.index)
	}
	cl.up.startWaiting()
	cl.onEnd(outcome)
}

// cancel ends a call without calling onEnd.
func (cl *call) cancel() {
	cl.onEnd = func(callOutcome) {}
	cl.end(callOutcome{})
}

// crash ends all running and waiting calls without an answer, in the order of their arrival, so that runs
// with the same seed are equal.
func (up *fakeUpstream) crash() {
	up.crashed = true
	calls := append(slices.Collect(maps.Keys(up.running)), up.waiting.All()...)
	slices.SortFunc(calls, func(left, right *call) int { return left.number - right.number })
	for _, cl := range calls {
		up.sim.scheduleAfter(0, func() { cl.end(callOutcome{load: -1}) })
	}
}
