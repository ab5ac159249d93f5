package throttle_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/throttle"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

const (
	// coldPerSecond is the rate of cold upstreams; in any second one may get coldOverage times that and coldSlack requests more.
	coldPerSecond = 9.2
	coldOverage   = 1.5
	coldSlack     = 5
	// coldLength is how long an upstream is cold.
	coldLength = 3 * time.Second
	// linkTime is how long a message takes, gossipInterval the time between two exchanges of news.
	linkTime       = time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// lostAfter is the time after which an instance is declared dead that others don't reach.
	lostAfter = 3500 * time.Millisecond
)

// coldFleet holds the throttles of some instances in front of upstreams of which some are cold.
type coldFleet struct {
	timers *timer.Service
	nodes  []*coldNode

	mu        sync.Mutex
	upstreams map[string]*roster.Upstream
	// arrivals are the times at which requests reached each upstream.
	arrivals map[string][]time.Time
	// asked counts the calls to owners by upstream, events those of the time line by kind.
	asked  map[string]int
	events map[wire.EventKind]int
	calls  sync.WaitGroup
}

// coldNode is one instance, and its view of the fleet.
type coldNode struct {
	fleet    *coldFleet
	id       string
	throttle *throttle.Throttle
	clock    *hlc.Clock
	// step is how far its wall time has jumped; last is its last reading.
	step time.Duration
	last time.Time
	// lost is set if it is killed or cut off, since lostAt; frozenUntil is when it runs again.
	lost        bool
	lostAt      time.Time
	frozenUntil time.Time
	// live is the list of live instances; it stays the same one while they do.
	live []member.Member
}

func (cn *coldNode) Live() []member.Member {
	cn.fleet.mu.Lock()
	defer cn.fleet.mu.Unlock()
	list := []member.Member{}
	for _, other := range cn.fleet.nodes {
		isUnreachable := (other.lost || cn.lost) && other != cn
		if isUnreachable && time.Since(maxOf(other.lostAt, cn.lostAt)) > lostAfter {
			continue
		}
		list = append(list, member.Member{ID: other.id})
	}
	if !slices.Equal(list, cn.live) {
		cn.live = list
	}
	return cn.live
}

func maxOf(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func (cn *coldNode) Share(time.Duration) float64 {
	return float64(len(cn.Live())) / float64(len(cn.fleet.nodes))
}

// Time returns a reading of a hybrid logical clock on a wall time that has jumped.
func (cn *coldNode) Time() time.Time {
	read := cn.clock.Now()
	wall := time.UnixMicro(read.WallMicros).Add(time.Duration(read.Logical))
	cn.fleet.mu.Lock()
	defer cn.fleet.mu.Unlock()
	cn.last = maxOf(cn.last.Add(1), wall.Add(cn.step))
	return cn.last
}

// reach returns another instance once a message has reached it, or why it does not.
func (cn *coldNode) reach(ctx context.Context, id string) (*coldNode, error) {
	time.Sleep(linkTime)
	fl := cn.fleet
	for _, other := range fl.nodes {
		if other.id != id {
			continue
		}
		for {
			fl.mu.Lock()
			isLost, isFrozen := other.lost || cn.lost, time.Now().Before(other.frozenUntil)
			fl.mu.Unlock()
			switch {
			case isLost:
				<-ctx.Done()
				return nil, ctx.Err()
			case !isFrozen:
				return other, nil
			}
			time.Sleep(10 * time.Millisecond)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
	return nil, errSilent
}

func (cn *coldNode) AskPermit(ctx context.Context, owner member.Member, request *wire.PermitRequest) (*wire.PermitReply, error) {
	cn.fleet.mu.Lock()
	cn.fleet.asked[request.GetLimit().GetUpstream()]++
	cn.fleet.mu.Unlock()
	other, err := cn.reach(ctx, owner.ID)
	if err != nil {
		return nil, err
	}
	reply := other.throttle.IssuePermit(request)
	time.Sleep(linkTime)
	return reply, ctx.Err()
}

func (cn *coldNode) SendReport(ctx context.Context, owner member.Member, report *wire.LimitReport) (*wire.LimitReply, error) {
	other, err := cn.reach(ctx, owner.ID)
	if err != nil {
		return nil, err
	}
	return other.throttle.ApplyReport(report), nil
}

func (*coldNode) TriggerHeartbeat() {}

// newNode returns an instance; its throttle has just started.
func (fl *coldFleet) newNode(id string) *coldNode {
	cn := &coldNode{fleet: fl, id: id, clock: hlc.New(fl.timers)}
	cn.throttle = throttle.New(throttle.Parts{
		Self: id, Fleet: cn, Find: fl.find, Timers: fl.timers, Registered: fl.registered,
		LeavingChanged: func(map[roster.Incarnation]time.Time) {},
		ColdRate:       func(pool string) float64 { return map[string]float64{"limited": coldPerSecond}[pool] },
		Events: timeline.New(id, cn.clock, 100, func(event *wire.Event) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.events[event.GetKind()]++
		}),
	})
	return cn
}

func (fl *coldFleet) find(id string) *roster.Upstream {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.upstreams[id]
}

func (fl *coldFleet) registered() []*roster.Upstream {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []*roster.Upstream{}
	for _, up := range fl.upstreams {
		list = append(list, up)
	}
	return list
}

// register registers a new incarnation of an upstream that is cold for a time, at all instances.
func (fl *coldFleet) register(id, pool string, cold time.Duration) *roster.Upstream {
	fresh := &roster.Upstream{ID: id, Pool: pool, StartUnixMs: time.Now().UnixMilli(), WarmAt: time.Now().Add(cold)}
	fl.mu.Lock()
	fl.upstreams[id] = fresh
	fl.mu.Unlock()
	for _, cn := range fl.nodes {
		cn.throttle.UpstreamsChanged()
	}
	return fresh
}

// runColdFleet runs instances in fake time that have been there for some time, in front of 140 upstreams.
func runColdFleet(t *testing.T, instances int, run func(ctx context.Context, fl *coldFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := &coldFleet{
			timers: timer.New(), upstreams: map[string]*roster.Upstream{}, arrivals: map[string][]time.Time{}, asked: map[string]int{}, events: map[wire.EventKind]int{},
		}
		for at := range instances {
			fl.nodes = append(fl.nodes, fl.newNode(fmt.Sprint("n", at)))
		}
		for at := range 140 {
			fl.register(fmt.Sprint("u", at), "limited", 0)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ends := []chan struct{}{}
		for _, cn := range fl.nodes {
			ends = append(ends, make(chan struct{}))
			go cn.throttle.Run(ctx, ends[len(ends)-1])
		}
		fl.calls.Go(func() { fl.gossip(ctx) })
		defer func() {
			cancel()
			fl.calls.Wait()
			for _, stopped := range ends {
				<-stopped
			}
		}()
		time.Sleep(3 * time.Second)
		run(ctx, fl)
	})
}

// gossip passes the news of each instance on to two others until ctx ends.
func (fl *coldFleet) gossip(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		time.Sleep(gossipInterval)
		for at, cn := range fl.nodes {
			news := cn.throttle.News(false)
			for _, distance := range []int{1, round} {
				other := fl.nodes[(at+distance)%len(fl.nodes)]
				if !cn.isAway() && !other.isAway() {
					other.throttle.AddNews(news)
				}
			}
		}
	}
}

// isAway reports whether an instance is killed, cut off or frozen.
func (cn *coldNode) isAway() bool {
	cn.fleet.mu.Lock()
	defer cn.fleet.mu.Unlock()
	return cn.lost || time.Now().Before(cn.frozenUntil)
}

// send sends a request, whose answer says something about a cold time, and returns why it is not sent.
func (cn *coldNode) send(ctx context.Context, to *roster.Upstream, maxWait time.Duration, said *notice.Cold) error {
	answered, err := cn.throttle.Acquire(ctx, to, maxWait)
	if err != nil {
		return err
	}
	time.Sleep(linkTime)
	cn.fleet.mu.Lock()
	cn.fleet.arrivals[to.ID] = append(cn.fleet.arrivals[to.ID], time.Now())
	cn.fleet.mu.Unlock()
	answered(notice.Notice{Limit: ratelimit.None{}, Cold: said})
	return nil
}

// burst has each instance ask for a permit for each upstream again and again, as soon as it may, until ctx ends. Instances that are
// killed or frozen send nothing; those that are cut off from the others still reach the upstreams.
func (fl *coldFleet) burst(ctx context.Context, length time.Duration, maxWait time.Duration, list []*roster.Upstream) {
	until := time.Now().Add(length)
	senders := sync.WaitGroup{}
	for at, cn := range fl.nodes {
		for number, up := range list {
			senders.Go(func() {
				time.Sleep(time.Duration(1+(at*7+number)%20) * time.Millisecond)
				for time.Now().Before(until) {
					fl.mu.Lock()
					thaw := time.Until(cn.frozenUntil)
					fl.mu.Unlock()
					exceeded := ratelimit.Exceeded{}
					if thaw > 0 {
						time.Sleep(thaw)
					} else if err := cn.send(ctx, up, maxWait, nil); errors.As(err, &exceeded) {
						time.Sleep(min(exceeded.RetryAfter, time.Until(until)+1))
					} else {
						time.Sleep(5 * time.Millisecond)
					}
				}
			})
		}
	}
	senders.Wait()
}

// mostInASecond returns the largest number of times in one second, of those that are before an end.
func mostInASecond(times []time.Time, end time.Time) int {
	sorted := slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return !at.Before(end) })
	slices.SortFunc(sorted, time.Time.Compare)
	largest, first := 0, 0
	for last, at := range sorted {
		for at.Sub(sorted[first]) >= time.Second {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// countBetween returns how many times are within a span.
func countBetween(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// assertCold checks that cold upstreams got no more than they accept until an end, and at least a share of it.
func (fl *coldFleet) assertCold(t *testing.T, list []*roster.Upstream, from, until time.Time, leastShare float64) {
	t.Helper()
	most, fewest := 0, 1<<30
	for _, up := range list {
		most = max(most, mostInASecond(fl.arrivals[up.ID], until))
		fewest = min(fewest, countBetween(fl.arrivals[up.ID], from, until))
	}
	share := float64(fewest) / (coldPerSecond * until.Sub(from).Seconds())
	t.Logf("%d cold upstreams: at most %d requests in a second, %.2f of the rate used at least", len(list), most, share)
	must.LessEq(t, coldPerSecond*coldOverage+coldSlack, float64(most))
	must.GreaterEq(t, leastShare, share)
}

// startCold registers count upstreams that have just started.
func (fl *coldFleet) startCold(count int, cold time.Duration) []*roster.Upstream {
	list := []*roster.Upstream{}
	for at := range count {
		list = append(list, fl.register(fmt.Sprint("u", at), "limited", cold))
	}
	return list
}

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
					must.Eq(t, 35*instances, fl.events[wire.EventKind_EventUpstreamCold])
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

// TestUpstreamCoolsDown guards against an upstream that becomes cold again while only one instance knows it, and against an end that
// the others don't hear of or that an older answer causes.
func TestUpstreamCoolsDown(t *testing.T) {
	runColdFleet(t, 18, func(ctx context.Context, fl *coldFleet) {
		up := fl.upstreams["u0"]
		early, err := fl.nodes[3].throttle.Acquire(ctx, up, 0)
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		must.NoError(t, fl.nodes[0].send(ctx, up, 0, &notice.Cold{Left: coldLength}))
		must.Eq(t, 1, fl.events[wire.EventKind_EventUpstreamCold])
		assertExceeded(t, fl.nodes[0].send(ctx, up, 0, nil), 100*time.Millisecond)
		time.Sleep(time.Second)
		for _, cn := range fl.nodes {
			must.MapContainsKey(t, cn.throttle.Limits(), up.Incarnation(), must.Sprint(cn.id))
			must.Between(t, coldLength-1200*time.Millisecond, time.Until(cn.throttle.Cold()[up.Incarnation()]), coldLength-900*time.Millisecond)
		}
		must.Eq(t, 18, fl.events[wire.EventKind_EventUpstreamCold])
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

// TestColdTimeOnAClockThatJumps guards against cold times that end early or never since the wall time of an instance was stepped.
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
	runColdFleet(t, 2, func(ctx context.Context, fl *coldFleet) {
		up := fl.startCold(1, time.Minute)[0]
		fresh := fl.newNode("alone")
		fl.nodes = []*coldNode{fresh}
		fresh.throttle.UpstreamsChanged()
		assertExceeded(t, fresh.send(ctx, up, time.Second, nil), 2*time.Second)
		time.Sleep(2 * time.Second)
		must.NoError(t, fresh.send(ctx, up, time.Second, nil))
	})
}

// BenchmarkPermit measures a permit of an owner, and a request that needs none, with 35 cold upstreams of 140 and with none.
func BenchmarkPermit(b *testing.B) {
	for _, count := range []int{0, 35} {
		fl := &coldFleet{
			timers: timer.New(), upstreams: map[string]*roster.Upstream{}, arrivals: map[string][]time.Time{}, asked: map[string]int{}, events: map[wire.EventKind]int{},
		}
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
