package gather

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/ranking"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Link is a connection to the batch service of another instance.
type Link interface {
	wire.BatchesClient
	Close() error
}

// Dialer opens a link to the address of an instance.
type Dialer func(address string) (Link, error)

// Members returns the live instances, this one included.
type Members interface {
	Live() []member.Member
}

// Client submits jobs to the instances that own their queues; it is safe for concurrent use.
type Client struct {
	self     string
	gatherer *Gatherer
	view     View
	members  Members
	dialer   Dialer
	timers   *timer.Service
	events   *timeline.Ring
	owners   ranking.Cache

	mu           sync.Mutex
	links        map[string]Link
	unresponsive map[string]time.Time
	loads        map[QueueKey]cachedLoad
	// upcoming holds, by queue, the items that its requests will submit to other pools.
	upcoming map[QueueKey]upcomingItems
}

// upcomingItems is a list of upcoming items and when it was updated.
type upcomingItems struct {
	items []PoolItems
	at    time.Time
}

// cachedLoad is the load of a queue and when it was measured.
type cachedLoad struct {
	Load
	at time.Time
}

// ClientParts are the dependencies of a Client.
type ClientParts struct {
	Self     string
	Gatherer *Gatherer
	View     View
	Members  Members
	Dialer   Dialer
	Timers   *timer.Service
	Events   *timeline.Ring
}

// NewClient returns a client with no cached loads.
func NewClient(parts ClientParts) *Client {
	return &Client{
		self: parts.Self, gatherer: parts.Gatherer, view: parts.View, members: parts.Members, dialer: parts.Dialer,
		timers: parts.Timers, events: parts.Events,
		links: map[string]Link{}, unresponsive: map[string]time.Time{}, loads: map[QueueKey]cachedLoad{}, upcoming: map[QueueKey]upcomingItems{},
	}
}

const (
	// acceptTimeout is how long an owner has to accept a job before another instance is tried.
	acceptTimeout = 220 * time.Millisecond
	// unresponsiveBackoff is how long an instance that did not respond in time is skipped.
	unresponsiveBackoff = 1500 * time.Millisecond
	// keepaliveTimeout is how long a stream may carry no message after a job was accepted; the owner sends a keepalive
	// every keepaliveInterval.
	keepaliveTimeout  = 700 * time.Millisecond
	keepaliveInterval = 250 * time.Millisecond
	// linkDrainTime is how long calls in flight may continue on a link that is no longer used.
	linkDrainTime = 10 * time.Second
	// maxAttempts is how many times one job is submitted.
	maxAttempts = 4
)

// rankedOwners returns the live instances, ranked as owners of a queue.
func (cl *Client) rankedOwners(key QueueKey) []member.Member {
	return cl.owners.Rank(cl.members.Live(), key.FailureDomain, key.Pool+"/"+key.FailureDomain)
}

// Run submits a job in the given failure domain and waits for its result. It tries another failure domain if that one
// refuses the job or has no usable upstream, and another instance if the owner does not respond or no longer owns the queue.
func (cl *Client) Run(ctx context.Context, domain string, job Job) Result {
	refused := Refused{Cause: "no responsive instance accepts the job"}
	tried := map[string]bool{}
	for range maxAttempts {
		key := QueueKey{Pool: job.Pool, FailureDomain: domain}
		owner, found := cl.findOwner(key, tried)
		if !found {
			break
		}
		cl.addSubmitted(key, job.Count)
		began := cl.timers.Now()
		result := cl.runAt(ctx, owner, key, job)
		cl.recordJob(job, owner, key, result, cl.timers.Now().Sub(began))
		switch result := result.(type) {
		case Finished:
			return result
		case Refused:
			refused = result
			if result.FullPool != "" {
				return refused
			}
			if other, wait := cl.ShortestWait(job.Pool, domain, 0, JobClass{LowUrgency: true}); other != domain && cl.timers.Now().Add(wait).Before(job.Expires) {
				domain = other
				continue
			}
			return refused
		case Unfinished:
			job.MayHaveRun = job.MayHaveRun || result.MayHaveRun
			switch result.Cause {
			case causeUnresponsive, causeIncomplete:
				tried[owner.ID] = true
			case causeNotOwner:
				cl.freeResults(ctx, key, result.Results)
				tried[owner.ID] = true
			case causeNoUpstream:
				other := cl.abandonDomain(ctx, key, result)
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

// freeResults frees the results of a job that is submitted again elsewhere.
func (cl *Client) freeResults(ctx context.Context, key QueueKey, results []ItemResult) {
	handles := []string{}
	for _, one := range results {
		if one.Handle != "" {
			handles = append(handles, one.Handle)
		}
	}
	if len(handles) > 0 {
		cl.Release(ctx, key.Pool, key.FailureDomain, handles)
	}
}

// abandonDomain frees the results made in a failure domain that has no usable upstream left, caches that state, and
// returns the failure domain with the shortest wait.
func (cl *Client) abandonDomain(ctx context.Context, key QueueKey, result Unfinished) string {
	cl.freeResults(ctx, key, result.Results)
	unusable := Load{DueSoonWait: batch.NoUpstreamWait, LowUrgencyWait: batch.NoUpstreamWait, LargeResultWait: batch.NoUpstreamWait, Slow: cl.cachedSlow(key)}
	cl.updateLoads(key.Pool, []*wire.PoolLoad{unusable.toWire(cl.timers.Now(), key.FailureDomain)})
	other, _ := cl.ShortestWait(key.Pool, key.FailureDomain, 0, JobClass{LowUrgency: true})
	return other
}

func (cl *Client) recordJob(job Job, owner member.Member, key QueueKey, result Result, took time.Duration) {
	outcome, detail := "Finished", ""
	switch result := result.(type) {
	case Finished:
	case Refused:
		outcome, detail = "Refused", result.Cause
	case Unfinished:
		outcome, detail = "Unfinished", result.Cause
	}
	cl.events.Record(&wire.Event{
		Kind: wire.EventKind_EventItemsHanded, RequestId: job.RequestID, Stage: job.Pool, Attempt: int64(job.Count),
		Outcome: outcome, DurationMicros: took.Microseconds(), Detail: "gatherer=" + owner.ID + " domain=" + key.FailureDomain + " " + detail,
	})
}

const (
	// causeUnresponsive is the cause if the owner of the queue did not respond.
	causeUnresponsive = "owner of the queue did not respond"
	// causeIncomplete is the cause if the owner's reply lacks the result of an item.
	causeIncomplete = "the owner's results are incomplete"
	// causeNoUpstream is the cause if no upstream of the queue is usable; peers compare this text.
	causeNoUpstream = "no usable upstream"
	// causeNotOwner is the cause if another instance owns the queue, or if this one is stopping and accepts no more jobs;
	// peers compare this text.
	causeNotOwner = "another instance gathers"
)

// Owns reports whether this instance ranks first among the owners of a queue.
func (cl *Client) Owns(key QueueKey) bool {
	owners := cl.rankedOwners(key)
	return len(owners) == 0 || owners[0].ID == cl.self
}

// findOwner returns the first owner of a queue that is neither unresponsive nor tried already. If there is none, it
// returns this instance unless that was tried.
func (cl *Client) findOwner(key QueueKey, tried map[string]bool) (member.Member, bool) {
	now := cl.timers.Now()
	own, found := member.Member{}, false
	for _, each := range cl.rankedOwners(key) {
		if each.ID == cl.self {
			own, found = each, true
		}
		cl.mu.Lock()
		unresponsive := now.Before(cl.unresponsive[each.ID])
		cl.mu.Unlock()
		if !unresponsive && !tried[each.ID] {
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

// markUnresponsive skips an instance for unresponsiveBackoff and abandons its connection, which may be dead.
func (cl *Client) markUnresponsive(owner member.Member) {
	cl.mu.Lock()
	known := cl.links[owner.Address]
	delete(cl.links, owner.Address)
	cl.unresponsive[owner.ID] = cl.timers.Now().Add(unresponsiveBackoff)
	cl.mu.Unlock()
	cl.events.Record(&wire.Event{Kind: wire.EventKind_EventCallFailed, Detail: fmt.Sprintf("instance %q did not respond to a call of the batch service", owner.ID)})
	if known != nil {
		cl.gatherer.background.Go(func() {
			_ = cl.timers.Sleep(cl.gatherer.ctx, linkDrainTime)
			_ = known.Close()
		})
	}
}

// Close closes all links.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, each := range cl.links {
		_ = each.Close()
	}
	cl.links = map[string]Link{}
}

// Release frees results through the owner of their queue, or directly if it is not reachable.
func (cl *Client) Release(ctx context.Context, pool, domain string, handles []string) {
	owner, found := cl.findOwner(QueueKey{Pool: pool, FailureDomain: domain}, nil)
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
