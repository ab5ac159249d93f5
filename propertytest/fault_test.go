package propertytest

import (
	"time"
)

// prepareSoak lets a test break a fake before a run.
var prepareSoak = func(*fleet) {}

// fault starts one kind of fault and returns how it ends; severs says that instances may be unable to tell
// each other what they know.
type fault struct {
	name   string
	severs bool
	start  func(sk *soak) func()
}

// upstreamFault makes a fault of one random upstream.
func upstreamFault(name string, on, off func(up *fakeUpstream)) fault {
	return fault{name: name, start: func(sk *soak) func() {
		pools := []string{"encoders", "retrievers", "rerankers", "engines", "ledger"}
		ups := sk.fl.pool(pools[sk.chance.IntN(len(pools))])
		up := ups[sk.chance.IntN(len(ups))]
		up.set(on)
		return func() { up.set(off) }
	}}
}

// tableFault makes a fault of the table service.
func tableFault(name string, severs bool, on, off func(ft *fakeTable)) fault {
	return fault{name: name, severs: severs, start: func(sk *soak) func() {
		sk.fl.setTable(on)
		return func() { sk.fl.setTable(off) }
	}}
}

// faultKinds are all faults of the soak.
func faultKinds() []fault {
	return append([]fault{
		{name: "kill and replace", start: killAndReplace},
		{name: "freeze", severs: true, start: freezeOne},
		{name: "cut one way", severs: true, start: func(sk *soak) func() { return cutSome(sk, false) }},
		{name: "cut both ways", severs: true, start: func(sk *soak) func() { return cutSome(sk, true) }},
		{name: "cut from platform", severs: true, start: cutFromPlatform},
		{name: "messages lost", severs: true, start: func(sk *soak) func() { return sk.setLoss(20) }},
		{name: "old documents", start: func(sk *soak) func() {
			sk.fl.setStale(40)
			return func() { sk.fl.setStale(0) }
		}},
		{name: "upstream leaves", start: upstreamLeaves},
	}, append(upstreamFaults(), tableFaults()...)...)
}

func upstreamFaults() []fault {
	return []fault{
		upstreamFault("upstream down", func(up *fakeUpstream) { up.down = true }, func(up *fakeUpstream) { up.down = false }),
		upstreamFault("upstream silent", func(up *fakeUpstream) { up.silent = true }, func(up *fakeUpstream) { up.silent = false }),
		upstreamFault("upstream slow", func(up *fakeUpstream) { up.slowFactor = 10 }, func(up *fakeUpstream) { up.slowFactor = 0 }),
		upstreamFault("upstream garbage", func(up *fakeUpstream) { up.garbage = true }, func(up *fakeUpstream) { up.garbage = false }),
		upstreamFault("upstream answers others", func(up *fakeUpstream) { up.answerOther = true }, func(up *fakeUpstream) { up.answerOther = false }),
		upstreamFault("upstream acts and closes", func(up *fakeUpstream) { up.actThenDie = true }, func(up *fakeUpstream) { up.actThenDie = false }),
		upstreamFault("streams break", func(up *fakeUpstream) { up.breakAfter = 3 }, func(up *fakeUpstream) { up.breakAfter = 0 }),
	}
}

func tableFaults() []fault {
	return []fault{
		tableFault("platform down", true, func(ft *fakeTable) { ft.down = true }, func(ft *fakeTable) { ft.down = false }),
		tableFault("platform slow", true, func(ft *fakeTable) { ft.slow = 10 * time.Second }, func(ft *fakeTable) { ft.slow = 0 }),
		tableFault("answers lost", true, func(ft *fakeTable) { ft.loseAnswer = 50 }, func(ft *fakeTable) { ft.loseAnswer = 0 }),
		tableFault("commits late", true, func(ft *fakeTable) { ft.landLate = 50 }, func(ft *fakeTable) { ft.landLate = 0 }),
	}
}

// startFault draws a fault and how long it lasts.
func (sk *soak) startFault() {
	kinds := faultKinds()
	kind := kinds[sk.chance.IntN(len(kinds))]
	sk.faults[kind.name]++
	sk.severed = sk.severed || kind.severs
	end := kind.start(sk)
	sk.active = append(sk.active, &activeFault{name: kind.name, steps: 10 + sk.chance.IntN(100), end: end})
}

// minLive is how many instances the soak always leaves running.
const minLive = 3

func killAndReplace(sk *soak) func() {
	if len(sk.fl.live()) > minLive {
		sk.node().kill()
	}
	return func() { sk.fl.startNode() }
}

func freezeOne(sk *soak) func() {
	if len(sk.fl.live()) <= minLive {
		return func() {}
	}
	nd := sk.node()
	nd.freeze()
	return nd.thaw
}

func cutSome(sk *soak, bothWays bool) func() {
	from := domains[sk.chance.IntN(len(domains))]
	to := domains[sk.chance.IntN(len(domains))]
	if from == to {
		return func() {}
	}
	sk.fl.cutDomains(from, to, bothWays)
	return sk.fl.heal
}

func cutFromPlatform(sk *soak) func() {
	nd := sk.node()
	nd.cutFromPlatform.Store(true)
	return func() { nd.cutFromPlatform.Store(false) }
}

func (sk *soak) setLoss(percent int) func() {
	sk.fl.setLoss(percent)
	return func() { sk.fl.setLoss(0) }
}

func (fl *fleet) setLoss(percent int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.loss = percent
}

func (fl *fleet) setStale(percent int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.stale = percent
}

// upstreamLeaves has an operator take an encoder out of use for good, as long as others are left.
func upstreamLeaves(sk *soak) func() {
	ups := sk.fl.pool("encoders")
	if sk.left < len(ups)-1 {
		sk.fl.leave(sk.node(), ups[sk.left].name)
		sk.left++
	}
	return func() {}
}
