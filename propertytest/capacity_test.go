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

// traffic is the messages between instances and their bytes, before gRPC's own.
type traffic struct {
	messages int
	bytes    int
}

func (fl *fleet) count(bytes int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.traffic.messages++
	fl.traffic.bytes += bytes
}

func (fl *fleet) takeTraffic() traffic {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	taken := fl.traffic
	fl.traffic = traffic{}
	return taken
}

// knowing counts the live nodes that hold a member to be in a state.
func (fl *fleet) knowing(id string, state member.Liveness) int {
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

// spread waits until the condition holds on every live node and returns the median and the longest time.
func (fl *fleet) spread(within time.Duration, holds func(nd *node) bool) (median, longest time.Duration) {
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

func (fl *fleet) isDead(nd *node, id string) bool {
	for _, mb := range nd.core.Peer().Members() {
		if mb.ID == id {
			return mb.Liveness == member.Dead
		}
	}
	return false
}

// TestCapacityFigures prints the points behind the slopes of docs/CAPACITY.md.
func TestCapacityFigures(t *testing.T) {
	if !*figures {
		t.Skip("run by make capacity")
	}
	for _, size := range []int{8, 32, 95, 380} {
		withFleet(t, uint64(size), size, func(fl *fleet) {
			time.Sleep(30 * time.Second)
			steadyFigures(t, fl, size)
			documentFigures(t, fl, size)
			killFigures(t, fl, size)
			pauseFigures(t, fl, size)
		})
	}
}

func steadyFigures(t *testing.T, fl *fleet, size int) {
	fl.takeTraffic()
	fl.setTable(func(ft *fakeTable) { ft.reads, ft.commits = 0, 0 })
	began := time.Now()
	time.Sleep(time.Minute)
	seconds := time.Since(began).Seconds() * float64(size)
	taken := fl.takeTraffic()
	memory := runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&memory)
	t.Logf("size %d steady: %.1f messages/s and %.0f bytes/s per instance, table %.1f reads/s %.2f commits/s in all, %.2f MB heap per instance",
		size, float64(taken.messages)/seconds, float64(taken.bytes)/seconds,
		float64(fl.table.reads)/60, float64(fl.table.commits)/60, float64(memory.HeapAlloc)/float64(size)/(1<<20))
}

func documentFigures(t *testing.T, fl *fleet, size int) {
	fl.takeTraffic()
	fl.setTable(func(ft *fakeTable) { ft.reads = 0 })
	revision := fl.change(1)
	median, longest := fl.spread(time.Minute, func(nd *node) bool { return nd.core.Revision() >= revision })
	taken := fl.takeTraffic()
	t.Logf("size %d document, push and fetch: median %v worst %v, %.0f bytes per instance", size, median, longest, float64(taken.bytes)/float64(size))
	fl.setLoss(5)
	revision = fl.change(2)
	median, longest = fl.spread(time.Minute, func(nd *node) bool { return nd.core.Revision() >= revision })
	t.Logf("size %d document, push and fetch, 5%% lost: median %v worst %v", size, median, longest)
	fl.setLoss(100)
	fl.setTable(func(ft *fakeTable) { ft.reads = 0 })
	revision = fl.change(3)
	median, longest = fl.spread(time.Minute, func(nd *node) bool { return nd.core.Revision() >= revision })
	t.Logf("size %d document, polling alone: median %v worst %v, %d table reads until then", size, median, longest, fl.table.reads)
	fl.setLoss(0)
	time.Sleep(3 * time.Minute)
}

func killFigures(t *testing.T, fl *fleet, size int) {
	victim := fl.live()[size/2]
	victim.kill()
	median, longest := fl.spread(time.Minute, func(nd *node) bool { return fl.isDead(nd, victim.id) })
	t.Logf("size %d kill: known dead after median %v worst %v", size, median, longest)
}

// pauseFigures has an instance pause for two seconds again and again while 1% of messages are lost.
func pauseFigures(t *testing.T, fl *fleet, size int) {
	fl.setLoss(1)
	declared := 0
	for round := range 12 {
		paused := fl.live()[round%len(fl.live())]
		paused.freeze()
		time.Sleep(2 * time.Second)
		paused.thaw()
		time.Sleep(3 * time.Second)
		for _, nd := range fl.live() {
			if fl.knowing(nd.id, member.Dead) > 0 {
				declared++
			}
		}
	}
	t.Logf("size %d pauses of 2s and 1%% lost for a minute: %d live members declared dead", size, declared)
}
