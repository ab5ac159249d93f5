package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/requestbody"
)

// limitRun sends requests to a fleet whose upstreams announce rate limits.
type limitRun struct {
	soak *soak
	// instances and upstreams are the sizes of the fleet and of the pool, limited is how many upstreams announce a limit.
	instances, upstreams, limited int
	perSecond                     float64
	// every is the interval of the requests, of which atOnce are sent at a time, path the beginning of their paths.
	every  time.Duration
	atOnce int
	path   string
	// pool is the pool of the limited upstreams.
	pool string
	// begin replaces the beginning of the limits; countsFrom is when the outcomes are counted from.
	begin      func(lr *limitRun)
	countsFrom time.Duration
	// length is how long the limits last, variant is how the fleet violates them, and prepare is called before the configuration.
	length  time.Duration
	variant defects
	prepare func(lr *limitRun)
	// key returns the holder of the key of a request, by its number.
	key func(number int) string
	// during is called each 100 ms with the time since the limits began.
	during func(lr *limitRun, elapsed time.Duration)
	// leastUse is the least part of the last limit that must be used.
	leastUse float64

	sent  int
	ended time.Time
	// answered, refused and failed count the requests that were sent from settleBound after the limits began on. slowest is
	// the time until the slowest refusal, earliest the least time after which a refused caller is asked to come back.
	answered, refused, failed int
	slowest                   time.Duration
	// slow counts the refusals that took longer than slowestRefusal, withoutTime those without such a time.
	slow, withoutTime int
	// answeredOf and sentOf count the counted requests by the holder of their key.
	answeredOf, sentOf map[string]int
}

const (
	limitTime = 16 * time.Second
	// settleBound is when the shares of a run are counted from.
	settleBound = 6 * time.Second
	// sessionsPerUpstream is the number of sessions for each upstream of the pool.
	sessionsPerUpstream = 10
	limitSeed           = 11
)

func newLimitRun() *limitRun {
	return &limitRun{
		instances: 8, upstreams: 9, limited: 2, perSecond: 1, every: 20 * time.Millisecond, atOnce: 1, path: "/stream/", pool: "model", leastUse: 0.5, countsFrom: settleBound,
		length: limitTime, key: func(int) string { return organisationName(0) }, answeredOf: map[string]int{}, sentOf: map[string]int{},
	}
}

// limitedID returns the id of a limited upstream by its number.
func (lr *limitRun) limitedID(number int) string { return fmt.Sprint(lr.pool, "-", number) }

// setAll sets the limit of all limited upstreams.
func (lr *limitRun) setAll(perSecond float64) {
	for number := range lr.limited {
		lr.soak.fleet.upstreams.setLimit(lr.limitedID(number), perSecond)
	}
}

// play runs the fleet: without limits, then with them for limitTime.
func (lr *limitRun) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleetOf(lr.instances, max(*soakSeed, limitSeed), lr.variant)
		lr.soak = &soak{fleet: fl, random: fl.random.Fork("limits"), outcomes: map[string]int{}, faults: map[string]int{}, lastOutcome: map[string]string{}, keyHolders: []string{organisationName(0)}}
		for at := 4; at < lr.upstreams; at++ {
			fl.upstreams.register(fmt.Sprintf("model-%d", at), "model", domains[at%len(domains)])
		}
		if lr.prepare != nil {
			lr.prepare(lr)
		}
		lr.soak.configure()
		time.Sleep(convergenceTime + time.Second)
		lr.sendFor(2*time.Second, false)
		if lr.begin == nil {
			lr.setAll(lr.perSecond)
		} else {
			lr.begin(lr)
		}
		lr.sendFor(lr.length, true)
		lr.soak.group.Wait()
		fl.stop()
		lr.ended = time.Now()
	})
}

func (lr *limitRun) sendFor(length time.Duration, limited bool) {
	began := time.Now()
	for elapsed := time.Duration(0); elapsed < length; elapsed = time.Since(began) {
		if elapsed%lr.every == 0 {
			for range lr.atOnce {
				lr.send(limited && elapsed >= lr.countsFrom)
			}
		}
		if limited && lr.during != nil && elapsed > 0 && elapsed%(100*time.Millisecond) == 0 {
			lr.during(lr, elapsed)
		}
		time.Sleep(tick)
	}
}

// send sends a request to a random instance.
func (lr *limitRun) send(counted bool) {
	lr.sent++
	nodes := lr.soak.fleet.live()
	nd := nodes[lr.soak.random.IntN(len(nodes))]
	id := fmt.Sprint("l", lr.sent)
	holder := lr.key(lr.sent)
	request := &gateway.Request{
		ID: id, Method: "POST", Host: "h", Path: lr.path + id, APIKey: "key-" + holder, Body: requestbody.Of([]byte(id)),
		Arrived: time.Now(), CallerTimeout: requestTimeout, ItemCounts: []int{2, 1}, ItemKey: id,
		Prompt: promptOf("first", fmt.Sprint("session-", lr.soak.random.IntN(sessionsPerUpstream*lr.upstreams)), "own-"+id),
	}
	lr.soak.group.Go(func() {
		outcome := lr.soak.serve(context.Background(), nd, request)
		if counted && !nd.dead.Load() {
			lr.count(outcome, holder, time.Since(request.Arrived))
		}
	})
}

// count counts the outcome of a request.
func (lr *limitRun) count(outcome gateway.Outcome, holder string, took time.Duration) {
	lr.soak.mu.Lock()
	defer lr.soak.mu.Unlock()
	lr.sentOf[holder]++
	switch outcome := outcome.(type) {
	case gateway.Answered:
		lr.answered++
		lr.answeredOf[holder]++
	case gateway.Refused:
		lr.refused++
		lr.slowest = max(lr.slowest, took)
		if took > slowestRefusal {
			lr.slow++
		}
		if outcome.RetryAfter <= 0 {
			lr.withoutTime++
		}
	default:
		lr.failed++
	}
}

// limits returns what the limited upstreams announced and received.
func (lr *limitRun) limits() []*rateLimit { return lr.soak.fleet.upstreams.limits }

// assertLimitsAreKept plays a run and checks that no upstream received more calls than its limit allows.
func assertLimitsAreKept(t *testing.T, lr *limitRun) {
	t.Helper()
	lr.play(t)
	t.Logf("answered %d, refused %d, failed %d; slowest refusal after %v, %d slow", lr.answered, lr.refused, lr.failed, lr.slowest, lr.slow)
	for _, limit := range lr.limits() {
		assertLimitIsKept(t, limit)
		t.Logf("%s used %.2f of its limit", limit.upstream, limit.use(lr.ended))
		if lr.leastUse > 0 {
			must.GreaterEq(t, lr.leastUse, limit.use(lr.ended), must.Sprintf("part of the limit of %s that was used", limit.upstream))
		}
	}
	must.SliceEmpty(t, lr.soak.violations)
	must.SliceEmpty(t, lr.soak.fleet.upstreams.violations)
}

// assertLimitIsKept checks that an upstream received no more calls than its limit allows.
func assertLimitIsKept(t *testing.T, limit *rateLimit) {
	t.Helper()
	excess, most := limit.worst(false)
	informedExcess, informedMost := limit.worst(true)
	t.Logf("%s: %d calls in the worst %v, %.1f more than allowed; %d of instances that it had informed", limit.upstream, most, limitWindow, excess, informedMost)
	must.LessEq(t, 0, informedExcess, must.Sprint("calls of instances that the upstream had informed of its limit"))
	must.LessEq(t, 0, excess, must.Sprint("calls of all instances"))
}

// limitCases are the circumstances in which upstreams announce limits.
var limitCases = map[string]func(lr *limitRun){
	"of eight instances": func(*limitRun) {},
	"of seventy-seven instances": func(lr *limitRun) {
		lr.instances, lr.upstreams, lr.limited, lr.every, lr.atOnce = 77, 40, 4, 10*time.Millisecond, 4
	},
	"of a fraction": func(lr *limitRun) { lr.perSecond = 0.4 },
	"of ten a second": func(lr *limitRun) {
		lr.perSecond, lr.every, lr.atOnce = 10, 10*time.Millisecond, 3
	},
	"of ten a second for seventy-seven instances": func(lr *limitRun) {
		lr.instances, lr.upstreams, lr.limited, lr.every, lr.atOnce, lr.perSecond = 77, 20, 4, 10*time.Millisecond, 5, 10
	},
	"of all upstreams": func(lr *limitRun) { lr.limited, lr.perSecond = 9, 2 },
	"of an upstream that breaks off": func(lr *limitRun) {
		lr.during = func(lr *limitRun, elapsed time.Duration) {
			lr.setFlaky(elapsed >= time.Second)
		}
		lr.leastUse = 0
	},
	"beside values that are no number": func(lr *limitRun) {
		lr.during = func(lr *limitRun, _ time.Duration) { lr.setUnreadable() }
	},
	"for requests that run once": func(lr *limitRun) { lr.path, lr.pool, lr.limited = "/once/", "plain", 2 },
	"for requests that are retried": func(lr *limitRun) {
		lr.path, lr.pool, lr.limited = "/lookup/", "plain", 2
		lr.during = func(lr *limitRun, elapsed time.Duration) { lr.setFlaky(elapsed > time.Second) }
		lr.leastUse = 0
	},
	"of a stage": func(lr *limitRun) {
		lr.path, lr.pool, lr.limited, lr.perSecond = "/draft/", "encode", 2, 2
	},
	"of all upstreams of a stage": func(lr *limitRun) {
		lr.path, lr.pool, lr.limited, lr.perSecond = "/draft/", "encode", 4, 2
	},
	"of all engines behind stages": func(lr *limitRun) {
		lr.path, lr.limited, lr.upstreams, lr.perSecond = "/draft/", 9, 9, 1
	},
	"that falls": func(lr *limitRun) {
		lr.perSecond, lr.every, lr.atOnce = 10, 10*time.Millisecond, 3
		lr.during = func(lr *limitRun, elapsed time.Duration) { lr.changeAt(elapsed, 5*time.Second, 1) }
	},
	"that rises": func(lr *limitRun) {
		lr.every, lr.atOnce = 10*time.Millisecond, 3
		lr.during = func(lr *limitRun, elapsed time.Duration) { lr.changeAt(elapsed, 5*time.Second, 10) }
	},
	"of zero": func(lr *limitRun) { lr.perSecond, lr.leastUse = 0, 0 },
	"while instances are restarted": func(lr *limitRun) {
		lr.during = func(lr *limitRun, elapsed time.Duration) {
			if elapsed%time.Second == 0 {
				lr.soak.restartOne()
			}
		}
	},
	"while instances of many are restarted": func(lr *limitRun) {
		lr.instances, lr.upstreams, lr.limited, lr.every, lr.atOnce = 77, 40, 4, 10*time.Millisecond, 4
		lr.during = func(lr *limitRun, elapsed time.Duration) {
			if elapsed%(200*time.Millisecond) == 0 {
				lr.soak.restartOne()
			}
		}
	},
	"after all instances were restarted at once": func(lr *limitRun) {
		lr.during = func(lr *limitRun, elapsed time.Duration) {
			if elapsed == 5*time.Second {
				lr.soak.restartAll()
			}
		}
	},
	"while an instance is cut off": func(lr *limitRun) {
		lr.during = func(lr *limitRun, elapsed time.Duration) { lr.soak.cutOff(elapsed, 4*time.Second, 10*time.Second) }
	},
	"while half of the instances are cut off from the others": func(lr *limitRun) {
		lr.perSecond, lr.every, lr.atOnce = 10, 10*time.Millisecond, 3
		lr.during = func(lr *limitRun, elapsed time.Duration) { lr.soak.split(elapsed, 4*time.Second, 12*time.Second) }
	},
	"while instances are frozen": func(lr *limitRun) {
		lr.during = func(lr *limitRun, elapsed time.Duration) {
			if elapsed%(3*time.Second) == 0 {
				lr.soak.fleet.freeze(lr.soak.randomNode(), 2500*time.Millisecond)
			}
		}
	},
	"of an upstream that is restarted": func(lr *limitRun) {
		lr.during = func(lr *limitRun, elapsed time.Duration) {
			if elapsed == 4*time.Second {
				lr.crashLimited()
			}
			if elapsed == 8*time.Second {
				lr.setAll(lr.perSecond)
			}
		}
		lr.leastUse = 0
	},
}

// setFlaky makes the limited upstreams break off and refuse a part of the requests.
func (lr *limitRun) setFlaky(on bool) {
	us := lr.soak.fleet.upstreams
	us.mu.Lock()
	defer us.mu.Unlock()
	for number := range lr.limited {
		us.byID[lr.limitedID(number)].flaky = on
	}
}

// setUnreadable makes the limited upstreams announce values that are no number, too.
func (lr *limitRun) setUnreadable() {
	us := lr.soak.fleet.upstreams
	us.mu.Lock()
	defer us.mu.Unlock()
	for _, limit := range us.limits {
		limit.unreadable = true
	}
}

// changeAt changes the limits at a time of the run.
func (lr *limitRun) changeAt(elapsed, at time.Duration, perSecond float64) {
	if elapsed == at {
		lr.setAll(perSecond)
	}
}

// crashLimited crashes the limited upstreams.
func (lr *limitRun) crashLimited() {
	us := lr.soak.fleet.upstreams
	list := []*upstream{}
	us.mu.Lock()
	for number := range lr.limited {
		list = append(list, us.byID[lr.limitedID(number)])
	}
	us.mu.Unlock()
	for _, up := range list {
		us.crash(up)
	}
}

// TestLimitedUpstreamGetsTheRequestsOfAllInstances guards against instances that each send an upstream with a rate limit what
// they would without it.
func TestLimitedUpstreamGetsTheRequestsOfAllInstances(t *testing.T) {
	for name, change := range limitCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lr := newLimitRun()
			change(lr)
			assertLimitsAreKept(t, lr)
		})
	}
}

// TestAllUpstreamsLimited guards against requests that wait for upstreams whose limits are used up, and against refusals
// without the time at which another request would be served.
func TestAllUpstreamsLimited(t *testing.T) {
	for _, path := range []string{"/stream/", "/lookup/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			lr := newLimitRun()
			lr.path, lr.limited, lr.perSecond = path, 9, 2
			if path != "/stream/" {
				lr.pool, lr.limited = "plain", 4
			}
			assertLimitsAreKept(t, lr)
			must.Positive(t, lr.refused)
			must.Zero(t, lr.withoutTime, must.Sprint("refusals without a time"))
			must.LessEq(t, slowestRefusal, lr.slowest)
			must.GreaterEq(t, 0.7*float64(lr.limited)*lr.perSecond*(limitTime-settleBound).Seconds(), float64(lr.answered), must.Sprint("answered requests"))
		})
	}
}

// TestAllUpstreamsOfAStageLimited guards against requests that are admitted to a stage whose limits turn out to be used up, and
// are held until their timeout: they are refused once they would be late.
func TestAllUpstreamsOfAStageLimited(t *testing.T) {
	for _, perSecond := range []float64{1, 2, 5} {
		t.Run(fmt.Sprint(perSecond, " a second"), func(t *testing.T) {
			t.Parallel()
			lr := newLimitRun()
			lr.path, lr.pool, lr.limited, lr.perSecond = "/draft/", "encode", 4, perSecond
			assertLimitsAreKept(t, lr)
			must.Positive(t, lr.refused)
			must.Zero(t, lr.withoutTime, must.Sprint("refusals without a time"))
			must.LessEq(t, stageTarget, lr.slowest)
		})
	}
}

// stageTarget is the target latency of the requests with stages.
const stageTarget = time.Second

// slowestRefusal bounds the time until a request is refused for which all limits are used up.
const slowestRefusal = 300 * time.Millisecond

// TestEndOfALimit guards against a limit that stays in force after its upstream has stopped to announce it.
func TestEndOfALimit(t *testing.T) {
	for name, perSecond := range map[string]float64{"of one a second": 1, "of one in ten seconds": 0.1, "of zero": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lr := newLimitRun()
			lr.perSecond, lr.leastUse, lr.limited = perSecond, 0, 1
			ended := time.Time{}
			lr.during = func(lr *limitRun, elapsed time.Duration) {
				lr.changeAt(elapsed, 4*time.Second, unlimited)
				if elapsed == 4*time.Second {
					ended = time.Now()
				}
			}
			assertLimitsAreKept(t, lr)
			before := lr.limits()[0].between(ended.Add(-time.Second), ended)
			after := lr.limits()[0].between(ended.Add(endBound), lr.ended)
			t.Logf("%d calls in the second before the end, %d from %v after it", before, after, endBound)
			must.GreaterEq(t, 5, after, must.Sprint("calls after the end of the limit"))
		})
	}
}

// endBound is how long after its last answer with a limit an upstream may receive less than before.
const endBound = 10 * time.Second
