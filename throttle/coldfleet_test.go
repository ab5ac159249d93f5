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
		if isUnreachable && time.Since(timer.Later(other.lostAt, cn.lostAt)) > lostAfter {
			continue
		}
		list = append(list, member.Member{ID: other.id})
	}
	if !slices.Equal(list, cn.live) {
		cn.live = list
	}
	return cn.live
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
	cn.last = timer.Later(cn.last.Add(1), wall.Add(cn.step))
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

// newColdFleet returns a fleet without instances.
func newColdFleet() *coldFleet {
	return &coldFleet{
		timers: timer.New(), upstreams: map[string]*roster.Upstream{}, arrivals: map[string][]time.Time{}, asked: map[string]int{}, events: map[wire.EventKind]int{},
	}
}

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

// coldEvents returns how often an instance has recorded that an upstream is cold.
func (fl *coldFleet) coldEvents() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.events[wire.EventKind_EventUpstreamCold]
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
		fl := newColdFleet()
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
