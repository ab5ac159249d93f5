package gather

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Link is a connection to another instance.
type Link interface {
	wire.BatchesClient
	Close() error
}

// Dialer makes a link to another instance's address.
type Dialer func(address string) (Link, error)

// Members tells the instances that are live, the own one included.
type Members interface {
	Live() []member.Member
}

// Client hands work to the instances that gather it; it is safe for concurrent use.
type Client struct {
	self     string
	gatherer *Gatherer
	view     View
	members  Members
	dialer   Dialer
	timers   *timer.Service
	events   *timeline.Ring

	mu     sync.Mutex
	links  map[string]Link
	silent map[string]time.Time
	loads  map[QueueKey]load
	// upcoming is what the requests at one place will need of other pools.
	upcoming map[QueueKey]upcoming
}

// upcoming is items that are still to come, as of a time.
type upcoming struct {
	items []PoolItems
	at    time.Time
}

// load is what is known of a place's wait, as of a time.
type load struct {
	Load
	at time.Time
}

// ClientParts are what a client works with.
type ClientParts struct {
	Self     string
	Gatherer *Gatherer
	View     View
	Members  Members
	Dialer   Dialer
	Timers   *timer.Service
	Events   *timeline.Ring
}

// NewClient returns a client that knows no loads yet.
func NewClient(parts ClientParts) *Client {
	return &Client{
		self: parts.Self, gatherer: parts.Gatherer, view: parts.View, members: parts.Members, dialer: parts.Dialer,
		timers: parts.Timers, events: parts.Events,
		links: map[string]Link{}, silent: map[string]time.Time{}, loads: map[QueueKey]load{}, upcoming: map[QueueKey]upcoming{},
	}
}

const (
	// acceptTimeout is how long an instance has to accept work before another is asked.
	acceptTimeout = 220 * time.Millisecond
	// silentFor is how long an instance that did not accept work in time is passed over.
	silentFor = 1500 * time.Millisecond
	// aliveTimeout is how long an instance that accepted work may be silent; it says every aliveInterval that it
	// is still there.
	aliveTimeout  = 700 * time.Millisecond
	aliveInterval = 250 * time.Millisecond
	// drainTime is how long calls under way on a link that is no longer used may take.
	drainTime = 10 * time.Second
	// maxTries is how many instances are asked for one work.
	maxTries = 4
)

// owners returns the instances that may gather for a place, the one whose turn it is first. All instances order
// them alike: those of the place's failure domain before the others, strong ones before weak ones, then by hash.
func (cl *Client) owners(at QueueKey) []member.Member {
	live := cl.members.Live()
	strongest := int64(0)
	for _, each := range live {
		strongest = max(strongest, each.MilliCores)
	}
	slices.SortFunc(live, func(left, right member.Member) int {
		return cmp.Or(
			first(left.FailureDomain == at.FailureDomain, right.FailureDomain == at.FailureDomain),
			first(isStrong(left, strongest), isStrong(right, strongest)),
			cmp.Compare(ownerWeight(at, right.ID), ownerWeight(at, left.ID)),
		)
	})
	return live
}

// isStrong reports whether an instance has at least half of the processor of the strongest: a gatherer works for all
// instances of its failure domain.
func isStrong(mb member.Member, strongest int64) bool {
	return 2*mb.MilliCores >= strongest
}

// first orders what holds before what does not.
func first(left, right bool) int {
	switch {
	case left == right:
		return 0
	case left:
		return -1
	}
	return 1
}

func ownerWeight(at QueueKey, id string) uint64 {
	return xxhash.Sum64String(at.Pool + "/" + at.FailureDomain + "/" + id)
}

// Run has the work done in the given failure domain, or in another when that one refuses, and waits for it.
func (cl *Client) Run(ctx context.Context, domain string, work Job) Result {
	refused := Refused{Cause: "no instance takes the items"}
	tried := map[string]bool{}
	for range maxTries {
		at := QueueKey{Pool: work.Pool, FailureDomain: domain}
		owner, found := cl.owner(at, tried)
		if !found {
			break
		}
		cl.submitted(at, work.Count)
		began := cl.timers.Now()
		result := cl.runAt(ctx, owner, at, work)
		cl.record(work, owner, at, result, cl.timers.Now().Sub(began))
		switch result := result.(type) {
		case Finished:
			return result
		case Refused:
			refused = result
			if result.FullPool != "" {
				return refused
			}
			if other, wait := cl.ShortestWait(work.Pool, domain, 0, JobClass{LowUrgency: true}); other != domain && cl.timers.Now().Add(wait).Before(work.Expires) {
				domain = other
				continue
			}
			return refused
		case Unfinished:
			work.MayHaveRun = work.MayHaveRun || result.MayHaveRun
			switch result.Cause {
			case causeSilent:
				tried[owner.ID] = true
			case causeMoved:
				cl.giveUp(ctx, at, result.Results)
				tried[owner.ID] = true
			case causeNoUpstream:
				other := cl.moveOn(ctx, at, result)
				if other == domain {
					return result
				}
				domain = other
			default:
				return result
			}
		}
		if ctx.Err() != nil {
			return Unfinished{Cause: ctx.Err().Error()}
		}
	}
	return refused
}

// giveUp frees the results of work that goes on elsewhere.
func (cl *Client) giveUp(ctx context.Context, at QueueKey, results []ItemResult) {
	made := []string{}
	for _, one := range results {
		if one.Handle != "" {
			made = append(made, one.Handle)
		}
	}
	if len(made) > 0 {
		cl.Release(ctx, at.Pool, at.FailureDomain, made)
	}
}

// moveOn gives up what was made at a place that has lost its upstreams, and returns the failure domain to go on in.
func (cl *Client) moveOn(ctx context.Context, at QueueKey, result Unfinished) string {
	cl.giveUp(ctx, at, result.Results)
	cl.learn(at.Pool, []*wire.PoolLoad{Load{DueSoonWait: batch.NoUpstreamWait, LowUrgencyWait: batch.NoUpstreamWait, LargeResultWait: batch.NoUpstreamWait}.toWire(at.FailureDomain)})
	other, _ := cl.ShortestWait(at.Pool, at.FailureDomain, 0, JobClass{LowUrgency: true})
	return other
}

func (cl *Client) record(work Job, owner member.Member, at QueueKey, result Result, took time.Duration) {
	outcome, detail := "Finished", ""
	switch result := result.(type) {
	case Finished:
	case Refused:
		outcome, detail = "Refused", result.Cause
	case Unfinished:
		outcome, detail = "Unfinished", result.Cause
	}
	cl.events.Record(&wire.Event{
		Kind: wire.EventKind_EventItemsHanded, RequestId: work.RequestID, Stage: work.Pool, Attempt: int64(work.Count),
		Outcome: outcome, DurationMicros: took.Microseconds(), Detail: "gatherer=" + owner.ID + " domain=" + at.FailureDomain + " " + detail,
	})
}

const (
	// causeSilent is the cause of work whose gatherer did not answer.
	causeSilent = "gatherer is silent"
	// causeNoUpstream is the cause of work at a place none of whose upstreams can be used.
	causeNoUpstream = "no usable upstream"
	// causeMoved is the cause of work that another instance is to gather.
	causeMoved = "another instance gathers"
)

// Owns reports whether this instance is the first to gather for a place.
func (cl *Client) Owns(at QueueKey) bool {
	owners := cl.owners(at)
	return len(owners) == 0 || owners[0].ID == cl.self
}

// owner returns the first gatherer of a place that is not silent; when all are, the own instance gathers.
func (cl *Client) owner(at QueueKey, tried map[string]bool) (member.Member, bool) {
	now := cl.timers.Now()
	own, found := member.Member{}, false
	for _, each := range cl.owners(at) {
		if each.ID == cl.self {
			own, found = each, true
		}
		cl.mu.Lock()
		silent := now.Before(cl.silent[each.ID])
		cl.mu.Unlock()
		if !silent && !tried[each.ID] {
			return each, true
		}
	}
	return own, found && !tried[cl.self]
}

func (cl *Client) link(address string) (Link, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if known := cl.links[address]; known != nil {
		return known, nil
	}
	fresh, err := cl.dialer(address)
	if err != nil {
		return nil, err
	}
	cl.links[address] = fresh
	return fresh, nil
}

// drop passes an instance over for a while and makes no more calls on its connection, which may be dead.
func (cl *Client) drop(owner member.Member) {
	cl.mu.Lock()
	known := cl.links[owner.Address]
	delete(cl.links, owner.Address)
	cl.silent[owner.ID] = cl.timers.Now().Add(silentFor)
	cl.mu.Unlock()
	cl.events.Record(&wire.Event{Kind: wire.EventKind_EventCallFailed, Detail: "gatherer " + owner.ID + " is silent"})
	if known != nil {
		cl.gatherer.parts.Go(func() {
			_ = cl.timers.Sleep(cl.gatherer.ctx, drainTime)
			_ = known.Close()
		})
	}
}

// Close ends all links.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, each := range cl.links {
		_ = each.Close()
	}
	cl.links = map[string]Link{}
}

// Release frees results that no one reads any more, in the background of the caller.
func (cl *Client) Release(ctx context.Context, pool, domain string, handles []string) {
	owner, found := cl.owner(QueueKey{Pool: pool, FailureDomain: domain}, nil)
	if !found || owner.ID == cl.self {
		cl.gatherer.Release(pool, handles)
		return
	}
	link, err := cl.link(owner.Address)
	if err != nil {
		cl.gatherer.Release(pool, handles)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if _, err := link.Release(ctx, &wire.ReleaseRequest{Pool: pool, Handles: handles}); err != nil {
		cl.gatherer.Release(pool, handles)
	}
}
