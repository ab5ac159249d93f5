package entry_test

import (
	"fmt"
	"time"
)

// orderCases are the circumstances in which streams break.
var orderCases = map[string]func(or *orderRun){
	"upstreams crash beside other versions": func(*orderRun) {},
	"in a fleet of seventy-seven instances": func(or *orderRun) {
		or.instances, or.upstreams, or.every, or.atOnce, or.crashEvery, or.length = 77, 40, 10*time.Millisecond, 3, 200*time.Millisecond, 8*time.Second
		or.during = func(or *orderRun, elapsed time.Duration) { or.killEvery(elapsed, 300*time.Millisecond) }
	},
	"instances are killed": func(or *orderRun) {
		or.during = func(or *orderRun, elapsed time.Duration) { or.killEvery(elapsed, 700*time.Millisecond) }
	},
	"instances are killed beside one version": func(or *orderRun) {
		or.version = func(int) string { return "v1" }
		or.during = func(or *orderRun, elapsed time.Duration) { or.killEvery(elapsed, 700*time.Millisecond) }
	},
	"many instances are killed at once": func(or *orderRun) {
		or.during = func(or *orderRun, elapsed time.Duration) { or.killMany(elapsed, 5*time.Second) }
	},
	"all instances are killed at once": func(or *orderRun) {
		or.during = func(or *orderRun, elapsed time.Duration) {
			if elapsed == 5*time.Second {
				or.soak.restartAll()
			}
		}
		or.noShare = true
	},
	"all instances are killed at once during a wave of versions": func(or *orderRun) { or.killAllInAWave() },
	"all of seventy-seven instances are killed at once during a wave of versions": func(or *orderRun) {
		or.instances, or.upstreams, or.atOnce, or.length = 77, 20, 2, 12*time.Second
		or.killAllInAWave()
	},
	"answers break before and after their first event at fast upstreams": func(or *orderRun) {
		or.prepare = func(us *upstreamSet) { us.isFast, us.breaksAnswers = true, true }
		or.every, or.atOnce, or.crashEvery = 10*time.Millisecond, 4, 0
	},
	"instances are frozen": func(or *orderRun) {
		or.during = func(or *orderRun, elapsed time.Duration) {
			if elapsed%(2*time.Second) == 0 {
				or.soak.fleet.freeze(or.soak.randomNode(), 1500*time.Millisecond)
			}
		}
	},
	"an instance is cut off": func(or *orderRun) {
		or.during = func(or *orderRun, elapsed time.Duration) { or.soak.cutOff(elapsed, 4*time.Second, 10*time.Second) }
	},
	"half of the instances are cut off from the others": func(or *orderRun) {
		or.during = func(or *orderRun, elapsed time.Duration) { or.soak.split(elapsed, 4*time.Second, 12*time.Second) }
		or.noShare = true
	},
	"in a rolling wave": func(or *orderRun) {
		or.version = func(int) string { return "v1" }
		or.during = func(or *orderRun, elapsed time.Duration) {
			or.killEvery(elapsed, 900*time.Millisecond)
			or.replaceEvery(elapsed, 1500*time.Millisecond)
		}
	},
	"in a wave that ends with the last of a version": func(or *orderRun) {
		or.version = func(int) string { return "v1" }
		or.during = func(or *orderRun, elapsed time.Duration) { or.replaceEvery(elapsed, 300*time.Millisecond) }
		or.noShare = true
	},
	"upstreams are started anew under their id at another version": func(or *orderRun) {
		or.prepare = func(us *upstreamSet) { us.knowsOnlyIDs = true }
		or.during = func(or *orderRun, _ time.Duration) { or.upgradeCrashed() }
		or.noShare = true
	},
	"upstreams are started anew under their id at another version, and register late": func(or *orderRun) {
		or.prepare = func(us *upstreamSet) { us.knowsOnlyIDs, us.registerDelay = true, 2500*time.Millisecond }
		or.during = func(or *orderRun, _ time.Duration) { or.upgradeCrashed() }
		or.noShare = true
	},
	"while the store is away": func(or *orderRun) {
		or.prepare = func(us *upstreamSet) { us.knowsOnlyIDs = true }
		or.during = func(or *orderRun, elapsed time.Duration) {
			or.upgradeCrashed()
			if elapsed == 4*time.Second {
				or.soak.fleet.store.setState(true, 0)
			}
			if elapsed == 12*time.Second {
				or.soak.fleet.store.setState(false, 0)
			}
		}
		or.noShare = true
	},
}

// killEvery kills a random instance at an interval and starts it anew.
func (or *orderRun) killEvery(elapsed, interval time.Duration) {
	if elapsed > 0 && elapsed%interval == 0 {
		or.soak.restartOne()
	}
}

// killMany kills three of five instances at a time of the run and starts them anew.
func (or *orderRun) killMany(elapsed, at time.Duration) {
	if elapsed != at {
		return
	}
	for number, nd := range or.soak.fleet.live() {
		if number%5 < 3 {
			or.soak.fleet.kill(nd)
			or.soak.fleet.restart(nd, defects{})
		}
	}
}

// killAllInAWave changes a run so that all instances are killed at once, again and again, while each version replaces the one before:
// once while both serve, once just after the last of the old one has left. Answers break often, so that many streams are taken up.
func (or *orderRun) killAllInAWave() {
	or.version = func(int) string { return "v1" }
	or.prepare = func(us *upstreamSet) { us.breaksAnswers = true }
	or.every, or.crashEvery, or.noShare, or.startsFirst, or.returnAfter = 10*time.Millisecond, 0, true, true, time.Second
	or.during = func(or *orderRun, elapsed time.Duration) {
		const wave = 4 * time.Second
		number, phase := int(elapsed/wave), elapsed%wave
		us := or.soak.fleet.upstreams
		switch phase {
		case 500 * time.Millisecond:
			for at := range or.upstreams {
				us.start(100*(number+1)+at, fmt.Sprint("v", number+2))
			}
		case time.Second, 2200 * time.Millisecond:
			or.soak.restartAll()
		case 2 * time.Second:
			for at := range or.upstreams {
				us.mu.Lock()
				up := us.byID[modelID(100*number+at)]
				us.mu.Unlock()
				us.leave(up, true)
			}
		}
	}
}

// replaceEvery starts an upstream of the next version at an interval, and has one of the first version leave.
func (or *orderRun) replaceEvery(elapsed, interval time.Duration) {
	number := int(elapsed/interval) - 1
	if elapsed == 0 || elapsed%interval != 0 || number >= or.upstreams {
		return
	}
	us := or.soak.fleet.upstreams
	us.start(100+number, "v2")
	us.mu.Lock()
	up := us.byID[modelID(number)]
	us.mu.Unlock()
	us.leave(up, true)
}

// upgradeCrashed gives the upstreams that have crashed the next version, with which they will start anew.
func (or *orderRun) upgradeCrashed() {
	us := or.soak.fleet.upstreams
	us.mu.Lock()
	defer us.mu.Unlock()
	for id, up := range us.byID {
		if up.Pool == "model" && up.crashed && us.versions[id] == up.SoftwareVersion {
			us.versions[id] = nextVersion(up.SoftwareVersion)
		}
	}
}

func nextVersion(version string) string {
	number := 0
	_, _ = fmt.Sscanf(version, "v%d", &number)
	return fmt.Sprint("v", 1+number%3)
}
