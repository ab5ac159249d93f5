package propertytest

import (
	"flag"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
)

var figures = flag.Bool("figures", false, "measure membership and documents at several sizes, for docs/CAPACITY.md")

// traffic counts messages between instances and their bytes, without gRPC framing.
type traffic struct {
	messages int
	bytes    int
}

func (fl *fleet) countMessage(bytes int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.traffic.messages++
	fl.traffic.bytes += bytes
}

func (fl *fleet) resetTraffic() traffic {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	taken := fl.traffic
	fl.traffic = traffic{}
	return taken
}

// countNodesWithState returns the number of live nodes that consider a member to be in a state.
func (fl *fleet) countNodesWithState(id string, state member.Liveness) int {
	total := 0
	for _, nd := range fl.live() {
		for _, mb := range nd.core.Peer().Members() {
			if mb.ID == id && mb.Liveness == state {
				total++
			}
		}
	}
	return total
}

// measurePropagation waits until the condition holds on every live node and returns the median and the longest time, or
// the limit within as the longest time if it is exceeded.
func (fl *fleet) measurePropagation(within time.Duration, holds func(nd *node) bool) (median, longest time.Duration) {
	began := time.Now()
	times := []time.Duration{}
	seen := map[string]bool{}
	nodes := fl.live()
	for len(times) < len(nodes) && time.Since(began) < within {
		for _, nd := range nodes {
			if !seen[nd.id] && holds(nd) {
				seen[nd.id] = true
				times = append(times, time.Since(began))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(times) < len(nodes) {
		return 0, within
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

func (fl *fleet) considersDead(nd *node, id string) bool {
	for _, mb := range nd.core.Peer().Members() {
		if mb.ID == id {
			return mb.Liveness == member.Dead
		}
	}
	return false
}

// TestCapacityFigures prints the measurements from which docs/CAPACITY.md derives its slopes.
func TestCapacityFigures(t *testing.T) {
	if !*figures {
		t.Skip("run by make capacity")
	}
	for _, size := range []int{8, 32, 95, 380} {
		withFleet(t, uint64(size), size, func(fl *fleet) {
			time.Sleep(30 * time.Second)
			measureSteadyState(t, fl, size)
			measureDocumentPropagation(t, fl, size)
			measureKillDetection(t, fl, size)
			measurePauses(t, fl, size)
		})
	}
}

func measureSteadyState(t *testing.T, fl *fleet, size int) {
	fl.resetTraffic()
	fl.setTable(func(ft *fakeTable) { ft.reads, ft.commits = 0, 0 })
	began := time.Now()
	time.Sleep(time.Minute)
	seconds := time.Since(began).Seconds() * float64(size)
	taken := fl.resetTraffic()
	memory := runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&memory)
	t.Logf("size %d steady: %.1f messages/s and %.0f bytes/s per instance, table %.1f reads/s %.2f commits/s in all, %.2f MB heap per instance",
		size, float64(taken.messages)/seconds, float64(taken.bytes)/seconds,
		float64(fl.table.reads)/60, float64(fl.table.commits)/60, float64(memory.HeapAlloc)/float64(size)/(1<<20))
}

func measureDocumentPropagation(t *testing.T, fl *fleet, size int) {
	fl.resetTraffic()
	fl.setTable(func(ft *fakeTable) { ft.reads = 0 })
	revision := fl.acceptEdit(1)
	median, longest := fl.measurePropagation(time.Minute, func(nd *node) bool { return nd.core.Revision() >= revision })
	taken := fl.resetTraffic()
	t.Logf("size %d document, push and fetch: median %v worst %v, %.0f bytes per instance", size, median, longest, float64(taken.bytes)/float64(size))
	fl.setLoss(5)
	revision = fl.acceptEdit(2)
	median, longest = fl.measurePropagation(time.Minute, func(nd *node) bool { return nd.core.Revision() >= revision })
	t.Logf("size %d document, push and fetch, 5%% lost: median %v worst %v", size, median, longest)
	fl.setLoss(100)
	fl.setTable(func(ft *fakeTable) { ft.reads = 0 })
	revision = fl.acceptEdit(3)
	median, longest = fl.measurePropagation(time.Minute, func(nd *node) bool { return nd.core.Revision() >= revision })
	t.Logf("size %d document, polling alone: median %v worst %v, %d table reads until then", size, median, longest, fl.table.reads)
	fl.setLoss(0)
	time.Sleep(3 * time.Minute)
}

func measureKillDetection(t *testing.T, fl *fleet, size int) {
	victim := fl.live()[size/2]
	victim.kill()
	median, longest := fl.measurePropagation(time.Minute, func(nd *node) bool { return fl.considersDead(nd, victim.id) })
	t.Logf("size %d kill: known dead after median %v worst %v", size, median, longest)
}

// measurePauses pauses one instance after another for two seconds while 1% of the messages are lost, and counts the live
// members that are declared dead.
func measurePauses(t *testing.T, fl *fleet, size int) {
	fl.setLoss(1)
	declared := 0
	for round := range 12 {
		paused := fl.live()[round%len(fl.live())]
		paused.freeze()
		time.Sleep(2 * time.Second)
		paused.thaw()
		time.Sleep(3 * time.Second)
		for _, nd := range fl.live() {
			if fl.countNodesWithState(nd.id, member.Dead) > 0 {
				declared++
			}
		}
	}
	t.Logf("size %d pauses of 2s and 1%% lost for a minute: %d live members declared dead", size, declared)
}
