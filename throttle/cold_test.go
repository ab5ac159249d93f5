package throttle_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// TestColdUpstreamsUnderABurst guards against instances that each send an upstream which has just started what they would send a warm
// one, and against a limit that leaves its rate unused.
func TestColdUpstreamsUnderABurst(t *testing.T) {
	for _, maxWait := range []time.Duration{0, time.Second} {
		for _, instances := range []int{8, 18, 85} {
			t.Run(fmt.Sprint(instances, " instances, wait ", maxWait), func(t *testing.T) {
				runColdFleet(t, instances, func(ctx context.Context, fl *coldFleet) {
					began := time.Now()
					list := fl.startCold(35, coldLength)
					fl.burst(ctx, coldLength+500*time.Millisecond, maxWait, list)
					fl.assertCold(t, list, began, began.Add(coldLength), 0.8)
					for _, up := range list {
						must.Positive(t, countBetween(fl.arrivals[up.ID], began.Add(coldLength+10*time.Millisecond), time.Now()), must.Sprint("requests after the cold time"))
					}
					must.Eq(t, 35*instances, fl.coldEvents())
					for _, cn := range fl.nodes {
						must.MapEmpty(t, cn.throttle.Limits())
						must.MapEmpty(t, cn.throttle.Cold())
					}
				})
			})
		}
	}
}

// TestWarmUpstreamsBesideColdOnes guards against calls for the requests to upstreams that are not cold, or whose pool does not limit
// cold ones.
func TestWarmUpstreamsBesideColdOnes(t *testing.T) {
	runColdFleet(t, 8, func(ctx context.Context, fl *coldFleet) {
		fl.startCold(35, coldLength)
		free := fl.register("free", "unlimited", coldLength)
		fl.burst(ctx, time.Second, 0, []*roster.Upstream{fl.upstreams["u100"], free})
		must.Zero(t, fl.asked["u100"])
		must.Zero(t, fl.asked["free"])
		must.Greater(t, 500, len(fl.arrivals["free"]))
	})
}

// TestColdUpstreamWithoutItsOwner guards against a second owner of the permits while the first one still issues them, and against an
// upstream that gets nothing once another one has taken over.
func TestColdUpstreamWithoutItsOwner(t *testing.T) {
	lose := func(cn *coldNode) { cn.lost, cn.lostAt = true, time.Now() }
	cases := map[string]struct {
		fail   func(cn *coldNode)
		resume time.Duration
	}{
		"killed":  {func(cn *coldNode) { lose(cn); cn.frozenUntil = time.Now().Add(time.Hour) }, 5 * time.Second},
		"cut off": {lose, 5 * time.Second},
		"frozen":  {func(cn *coldNode) { cn.frozenUntil = time.Now().Add(2500 * time.Millisecond) }, 3500 * time.Millisecond},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			runColdFleet(t, 8, func(ctx context.Context, fl *coldFleet) {
				const long = 10 * time.Second
				began := time.Now()
				list := fl.startCold(35, long)
				failed := map[string]bool{}
				fl.calls.Go(func() {
					time.Sleep(1500 * time.Millisecond)
					fl.mu.Lock()
					defer fl.mu.Unlock()
					for _, cn := range fl.nodes[:2] {
						failed[cn.id] = true
						each.fail(cn)
					}
				})
				ended, cancel := context.WithTimeout(ctx, long)
				fl.burst(ended, long, 0, list)
				cancel()
				must.MapLen(t, 2, failed)
				fl.assertCold(t, list, began, began.Add(1500*time.Millisecond), 0.7)
				// The share of the two lost instances is not issued.
				fl.assertCold(t, list, began.Add(1500*time.Millisecond+each.resume), began.Add(long), 0.55)
			})
		})
	}
}

// TestUpstreamColdAgain guards against an upstream that becomes cold again while only one instance knows it, and against an end that
// the others don't hear of or that an older answer causes.
func TestUpstreamColdAgain(t *testing.T) {
	runColdFleet(t, 18, func(ctx context.Context, fl *coldFleet) {
		up := fl.upstreams["u0"]
		early, err := fl.nodes[3].throttle.Acquire(ctx, up, 0)
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		must.NoError(t, fl.nodes[0].send(ctx, up, 0, &notice.Cold{Left: coldLength}))
		must.Eq(t, 1, fl.coldEvents())
		assertExceeded(t, fl.nodes[0].send(ctx, up, 0, nil), 100*time.Millisecond)
		time.Sleep(time.Second)
		for _, cn := range fl.nodes {
			must.MapContainsKey(t, cn.throttle.Limits(), up.Incarnation(), must.Sprint(cn.id))
			must.Between(t, coldLength-1200*time.Millisecond, time.Until(cn.throttle.Cold()[up.Incarnation()]), coldLength-900*time.Millisecond)
		}
		must.Eq(t, 18, fl.coldEvents())
		began := time.Now()
		fl.burst(ctx, 800*time.Millisecond, 0, []*roster.Upstream{up})
		fl.assertCold(t, []*roster.Upstream{up}, began, time.Now(), 0.8)
		early(notice.Notice{Limit: ratelimit.None{}, Cold: &notice.Cold{}})
		must.MapNotEmpty(t, fl.nodes[3].throttle.Cold(), must.Sprint("an answer to a request from before"))
		must.NoError(t, fl.nodes[5].send(ctx, up, time.Second, &notice.Cold{}))
		must.MapEmpty(t, fl.nodes[5].throttle.Cold())
		time.Sleep(time.Second)
		for _, cn := range fl.nodes {
			must.MapEmpty(t, cn.throttle.Limits(), must.Sprint(cn.id))
		}
	})
}

// TestAnswerEndsTheColdTimeOfARegistration guards against an upstream that stays limited although it has said that it is warm.
func TestAnswerEndsTheColdTimeOfARegistration(t *testing.T) {
	runColdFleet(t, 8, func(ctx context.Context, fl *coldFleet) {
		up := fl.startCold(1, time.Minute)[0]
		must.NoError(t, fl.nodes[2].send(ctx, up, time.Second, &notice.Cold{}))
		time.Sleep(time.Second)
		for _, cn := range fl.nodes {
			must.MapEmpty(t, cn.throttle.Limits(), must.Sprint(cn.id))
			must.NoError(t, cn.send(ctx, up, 0, nil))
		}
		t.Run("a later registration begins another one", func(t *testing.T) {
			fl.mu.Lock()
			again := *up
			again.WarmAt = time.Now().Add(coldLength)
			fl.upstreams[up.ID] = &again
			fl.mu.Unlock()
			fl.nodes[0].throttle.UpstreamsChanged()
			must.MapLen(t, 1, fl.nodes[0].throttle.Limits())
		})
	})
}

// TestColdTimeOnAClockThatJumps guards against cold times that end early or never because the wall time of an instance was stepped.
func TestColdTimeOnAClockThatJumps(t *testing.T) {
	for _, step := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			runColdFleet(t, 8, func(ctx context.Context, fl *coldFleet) {
				started, cooled := fl.startCold(1, coldLength)[0], fl.upstreams["u50"]
				must.NoError(t, fl.nodes[0].send(ctx, cooled, 0, &notice.Cold{Left: coldLength}))
				jump := func(at int) {
					fl.mu.Lock()
					defer fl.mu.Unlock()
					fl.nodes[at].step = step
				}
				jump(0)
				time.Sleep(time.Second)
				jump(1)
				jump(2)
				time.Sleep(time.Second)
				for _, cn := range fl.nodes {
					for _, up := range []*roster.Upstream{started, cooled} {
						must.Between(t, 800*time.Millisecond, time.Until(cn.throttle.Cold()[up.Incarnation()]), 1200*time.Millisecond, must.Sprint(cn.id, " ", up.ID))
					}
				}
				time.Sleep(1200 * time.Millisecond)
				for _, cn := range fl.nodes {
					must.MapEmpty(t, cn.throttle.Limits(), must.Sprint(cn.id))
				}
				// Instances whose pruning is due keep no trace of the cold times, and none comes back.
				time.Sleep(2 * time.Minute)
				for _, cn := range fl.nodes {
					must.SliceEmpty(t, cn.throttle.News(true), must.Sprint(cn.id))
				}
			})
		})
	}
}

// TestOwnerThatDoesNotKnow guards against an owner that has not read a registration yet and lets all requests pass.
func TestOwnerThatDoesNotKnow(t *testing.T) {
	runColdFleet(t, 2, func(_ context.Context, fl *coldFleet) {
		request := &wire.PermitRequest{Limit: &wire.UpstreamNotice{Upstream: "new", StartUnixMs: 5, Ended: true}}
		owner := fl.nodes[0]
		if owner.throttle.IssuePermit(request).GetOutcome() == wire.PermitOutcome_PermitNotOwner {
			owner = fl.nodes[1]
		}
		must.Eq(t, wire.PermitOutcome_PermitNotNeeded, owner.throttle.IssuePermit(request).GetOutcome())
		request.ColdPerSecond, request.ColdLeftMs = 2, 3000
		reply := owner.throttle.IssuePermit(request)
		must.Eq(t, wire.PermitOutcome_PermitDenied, reply.GetOutcome())
		must.Eq(t, 500_000, reply.GetWaitMicros())
		request.ColdLeftMs = 200
		must.Eq(t, 200_000, owner.throttle.IssuePermit(request).GetWaitMicros(), must.Sprint("from its end on no permit is needed"))
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, wire.PermitOutcome_PermitGranted, owner.throttle.IssuePermit(request).GetOutcome())
		granted, denied := owner.throttle.ColdPermits()
		must.Eq(t, [2]uint64{1, 2}, [2]uint64{granted, denied})
	})
}

// TestLowestOfSeveralLimits guards against a cold upstream that gets more than the rate limit that it has announced, or a limited one
// that gets more than cold ones accept.
func TestLowestOfSeveralLimits(t *testing.T) {
	for _, announced := range []float64{2, 100} {
		t.Run(fmt.Sprint(announced, " a second"), func(t *testing.T) {
			runColdFleet(t, 8, func(ctx context.Context, fl *coldFleet) {
				up := fl.startCold(1, coldLength)[0]
				answered, err := fl.nodes[0].throttle.Acquire(ctx, up, time.Second)
				must.NoError(t, err)
				answered(notice.Notice{Limit: ratelimit.Limit{PerSecond: announced}})
				time.Sleep(500 * time.Millisecond)
				for _, cn := range fl.nodes {
					must.Eq(t, min(announced, coldPerSecond), cn.throttle.Limits()[up.Incarnation()])
				}
				fl.arrivals[up.ID] = nil
				until := time.Now().Add(2 * time.Second)
				for at := 0; time.Now().Before(until); at++ {
					if answered, err := fl.nodes[at%8].throttle.Acquire(ctx, up, 0); err == nil {
						fl.arrivals[up.ID] = append(fl.arrivals[up.ID], time.Now())
						answered(notice.Notice{Limit: ratelimit.Limit{PerSecond: announced}})
					}
					time.Sleep(5 * time.Millisecond)
				}
				must.Between(t, 1.6*min(announced, coldPerSecond), float64(len(fl.arrivals[up.ID])), 2.3*min(announced, coldPerSecond)+1)
			})
		})
	}
}

// TestColdUpstreamsAtTheStart guards against instances that issue permits for a cold upstream before they know each other.
func TestColdUpstreamsAtTheStart(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		fl := newColdFleet()
		fl.nodes = []*coldNode{fl.newNode("alone")}
		up := fl.startCold(1, time.Minute)[0]
		assertExceeded(t, fl.nodes[0].send(context.Background(), up, time.Second, nil), 2*time.Second)
		time.Sleep(2 * time.Second)
		must.NoError(t, fl.nodes[0].send(context.Background(), up, time.Second, nil))
	})
}

// BenchmarkPermit measures a permit of an owner, and a request that needs none, with 35 cold upstreams of 140 and with none.
func BenchmarkPermit(b *testing.B) {
	for _, count := range []int{0, 35} {
		fl := newColdFleet()
		fl.nodes = []*coldNode{fl.newNode("n0")}
		for at := range 140 {
			fl.register(fmt.Sprint("u", at), "limited", 0)
		}
		fl.startCold(count, time.Hour)
		ctx, th := context.Background(), fl.nodes[0].throttle
		b.Run(fmt.Sprint("warm upstream beside ", count, " cold ones"), func(b *testing.B) {
			up := fl.upstreams["u139"]
			for b.Loop() {
				if _, err := th.Acquire(ctx, up, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
		if count == 0 {
			continue
		}
		time.Sleep(2100 * time.Millisecond)
		requests := []*wire.PermitRequest{}
		for at := range count {
			up := fl.upstreams[fmt.Sprint("u", at)]
			requests = append(requests, &wire.PermitRequest{
				Limit: &wire.UpstreamNotice{Upstream: up.ID, StartUnixMs: up.StartUnixMs, Ended: true}, ColdPerSecond: coldPerSecond, ColdLeftMs: 3000,
			})
		}
		b.Run(fmt.Sprint("permit of one of ", count, " cold upstreams"), func(b *testing.B) {
			for at := 0; b.Loop(); at++ {
				th.IssuePermit(requests[at%count])
			}
		})
	}
}
