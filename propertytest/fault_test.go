package propertytest

import (
	"time"
)

// beforeSoak is called before each run, so that a test can break a fake.
var beforeSoak = func(*fleet) {}

// fault is one kind of fault; start begins it and returns the function that ends it. isolates says that instances may be
// unable to exchange state during the fault.
type fault struct {
	name     string
	isolates bool
	start    func(sk *soak) func()
}

// upstreamFault returns a fault of one random upstream.
func upstreamFault(name string, on, off func(up *fakeUpstream)) fault {
	return fault{name: name, start: func(sk *soak) func() {
		pools := []string{"encoders", "retrievers", "rerankers", "engines", "ledger"}
		ups := sk.fl.pool(pools[sk.random.IntN(len(pools))])
		up := ups[sk.random.IntN(len(ups))]
		up.set(on)
		return func() { up.set(off) }
	}}
}

// tableFault returns a fault of the table service.
func tableFault(name string, isolates bool, on, off func(ft *fakeTable)) fault {
	return fault{name: name, isolates: isolates, start: func(sk *soak) func() {
		sk.fl.setTable(on)
		return func() { sk.fl.setTable(off) }
	}}
}

// faultKinds returns all kinds of faults of the soak.
func faultKinds() []fault {
	return append([]fault{
		{name: "kill and replace", start: killAndReplace},
		{name: "freeze", isolates: true, start: freezeNode},
		{name: "cut one way", isolates: true, start: func(sk *soak) func() { return cutDomainPair(sk, false) }},
		{name: "cut both ways", isolates: true, start: func(sk *soak) func() { return cutDomainPair(sk, true) }},
		{name: "cut from platform", isolates: true, start: cutFromPlatform},
		{name: "messages lost", isolates: true, start: func(sk *soak) func() { return sk.setLoss(20) }},
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
		upstreamFault("upstream answers others", func(up *fakeUpstream) { up.answerPrevious = true }, func(up *fakeUpstream) { up.answerPrevious = false }),
		upstreamFault("upstream acts and closes", func(up *fakeUpstream) { up.closeAfterExecuting = true }, func(up *fakeUpstream) { up.closeAfterExecuting = false }),
		upstreamFault("streams break", func(up *fakeUpstream) { up.breakAfterTokens = 3 }, func(up *fakeUpstream) { up.breakAfterTokens = 0 }),
	}
}

func tableFaults() []fault {
	return []fault{
		tableFault("platform down", true, func(ft *fakeTable) { ft.down = true }, func(ft *fakeTable) { ft.down = false }),
		tableFault("platform slow", true, func(ft *fakeTable) { ft.slow = 10 * time.Second }, func(ft *fakeTable) { ft.slow = 0 }),
		tableFault("answers lost", true, func(ft *fakeTable) { ft.lostResponsePercent = 50 }, func(ft *fakeTable) { ft.lostResponsePercent = 0 }),
		tableFault("commits late", true, func(ft *fakeTable) { ft.lateCommitPercent = 50 }, func(ft *fakeTable) { ft.lateCommitPercent = 0 }),
	}
}

// startFault starts a random fault for a random number of steps.
func (sk *soak) startFault() {
	kinds := faultKinds()
	kind := kinds[sk.random.IntN(len(kinds))]
	sk.faults[kind.name]++
	sk.isolated = sk.isolated || kind.isolates
	end := kind.start(sk)
	sk.active = append(sk.active, &activeFault{name: kind.name, steps: 10 + sk.random.IntN(100), end: end})
}

// minLive is the number of instances that the soak always leaves running.
const minLive = 3

func killAndReplace(sk *soak) func() {
	if len(sk.fl.live()) > minLive {
		sk.randomNode().kill()
	}
	return func() { sk.fl.startNode() }
}

func freezeNode(sk *soak) func() {
	if len(sk.fl.live()) <= minLive {
		return func() {}
	}
	nd := sk.randomNode()
	nd.freeze()
	return nd.thaw
}

func cutDomainPair(sk *soak, bothWays bool) func() {
	from := domains[sk.random.IntN(len(domains))]
	to := domains[sk.random.IntN(len(domains))]
	if from == to {
		return func() {}
	}
	sk.fl.cutDomains(from, to, bothWays)
	return sk.fl.restoreLinks
}

func cutFromPlatform(sk *soak) func() {
	nd := sk.randomNode()
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

// upstreamLeaves marks an encoder as leaving for good, unless it is the last one.
func upstreamLeaves(sk *soak) func() {
	ups := sk.fl.pool("encoders")
	if sk.leftEncoders < len(ups)-1 {
		sk.fl.markLeaving(sk.randomNode(), ups[sk.leftEncoders].name)
		sk.leftEncoders++
	}
	return func() {}
}
