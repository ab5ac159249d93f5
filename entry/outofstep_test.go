package entry_test

import (
	"testing"
	"time"
)

const (
	// outOfStepAt is when an instance gets out of step, joinAt when upstreams of a version join that it does not know, and
	// backInStepAt when it is back.
	outOfStepAt  = 2 * time.Second
	joinAt       = outOfStepAt + 100*time.Millisecond
	backInStepAt = outOfStepAt + 3*time.Second
	// knownVersionsAge is how long an instance runs until it knows all versions that streams can have.
	knownVersionsAge = 40 * time.Second
)

// outOfStepCases are the ways in which an instance is out of step while a version joins.
var outOfStepCases = map[string]func(nd *node, isOut bool){
	"cut off": func(nd *node, isOut bool) {
		nd.partitioned.Store(isOut)
		nd.storeUnreachable.Store(isOut)
	},
	"cut off from the other instances": func(nd *node, isOut bool) { nd.partitioned.Store(isOut) },
	"cut off from the others while the store does not answer it": func(nd *node, isOut bool) {
		nd.partitioned.Store(isOut)
		nd.storeHangs.Store(isOut)
	},
	"frozen": func(nd *node, isOut bool) { nd.frozen.Store(isOut) },
}

// firstNode is the instance that is out of step.
func firstNode(or *orderRun) *node { return or.soak.fleet.nodeAt("i0") }

// playOutOfStep changes a run so that upstreams of a second version join while an instance is out of step. All streams that break
// began at them; every second one is taken up at that instance.
func playOutOfStep(or *orderRun, set func(nd *node, isOut bool)) {
	or.version = func(int) string { return "v1" }
	or.every, or.atOnce, or.crashEvery, or.length, or.warmUp = 10*time.Millisecond, 4, 0, 7*time.Second, knownVersionsAge
	or.prepare = func(us *upstreamSet) { us.isFast, us.breaksAnswers = true, true }
	or.takesUpAt = firstNode
	or.during = func(or *orderRun, elapsed time.Duration) {
		switch {
		case elapsed == outOfStepAt:
			set(firstNode(or), true)
		case elapsed == joinAt:
			for number := range or.upstreams {
				or.soak.fleet.upstreams.start(100+number, "v2")
			}
		case elapsed == backInStepAt:
			firstNode(or).connectedAt.Store(time.Now().UnixNano())
			set(firstNode(or), false)
		}
	}
}

// TestInstanceOutOfStepContinuesAtAnotherVersion guards against an instance that has missed a version, and takes a stream that
// began there for one of the only version that it knows.
func TestInstanceOutOfStepContinuesAtAnotherVersion(t *testing.T) {
	sizes := map[string]func(or *orderRun){
		"among eight": func(*orderRun) {},
		"among seventy-seven": func(or *orderRun) {
			or.instances, or.upstreams, or.atOnce = 77, 20, 2
		},
	}
	for name, set := range outOfStepCases {
		for size, change := range sizes {
			t.Run(name+" "+size, func(t *testing.T) {
				t.Parallel()
				or := newOrderRun()
				change(or)
				playOutOfStep(or, set)
				assertStreamsKeepTheirVersion(t, or)
			})
		}
	}
}
