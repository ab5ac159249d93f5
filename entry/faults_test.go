package entry_test

import "time"

// startFault begins a random fault that lasts for some steps.
func (sk *soak) startFault() {
	all := []struct {
		name  string
		start func() func()
	}{
		{"StoreDown", sk.storeDown},
		{"StoreDownLapse", sk.storeDownLapse},
		{"StoreSlow", sk.storeSlow},
		{"StoreForgets", sk.storeForgets},
		{"StoreDownForSome", sk.storeDownForSome},
		{"StoreSilentForOne", sk.storeSilentForOne},
		{"InstanceCut", sk.instanceCut},
		{"InstanceKilled", sk.instanceKilled},
		{"UpstreamCrash", sk.upstreamCrash},
		{"UpstreamHangs", sk.upstreamHangs},
		{"UpstreamGrey", sk.upstreamGrey},
	}
	chosen := all[sk.chance.IntN(len(all))]
	for _, fault := range sk.active {
		if fault.name[:5] == chosen.name[:5] {
			return
		}
	}
	sk.faults[chosen.name]++
	sk.active = append(sk.active, &activeFault{name: chosen.name, steps: 20 + sk.chance.IntN(120), end: chosen.start()})
}

func (sk *soak) storeDown() func() {
	sk.fleet.store.set(true, 0)
	return func() { sk.fleet.store.set(false, 0) }
}

// storeDownLapse takes the store away for so long that registrations lapse; upstreams that live register again.
func (sk *soak) storeDownLapse() func() {
	sk.fleet.store.set(true, 0)
	return func() {
		wd := sk.fleet.world
		wd.mu.Lock()
		lapsed := []*upstream{}
		for _, up := range wd.upstreams {
			if !up.crashed && up.leftAt.IsZero() {
				lapsed = append(lapsed, up)
			}
		}
		wd.mu.Unlock()
		for _, up := range lapsed {
			sk.fleet.store.put(registrations, removal(up))
		}
		sk.fleet.store.set(false, 0)
		for _, up := range lapsed {
			after := sk.chance.DurationUpTo(1500 * time.Millisecond)
			sk.group.Go(func() {
				time.Sleep(after)
				wd.mu.Lock()
				still := !up.crashed && up.leftAt.IsZero() && wd.upstreams[up.ID] == up
				wd.mu.Unlock()
				if still {
					sk.fleet.store.put(registrations, entered(up))
				}
			})
		}
	}
}

func (sk *soak) storeSlow() func() {
	sk.fleet.store.set(false, 200*time.Millisecond)
	return func() { sk.fleet.store.set(false, 0) }
}

func (sk *soak) storeForgets() func() {
	sk.fleet.store.forget()
	return func() {}
}

// storeDownForSome turns a third of the instances away from the store.
func (sk *soak) storeDownForSome() func() {
	nodes := sk.fleet.live()
	chosen := nodes[:len(nodes)/3]
	for _, nd := range chosen {
		nd.cutFromStore.Store(true)
	}
	return func() {
		for _, nd := range chosen {
			nd.cutFromStore.Store(false)
		}
	}
}

func (sk *soak) randomNode() *node {
	nodes := sk.fleet.live()
	return nodes[sk.chance.IntN(len(nodes))]
}

func (sk *soak) storeSilentForOne() func() {
	nd := sk.randomNode()
	nd.silentStore.Store(true)
	return func() { nd.silentStore.Store(false) }
}

func (sk *soak) instanceCut() func() {
	nd := sk.randomNode()
	sk.severed = true
	nd.cutFromStore.Store(true)
	nd.cut.Store(true)
	return func() {
		nd.touchedAt.Store(time.Now().UnixNano())
		nd.cut.Store(false)
		nd.cutFromStore.Store(false)
	}
}

func (sk *soak) instanceKilled() func() {
	nd := sk.randomNode()
	sk.fleet.kill(nd)
	return func() { sk.fleet.restart(nd, sk.variant) }
}

func (sk *soak) upstreamCrash() func() {
	up := sk.fleet.world.pick()
	if up == nil {
		return func() {}
	}
	sk.fleet.world.crash(up)
	return func() {}
}

// setUpstream changes a random upstream until the fault ends.
func (sk *soak) setUpstream(set func(up *upstream, on bool)) func() {
	up := sk.fleet.world.pick()
	if up == nil {
		return func() {}
	}
	change := func(on bool) {
		sk.fleet.world.mu.Lock()
		defer sk.fleet.world.mu.Unlock()
		set(up, on)
	}
	change(true)
	return func() { change(false) }
}

func (sk *soak) upstreamHangs() func() {
	return sk.setUpstream(func(up *upstream, on bool) { up.hangs = on })
}

func (sk *soak) upstreamGrey() func() {
	first := sk.setUpstream(func(up *upstream, on bool) { up.grey = on })
	second := sk.setUpstream(func(up *upstream, on bool) { up.grey = on })
	return func() { first(); second() }
}
