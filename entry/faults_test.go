package entry_test

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// startFault starts a random fault that lasts for a random number of steps.
func (sk *soak) startFault() {
	all := []struct {
		name  string
		start func() func()
	}{
		{"StoreDown", sk.storeDown},
		{"StoreDownLapse", sk.storeDownLapse},
		{"StoreSlow", sk.storeSlow},
		{"StoreDropsHistory", sk.storeDropsHistory},
		{"StoreDownForSome", sk.storeDownForSome},
		{"StoreHangsForOne", sk.storeHangsForOne},
		{"InstancePartitioned", sk.instancePartitioned},
		{"InstanceKilled", sk.instanceKilled},
		{"UpstreamCrash", sk.upstreamCrash},
		{"UpstreamHangs", sk.upstreamHangs},
		{"UpstreamFlaky", sk.upstreamFlaky},
		{"ResumesFail", sk.resumesFail},
		{"RateLimit", sk.rateLimit},
		{"RateLimitOfAPool", sk.rateLimitOfAPool},
	}
	chosen := all[sk.random.IntN(len(all))]
	for _, fault := range sk.activeFaults {
		if fault.name[:5] == chosen.name[:5] {
			return
		}
	}
	sk.faults[chosen.name]++
	sk.activeFaults = append(sk.activeFaults, &activeFault{name: chosen.name, steps: 20 + sk.random.IntN(120), end: chosen.start()})
}

func (sk *soak) storeDown() func() {
	sk.fleet.store.setState(true, 0)
	return func() { sk.fleet.store.setState(false, 0) }
}

// storeDownLapse makes the store unavailable until the registrations have expired; running upstreams register again
// after the outage.
func (sk *soak) storeDownLapse() func() {
	sk.fleet.store.setState(true, 0)
	return func() {
		us := sk.fleet.upstreams
		us.mu.Lock()
		lapsed := []*upstream{}
		for _, up := range us.byID {
			if !up.crashed && up.leftAt.IsZero() {
				lapsed = append(lapsed, up)
			}
		}
		us.mu.Unlock()
		for _, up := range lapsed {
			sk.fleet.store.put(registrations, removalRow(up))
		}
		sk.fleet.store.setState(false, 0)
		for _, up := range lapsed {
			after := sk.random.DurationUpTo(1500 * time.Millisecond)
			sk.group.Go(func() {
				time.Sleep(after)
				us.mu.Lock()
				still := !up.crashed && up.leftAt.IsZero() && us.byID[up.ID] == up
				us.mu.Unlock()
				if still {
					us.writeRegistration(up)
				}
			})
		}
	}
}

func (sk *soak) storeSlow() func() {
	sk.fleet.store.setState(false, 200*time.Millisecond)
	return func() { sk.fleet.store.setState(false, 0) }
}

func (sk *soak) storeDropsHistory() func() {
	sk.fleet.store.dropHistory()
	return func() {}
}

// storeDownForSome disconnects a third of the instances from the store.
func (sk *soak) storeDownForSome() func() {
	nodes := sk.fleet.live()
	chosen := nodes[:len(nodes)/3]
	for _, nd := range chosen {
		nd.storeUnreachable.Store(true)
	}
	return func() {
		for _, nd := range chosen {
			nd.storeUnreachable.Store(false)
		}
	}
}

func (sk *soak) randomNode() *node {
	nodes := slices.DeleteFunc(sk.fleet.live(), func(nd *node) bool { return nd.isStopping.Load() })
	return nodes[sk.random.IntN(len(nodes))]
}

func (sk *soak) storeHangsForOne() func() {
	nd := sk.randomNode()
	nd.storeHangs.Store(true)
	return func() { nd.storeHangs.Store(false) }
}

func (sk *soak) instancePartitioned() func() {
	nd := sk.randomNode()
	sk.partitioned = true
	nd.storeUnreachable.Store(true)
	nd.partitioned.Store(true)
	return func() {
		nd.connectedAt.Store(time.Now().UnixNano())
		nd.partitioned.Store(false)
		nd.storeUnreachable.Store(false)
	}
}

func (sk *soak) instanceKilled() func() {
	nd := sk.randomNode()
	sk.fleet.kill(nd)
	return func() { sk.fleet.restart(nd, sk.variant) }
}

func (sk *soak) upstreamCrash() func() {
	up := sk.fleet.upstreams.randomUpstream()
	if up == nil {
		return func() {}
	}
	sk.fleet.upstreams.crash(up)
	return func() {}
}

// setUpstream sets a fault on a random upstream and returns the function that clears it.
func (sk *soak) setUpstream(set func(up *upstream, on bool)) func() {
	up := sk.fleet.upstreams.randomUpstream()
	if up == nil {
		return func() {}
	}
	change := func(on bool) {
		sk.fleet.upstreams.mu.Lock()
		defer sk.fleet.upstreams.mu.Unlock()
		set(up, on)
	}
	change(true)
	return func() { change(false) }
}

func (sk *soak) upstreamHangs() func() {
	return sk.setUpstream(func(up *upstream, on bool) { up.hangs = on })
}

// rateLimit makes a random upstream announce a rate limit, some of them values that are no number, too.
func (sk *soak) rateLimit() func() {
	us := sk.fleet.upstreams
	up := us.randomUpstream()
	if up == nil {
		return func() {}
	}
	us.setLimit(up.ID, []float64{0, 0.3, 1, 4, 20}[sk.random.IntN(5)])
	us.mu.Lock()
	if limit := us.byID[up.ID].limit; limit != nil {
		limit.unreadable = sk.random.IntN(3) == 0
	}
	us.mu.Unlock()
	return func() { sk.endLimits(up.ID) }
}

// limitEndDelay is how much longer than the fault a rate limit lasts, so that its bound applies to a part of that time.
const limitEndDelay = 10 * time.Second

// endLimits ends the rate limits of upstreams some time later.
func (sk *soak) endLimits(ids ...string) {
	sk.group.Go(func() {
		time.Sleep(limitEndDelay)
		for _, id := range ids {
			sk.fleet.upstreams.setLimit(id, unlimited)
		}
	})
}

// rateLimitOfAPool makes all upstreams of a pool announce a rate limit.
func (sk *soak) rateLimitOfAPool() func() {
	us := sk.fleet.upstreams
	pool := []string{"model", "plain", "encode", "rank"}[sk.random.IntN(4)]
	ids := []string{}
	us.mu.Lock()
	for id, up := range us.byID {
		if up.Pool == pool {
			ids = append(ids, id)
		}
	}
	us.mu.Unlock()
	slices.Sort(ids)
	for _, id := range ids {
		us.setLimit(id, 2)
	}
	return func() { sk.endLimits(ids...) }
}

// startStanding makes an upstream leave or pause, or the store come back older; its random numbers are its own, so that those of the other faults stay as they are.
func (sk *soak) startStanding() {
	if sk.standingRandom == nil {
		sk.standingRandom = sk.fleet.random.Fork("standing")
	}
	if sk.standingRandom.IntN(standingShare) > 0 {
		return
	}
	if sk.standingRandom.IntN(5) == 0 {
		sk.storeComesBackOlder()
		return
	}
	if sk.standingRandom.IntN(2) == 0 {
		sk.faults["WantsPause"]++
		sk.wantsPause()
		return
	}
	sk.faults["SaysItLeaves"]++
	end := sk.saysItLeaves()
	sk.group.Go(func() { time.Sleep(saysItLeavesTime); end() })
}

const (
	// An upstream leaves or pauses in one of standingShare steps, on average; saysItLeavesTime is how long it says that it is leaving.
	standingShare    = 80
	saysItLeavesTime = 6 * time.Second
)

// saysItLeaves makes an upstream say that it is leaving, whose registration stays; it is started anew at the end.
func (sk *soak) saysItLeaves() func() {
	us, up := sk.fleet.upstreams, sk.standingUpstream()
	if up == nil {
		return func() {}
	}
	sk.standings = append(sk.standings, us.stand(up.ID, leave))
	return func() { us.crash(up) }
}

// wantsPause makes an upstream turn all calls away for some seconds.
func (sk *soak) wantsPause() {
	up := sk.standingUpstream()
	if up == nil {
		return
	}
	length := time.Second + sk.standingRandom.DurationUpTo(5*time.Second)
	sk.standings = append(sk.standings, sk.fleet.upstreams.stand(up.ID, func(st *standing) { st.pauseUntil = time.Now().Add(length) }))
}

// standingUpstream returns a random upstream that is running, or nil.
func (sk *soak) standingUpstream() *upstream {
	us := sk.fleet.upstreams
	us.mu.Lock()
	defer us.mu.Unlock()
	ids := slices.Sorted(maps.Keys(us.byID))
	up := us.byID[ids[sk.standingRandom.IntN(len(ids))]]
	if up.crashed || !up.leftAt.IsZero() {
		return nil
	}
	return up
}

// checkStandings checks that upstreams which left or paused were left alone.
func (sk *soak) checkStandings() {
	for _, st := range sk.standings {
		if st.late > 0 || st.mostInPause() > maxCallsInPause {
			sk.violations = append(sk.violations, fmt.Sprintf("a leaving or pausing upstream got %d late calls, and %d of one instance in a pause", st.late, st.mostInPause()))
		}
	}
}

func (sk *soak) upstreamFlaky() func() {
	first := sk.setUpstream(func(up *upstream, on bool) { up.flaky = on })
	second := sk.setUpstream(func(up *upstream, on bool) { up.flaky = on })
	return func() { first(); second() }
}
