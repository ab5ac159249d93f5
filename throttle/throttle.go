package throttle

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/headroom"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/pause"
	"github.com/turmericdoor/turmericdoor/permit"
	"github.com/turmericdoor/turmericdoor/ranking"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Fleet is the connection to the other instances.
type Fleet interface {
	// Live returns the live instances, this one included.
	Live() []member.Member
	// Share returns the live instances as a part of those that were live within a time.
	Share(within time.Duration) float64
	// Time returns a reading of the hybrid logical clock.
	Time() time.Time
	// AskPermit asks another instance for a permit.
	AskPermit(ctx context.Context, owner member.Member, request *wire.PermitRequest) (*wire.PermitReply, error)
	// SendReport tells another instance what an answer announced.
	SendReport(ctx context.Context, owner member.Member, report *wire.LimitReport) (*wire.LimitReply, error)
	// TriggerHeartbeat sends the news to the other instances without delay.
	TriggerHeartbeat()
}

// Parts holds the dependencies of a Throttle.
type Parts struct {
	Self  string
	Fleet Fleet
	// Find returns the registered upstream with an id, or nil.
	Find func(id string) *roster.Upstream
	// LeavingChanged is called with the incarnations whose answers have said that they are leaving, and since when. It must not
	// call the throttle.
	LeavingChanged func(map[roster.Incarnation]time.Time)
	// ColdRate returns the rate in requests per second that cold upstreams of a pool accept, or 0 if it is not limited. Registered returns
	// the registered upstreams. Both take no lock, and are nil if cold upstreams are not limited.
	ColdRate   func(pool string) float64
	Registered func() []*roster.Upstream
	Timers     *timer.Service
	Events     *timeline.Ring
}

// Throttle holds what upstreams have said of themselves in their answers, keeps requests to them within it, and issues the permits
// of the upstreams that it owns. It is safe for concurrent use.
type Throttle struct {
	Parts

	// epoch identifies the permits of this process; startedAt is when it began.
	epoch     int64
	startedAt time.Time
	// limited holds the limits in force, in requests per second.
	limited atomic.Pointer[map[roster.Incarnation]float64]
	// leaving holds the upstreams that are leaving, with the time since when, and paused until when others pause.
	leaving atomic.Pointer[map[roster.Incarnation]time.Time]
	paused  atomic.Pointer[map[roster.Incarnation]time.Time]
	// avoided holds the upstreams that have asked any instance for a pause, until its end.
	avoided atomic.Pointer[map[roster.Incarnation]time.Time]
	// brittle holds the rates of brittle upstreams, brittlePools the lowest one of each pool.
	brittle      atomic.Pointer[map[roster.Incarnation]float64]
	brittlePools atomic.Pointer[map[string]float64]
	// cold holds the cold times, coldUntil the ends of those that are not over yet. coldGranted and coldDenied count the permits for cold
	// upstreams.
	cold                    atomic.Pointer[map[roster.Incarnation]coldTime]
	coldUntil               atomic.Pointer[map[roster.Incarnation]time.Time]
	coldGranted, coldDenied atomic.Uint64
	background              inflight.Group
	owners                  ranking.Cache
	wakeup                  chan struct{}

	mu       sync.Mutex
	table    *noticetable.Table
	ledger   *permit.Ledger
	headroom *headroom.Register
	pauses   *pause.Register
	messages uint64
	// coldStarts holds the cold times that registrations state; nextWarm is when the next upstream becomes warm, or the zero time.
	coldStarts map[roster.Incarnation]coldStart
	nextWarm   time.Time
	// unresponsive holds the instances that did not answer, until when they are not asked again.
	unresponsive map[string]time.Time
}

const (
	// askTimeout bounds a call to the owner of an upstream's permits.
	askTimeout = 150 * time.Millisecond
	// unresponsiveBackoff is how long an owner that did not answer is not asked again.
	unresponsiveBackoff = 500 * time.Millisecond
	// notOwnerBackoff is how long an upstream gets no request while the instances disagree on its owner.
	notOwnerBackoff = 100 * time.Millisecond
	// settleTime is how long after its start an instance issues no permits: it may not know the others yet.
	settleTime = 2 * time.Second
	// lostWithin is how long instances that were declared dead keep their share of each limit.
	lostWithin = 10 * time.Minute
	// pruneInterval is how often the limits of upstreams that are gone are forgotten.
	pruneInterval = 10 * time.Second
	// minDenial is the least time for which an upstream gets no request after a denial.
	minDenial = 5 * time.Millisecond
)

// New returns a throttle that knows no limits.
func New(parts Parts) *Throttle {
	now := parts.Timers.Now()
	th := &Throttle{
		Parts: parts, epoch: now.UnixNano(), startedAt: now, table: noticetable.New(), ledger: permit.New(), headroom: headroom.New(), pauses: pause.New(), unresponsive: map[string]time.Time{},
		wakeup: make(chan struct{}, 1),
	}
	th.limited.Store(&map[roster.Incarnation]float64{})
	th.leaving.Store(&map[roster.Incarnation]time.Time{})
	th.paused.Store(&map[roster.Incarnation]time.Time{})
	th.avoided.Store(&map[roster.Incarnation]time.Time{})
	th.brittle.Store(&map[roster.Incarnation]float64{})
	th.brittlePools.Store(&map[string]float64{})
	th.cold.Store(&map[roster.Incarnation]coldTime{})
	th.coldUntil.Store(&map[roster.Incarnation]time.Time{})
	return th
}

// Run drops the limits of upstreams that are gone, and of cold upstreams once they are warm, until ctx ends. Then it waits for all
// background calls and closes done.
func (th *Throttle) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer th.background.Wait()
	pruneAt := th.Timers.Now().Add(pruneInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-th.wakeup:
			continue
		case <-th.Timers.After(th.untilChange(pruneAt)):
		}
		if th.Timers.Now().Before(pruneAt) {
			th.mu.Lock()
			newlyCold := th.publishCold()
			th.mu.Unlock()
			th.recordCold(newlyCold, "registration")
			continue
		}
		th.prune()
		pruneAt = th.Timers.Now().Add(pruneInterval)
	}
}

// untilChange returns the time until the next upstream becomes warm, or until pruneAt if that comes first.
func (th *Throttle) untilChange(pruneAt time.Time) time.Duration {
	th.mu.Lock()
	defer th.mu.Unlock()
	if !th.nextWarm.IsZero() && th.nextWarm.Before(pruneAt) {
		pruneAt = th.nextWarm
	}
	return max(pruneAt.Sub(th.Timers.Now()), 0)
}

// Limits returns the limits in force, in requests per second; it takes no lock. The map must not be changed.
func (th *Throttle) Limits() map[roster.Incarnation]float64 {
	return *th.limited.Load()
}

// sent identifies the permit of a request: its number and the epoch of its owner, or zeros if it needed none.
type sent struct {
	number uint64
	epoch  int64
}

// Acquire waits until a request may be sent to an upstream, at most maxWait, and returns the function to call with what
// the upstream's answer announces. The error is ratelimit.Exceeded or that of ctx; then the request must not be sent.
func (th *Throttle) Acquire(ctx context.Context, upstream *roster.Upstream, maxWait time.Duration) (func(notice.Notice), error) {
	now, issued, incarnation := th.Timers.Now(), sent{}, upstream.Incarnation()
	if err := th.checkPause(now, incarnation); err != nil {
		return nil, err
	}
	if rate, inPool := (*th.brittlePools.Load())[upstream.Pool]; inPool {
		th.expectFromPool(upstream, rate)
	}
	_, limited := th.Limits()[incarnation]
	if !limited && now.Before(upstream.WarmAt) {
		_, left := th.coldLeft(now, upstream)
		limited = left > 0
	}
	if limited {
		reply, err := th.ask(ctx, upstream, maxWait)
		if err != nil {
			return nil, err
		}
		if err := th.await(ctx, reply); err != nil {
			return nil, err
		}
		issued, now = sent{number: reply.GetNumber(), epoch: reply.GetEpoch()}, th.Timers.Now()
	}
	if err := th.takeAfterPause(incarnation); err != nil {
		return nil, err
	}
	return func(seen notice.Notice) {
		th.observeCold(upstream, now, seen.Cold)
		th.observe(upstream, issued, seen)
	}, nil
}

// await waits until the request of a reply may be sent, or returns why it may not.
func (th *Throttle) await(ctx context.Context, reply *wire.PermitReply) error {
	wait := time.Duration(reply.GetWaitMicros()) * time.Microsecond
	switch reply.GetOutcome() {
	case wire.PermitOutcome_PermitGranted:
		if wait > 0 {
			return th.Timers.Sleep(ctx, wait)
		}
		return nil
	case wire.PermitOutcome_PermitNotNeeded:
		return nil
	case wire.PermitOutcome_PermitNotOwner:
		wait = notOwnerBackoff
	case wire.PermitOutcome_PermitDenied:
	}
	return ratelimit.Exceeded{RetryAfter: max(wait, minDenial)}
}

// ask asks the owner of an upstream's permits for one.
func (th *Throttle) ask(ctx context.Context, upstream *roster.Upstream, maxWait time.Duration) (*wire.PermitReply, error) {
	owner := th.owner(upstream.ID, upstream.FailureDomain)
	perSecond, left := th.coldLeft(th.Timers.Now(), upstream)
	request := &wire.PermitRequest{
		Limit: th.known(upstream.Incarnation()), FailureDomain: upstream.FailureDomain, MaxWaitMicros: max(maxWait, 0).Microseconds(),
		ColdPerSecond: perSecond, ColdLeftMs: left.Milliseconds(),
	}
	if owner.ID == th.Self {
		return th.IssuePermit(request), nil
	}
	if left := th.backoffLeft(owner.ID); left > 0 {
		return nil, ratelimit.Exceeded{RetryAfter: left}
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := th.Fleet.AskPermit(limited, owner, request)
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil:
		th.markUnresponsive(owner.ID)
		return nil, ratelimit.Exceeded{RetryAfter: unresponsiveBackoff}
	}
	th.merge([]*wire.UpstreamNotice{reply.GetLimit()})
	return reply, nil
}

// owner returns the instance that issues the permits of an upstream.
func (th *Throttle) owner(id, failureDomain string) member.Member {
	return th.owners.Rank(th.Fleet.Live(), failureDomain, id)[0]
}

func (th *Throttle) backoffLeft(owner string) time.Duration {
	th.mu.Lock()
	defer th.mu.Unlock()
	return th.unresponsive[owner].Sub(th.Timers.Now())
}

func (th *Throttle) markUnresponsive(owner string) {
	now := th.Timers.Now()
	th.mu.Lock()
	defer th.mu.Unlock()
	for id, until := range th.unresponsive {
		if until.Before(now) {
			delete(th.unresponsive, id)
		}
	}
	th.unresponsive[owner] = now.Add(unresponsiveBackoff)
}

// known returns what this instance knows of the rate limit of an upstream, or else of its cold time.
func (th *Throttle) known(incarnation roster.Incarnation) *wire.UpstreamNotice {
	th.mu.Lock()
	defer th.mu.Unlock()
	entry, found := th.find(incarnation)
	if !found {
		entry = noticetable.Entry{Incarnation: incarnation, Ended: true}
	}
	return th.toWire(entry)
}

// find returns the entry of an upstream's rate limit, or else of its cold time, or false if there is neither. The caller holds the lock.
func (th *Throttle) find(incarnation roster.Incarnation) (noticetable.Entry, bool) {
	if entry, found := th.table.Find(noticetable.RateLimit, incarnation); found {
		return entry, true
	}
	return th.table.Find(noticetable.Cold, incarnation)
}

// publish makes visible what the upstreams have said, and returns those that have become cold; the caller holds the lock.
func (th *Throttle) publish() (newlyCold []roster.Incarnation) {
	leaving, pauses := th.table.LeavingSince(), th.pauses.Until()
	newlyCold = th.publishCold()
	th.paused.Store(&pauses)
	th.publishBrittle()
	avoided, ahead := th.table.PausesUntil(th.Fleet.Time()), th.Fleet.Time().Sub(th.Timers.Now())
	for incarnation, until := range avoided {
		avoided[incarnation] = until.Add(-ahead)
	}
	th.avoided.Store(&avoided)
	if !maps.Equal(leaving, th.Leaving()) {
		th.leaving.Store(&leaving)
		th.LeavingChanged(leaving)
	}
	return newlyCold
}
