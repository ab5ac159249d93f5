package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/roster"
)

// coldSpan is a time in which an upstream is cold, and the calls that reached it.
type coldSpan struct {
	upstream    string
	from, until time.Time
	// says is set if its answers state the remaining cold time; firstSaid is when the first one did.
	says      bool
	firstSaid time.Time
	calls     []limitedCall
}

const (
	// coldRate is the rate of cold upstreams; one may get coldOverage times that and coldSlack calls more in any second.
	coldRate    = 9.2
	coldOverage = 1.5
	coldSlack   = 5
	coldTime    = 3 * time.Second
)

// startCold makes an upstream cold that starts now.
func (up *upstream) startCold(length time.Duration) {
	if length > 0 {
		up.WarmAt = time.Now().Add(length)
		up.cold = &coldSpan{upstream: up.ID, from: time.Now(), until: up.WarmAt}
	}
}

// record records a call; the caller holds the lock of the upstreams.
func (cs *coldSpan) record(nd *node) {
	if cs != nil {
		cs.calls = append(cs.calls, limitedCall{at: time.Now(), from: nd})
	}
}

// say adds to an answer how long the upstream still is cold.
func (cs *coldSpan) say(seen *notice.Notice) {
	if cs == nil || !cs.says {
		return
	}
	if cs.firstSaid.IsZero() {
		cs.firstSaid = time.Now()
	}
	seen.Cold = &notice.Cold{Left: max(time.Until(cs.until), 0)}
}

// recordOtherCall records a call that is neither a request nor one with items, unless another incarnation was meant.
func (us *upstreamSet) recordOtherCall(nd *node, up *upstream, target *roster.Upstream) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if up.StartUnixMs == target.StartUnixMs {
		up.cold.record(nd)
	}
}

// times returns the times of the calls from one time to another.
func (cs *coldSpan) times(from, until time.Time) []time.Time {
	list := []time.Time{}
	for _, each := range cs.calls {
		if !each.at.Before(from) && each.at.Before(until) {
			list = append(list, each.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// most returns the largest number of calls in a second from one time to another.
func (cs *coldSpan) most(from, until time.Time) int {
	list := cs.times(from, until)
	largest, first := 0, 0
	for last, at := range list {
		for at.Sub(list[first]) >= time.Second {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// use returns the part of the rate that was used from the first call from a time on until another one.
func (cs *coldSpan) use(from, until time.Time) float64 {
	list := cs.times(from, until)
	if len(list) == 0 {
		return 0
	}
	return float64(len(list)) / (coldRate * until.Sub(list[0]).Seconds())
}

// coldRun is a run in which upstreams are cold.
type coldRun struct {
	*limitRun
	spans []*coldSpan
	// coldFor is how long they are cold.
	coldFor time.Duration
}

// newColdRun returns a run in which count upstreams of a pool start anew at once.
func newColdRun(instances, upstreams, count int) *coldRun {
	cr := &coldRun{limitRun: newLimitRun(), coldFor: coldTime}
	cr.instances, cr.upstreams, cr.limited, cr.length, cr.countsFrom = instances, upstreams, count, coldTime+time.Second, time.Second
	cr.prepare = func(lr *limitRun) { lr.soak.coldPerSecond = coldRate }
	cr.begin = func(lr *limitRun) {
		us := lr.soak.fleet.upstreams
		us.mu.Lock()
		us.coldFor = cr.coldFor
		us.mu.Unlock()
		for number := range lr.limited {
			id := lr.limitedID(number)
			us.mu.Lock()
			up := us.byID[id]
			us.mu.Unlock()
			us.register(id, up.Pool, up.FailureDomain)
			us.mu.Lock()
			cr.spans = append(cr.spans, us.byID[id].cold)
			us.mu.Unlock()
		}
	}
	return cr
}

// assertColdIsKept plays a run and checks that no cold upstream got more than it accepts, and that at least a share of the rate was used.
func assertColdIsKept(t *testing.T, cr *coldRun, leastUse float64) {
	t.Helper()
	began := time.Now()
	cr.play(t)
	most, use := 0, 1.0
	for _, span := range cr.spans {
		from := span.from
		if span.says {
			from = span.firstSaid.Add(newsDelay)
		}
		most = max(most, span.most(from, span.until))
		use = min(use, span.use(from, span.until))
	}
	t.Logf("answered %d, refused %d, failed %d; slowest refusal after %v; at most %d calls in a second at a cold upstream, %.2f of the rate used at least; %v of real time",
		cr.answered, cr.refused, cr.failed, cr.slowest, most, use, time.Since(began).Round(100*time.Millisecond))
	must.LessEq(t, coldRate*coldOverage+coldSlack, float64(most), must.Sprint("calls in a second"))
	must.GreaterEq(t, leastUse, use, must.Sprint("part of the rate that was used"))
	must.Zero(t, cr.withoutTime, must.Sprint("refusals without a time to retry"))
	must.SliceEmpty(t, cr.soak.violations)
	must.SliceEmpty(t, cr.soak.fleet.upstreams.violations)
}

// newsDelay is how long after its first answer with a cold time all instances know of it.
const newsDelay = 1500 * time.Millisecond

// TestColdUpstreamsBesideWarmOnes guards against instances that each send an upstream which has just started what they would send a warm
// one.
func TestColdUpstreamsBesideWarmOnes(t *testing.T) {
	for _, instances := range []int{8, 18, 85} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			cr := newColdRun(instances, 40, 10)
			cr.every, cr.atOnce = 10*time.Millisecond, 12
			assertColdIsKept(t, cr, 0.8)
			must.GreaterEq(t, 0.99*float64(cr.answered+cr.refused+cr.failed), float64(cr.answered), must.Sprint("answered requests"))
		})
	}
}

// TestAllUpstreamsOfAPoolCold guards against requests that are held, or sent, while all upstreams of their pool are cold, against
// refusals without a time, and against urgent requests that get less than others.
func TestAllUpstreamsOfAPoolCold(t *testing.T) {
	for _, instances := range []int{8, 18, 85} {
		for path, pool := range map[string]string{"/stream/": "model", "/once/": "plain"} {
			t.Run(fmt.Sprint(path, " at ", instances, " instances"), func(t *testing.T) {
				t.Parallel()
				cr := newColdRun(instances, 9, 9)
				cr.path, cr.pool = path, pool
				if pool == "plain" {
					cr.limited = 4
				}
				cr.every, cr.atOnce, cr.coldFor, cr.length = 10*time.Millisecond, 3, 6*time.Second, 6*time.Second
				cr.setRanks(map[string]int{organisationName(0): 0, organisationName(1): 2})
				assertColdIsKept(t, cr, 0.7)
				must.Positive(t, cr.refused)
				urgent, other := cr.answeredShare(0), cr.answeredShare(1)
				t.Logf("%.2f of the urgent requests were answered, %.2f of the others", urgent, other)
				must.GreaterEq(t, 1.2*other, urgent)
				must.LessEq(t, slowestRefusal, cr.slowest)
			})
		}
	}
}

// setRanks gives two organisations ranks of their own, and each of them half of the requests.
func (cr *coldRun) setRanks(ranks map[string]int) {
	before := cr.prepare
	cr.prepare = func(lr *limitRun) {
		before(lr)
		lr.soak.ranks, lr.soak.keyHolders = ranks, []string{organisationName(0), organisationName(1)}
	}
	cr.key = func(number int) string { return organisationName(number % 2) }
}

// answeredShare returns the share of an organisation's requests that were answered.
func (cr *coldRun) answeredShare(number int) float64 {
	return float64(cr.answeredOf[organisationName(number)]) / float64(cr.sentOf[organisationName(number)])
}

// TestUpstreamsThatAreColdAgain guards against too many requests to upstreams that become cold without a new registration: only their answers
// say so, each to one instance.
func TestUpstreamsThatAreColdAgain(t *testing.T) {
	for _, instances := range []int{8, 18, 85} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			cr := newColdRun(instances, 40, 10)
			cr.every, cr.atOnce, cr.length = 10*time.Millisecond, 12, 7*time.Second
			cr.begin = func(lr *limitRun) {
				us := lr.soak.fleet.upstreams
				us.mu.Lock()
				defer us.mu.Unlock()
				for number := range lr.limited {
					up := us.byID[lr.limitedID(number)]
					up.cold = &coldSpan{upstream: up.ID, from: time.Now(), until: time.Now().Add(6 * time.Second), says: true}
					cr.spans = append(cr.spans, up.cold)
				}
			}
			assertColdIsKept(t, cr, 0.8)
		})
	}
}

// TestColdUpstreamsOfAStage guards against batches and frees that exceed the rate of cold stage upstreams.
func TestColdUpstreamsOfAStage(t *testing.T) {
	for _, count := range []int{2, 4} {
		t.Run(fmt.Sprint(count, " of 4"), func(t *testing.T) {
			t.Parallel()
			cr := newColdRun(8, 9, count)
			cr.path, cr.pool = "/draft/", "encode"
			assertColdIsKept(t, cr, 0)
		})
	}
}

// TestColdUpstreamsDuringFaults guards against permits of two owners at a time.
func TestColdUpstreamsDuringFaults(t *testing.T) {
	cases := map[string]func(lr *limitRun, elapsed time.Duration){
		"restarts": func(lr *limitRun, elapsed time.Duration) {
			if elapsed%time.Second == 0 {
				lr.soak.restartOne()
			}
		},
		"a kill": func(lr *limitRun, elapsed time.Duration) {
			if elapsed == 2*time.Second {
				lr.soak.fleet.kill(lr.soak.randomNode())
			}
		},
		"frozen instances": func(lr *limitRun, elapsed time.Duration) {
			if elapsed%(3*time.Second) == 0 {
				lr.soak.fleet.freeze(lr.soak.randomNode(), 2500*time.Millisecond)
			}
		},
		"an instance that is cut off": func(lr *limitRun, elapsed time.Duration) {
			lr.soak.cutOff(elapsed, 2*time.Second, 6*time.Second)
		},
		"a split": func(lr *limitRun, elapsed time.Duration) { lr.soak.split(elapsed, 2*time.Second, 8*time.Second) },
	}
	for name, during := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cr := newColdRun(8, 40, 10)
			cr.every, cr.atOnce, cr.coldFor, cr.length = 10*time.Millisecond, 8, 10*time.Second, 10*time.Second
			cr.during = during
			assertColdIsKept(t, cr, 0.3)
		})
	}
}
