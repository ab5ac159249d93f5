package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// RateLimiter keeps the requests to an upstream within what it has said: the rate that it accepts from all instances, and a pause.
type RateLimiter interface {
	// Acquire waits until a request may be sent, at most maxWait, and returns the function to call with what its answer
	// announces. The error is ratelimit.Exceeded or that of ctx; then the request must not be sent.
	Acquire(ctx context.Context, upstream *roster.Upstream, maxWait time.Duration) (func(notice.Notice), error)
	// Limits returns the limits in force, in requests per second, those of cold upstreams included.
	Limits() map[roster.Incarnation]float64
	// Pauses returns until when upstreams want no requests of this instance.
	Pauses() map[roster.Incarnation]time.Time
	// Avoided returns until when upstreams want no requests of some instance.
	Avoided() map[roster.Incarnation]time.Time
	// Cold returns the upstreams whose requests are limited because they are cold, with the ends of their cold times.
	Cold() map[roster.Incarnation]time.Time
}

const (
	// resumePermitWait is how long an interrupted stream waits for an upstream whose rate limit is used up.
	resumePermitWait = time.Second
	// maxLimitedRetryAfter bounds the delay after which a caller is asked to retry if the rate limits of all upstreams are used up.
	maxLimitedRetryAfter = 10 * time.Second
	// returnInterval is the least time between two callers who are asked to retry, so that not all come at one moment.
	returnInterval = 10 * time.Millisecond
	// neverWarm stands for upstreams whose limit does not end with a cold time; it is longer than any wait for a permit.
	neverWarm = 24 * time.Hour
)

// pick selects an upstream and returns how long its permit may be waited for: not at all while another upstream may be tried.
// Once none is left, it selects the one whose rate limit first allows another request, if that is soon enough.
func (rn *run) pick(criteria placement.Criteria, mayWait bool) (placement.Choice, time.Duration, bool) {
	list := rn.Catalog.Upstreams(rn.pool.Name, "")
	if choice, found := rn.Pools.pick(rn.pool.Name, list, criteria, criteria.PromptTokens); found {
		return choice, 0, true
	}
	if !mayWait {
		return placement.Choice{}, 0, false
	}
	choice, wait, found := rn.Pools.pickLimited(rn.pool.Name, list, criteria)
	allowed := rn.permitPatience(choice)
	if !found || wait > allowed {
		return placement.Choice{}, 0, false
	}
	rn.Pools.start(rn.pool.Name, choice, criteria.PromptTokens)
	return choice, allowed, true
}

// permitPatience returns how long the request may wait for a permit: until its first byte would be late or, while its answer
// is interrupted, for a fixed time. At a cold upstream this time is divided by the rank plus 1, so that less urgent requests wait for less:
// a permit is reserved when the wait for it begins, and the later permits are left to more urgent requests of all instances.
func (rn *run) permitPatience(choice placement.Choice) time.Duration {
	now := rn.Timers.Now()
	if rn.response.IsBegun() {
		return min(resumePermitWait, rn.deadline.Sub(now))
	}
	patience := min(rn.targetAt.Sub(now)-choice.ExpectedLatency, rn.deadline.Sub(now)-minTimeToSend)
	if choice.Upstream != nil && now.Before(rn.Limits.Cold()[choice.Upstream.Incarnation()]) {
		patience /= time.Duration(max(rn.rank, 0) + 1)
	}
	return patience
}

// acquire waits until the request may be sent to an upstream. It returns nil if the rate limit does not allow it, or if the
// request may no longer be sent there.
func (rn *run) acquire(ctx context.Context, choice placement.Choice, criteria placement.Criteria, maxWait time.Duration) func(notice.Notice) {
	incarnation := choice.Upstream.Incarnation()
	answered, err := rn.Limits.Acquire(ctx, choice.Upstream, maxWait)
	exceeded := ratelimit.Exceeded{}
	if errors.As(err, &exceeded) {
		rn.Pools.withPlacement(rn.pool.Name, func(now time.Time, known *placement.Pool) {
			known.RecordLimited(incarnation, now.Add(exceeded.RetryAfter))
		})
		rn.Events.Record(&wire.Event{
			Kind: wire.EventKind_EventPermitDenied, RequestId: rn.request.ID, Upstream: choice.Upstream.ID, Stage: rn.pool.Name,
			DurationMicros: exceeded.RetryAfter.Microseconds(), Detail: fmt.Sprintf("pause=%t", exceeded.IsPause),
		})
	}
	if err != nil || !rn.Catalog.IsUsable(incarnation) || rn.checkDeadline(ctx) != nil || rn.checkParts() != nil {
		rn.recordAttemptEnd(choice, criteria, false, placement.Abandoned)
		return nil
	}
	return answered
}

// unavailableOutcome returns the outcome of a request for which there is no upstream left to try now.
func (rn *run) unavailableOutcome(criteria placement.Criteria) Outcome {
	if rn.audit.Executions() == 0 && rn.isEvacuated() {
		return rn.refuseEvacuated(rn.pool.Name)
	}
	if rn.origin != nil && rn.audit.Executions() == 0 && !rn.hasOriginLeft() {
		return rn.refuse(rn.originRetryAfter(), VersionGone, rn.originDetail())
	}
	list := rn.Catalog.Upstreams(rn.pool.Name, "")
	_, wait, limited := rn.Pools.pickLimited(rn.pool.Name, list, criteria)
	if !limited || rn.audit.Executions() > 0 {
		return rn.noUpstreamOutcome()
	}
	after := rn.Pools.retryAfterLimited(rn.pool.Name, wait, rn.acceptedRate(list), rn.warmIn(list))
	if rn.isPoolPaused() {
		return rn.refuse(after, UpstreamsPaused, fmt.Sprintf("the upstreams want no requests for %dms", wait.Milliseconds()))
	}
	return rn.refuse(after, RateLimited, fmt.Sprintf("the rate limits of the upstreams are used up for %dms", wait.Milliseconds()))
}

// acceptedRate returns how many requests per second upstreams accept by their rate limits; one that pauses and has none accepts
// all after its pause.
func (rn *run) acceptedRate(list []*roster.Upstream) float64 {
	total, limits, pauses := 0.0, rn.Limits.Limits(), rn.Limits.Pauses()
	for _, up := range list {
		limit, limited := limits[up.Incarnation()]
		if _, paused := pauses[up.Incarnation()]; paused && !limited {
			return math.Inf(1)
		}
		total += limit
	}
	return total
}

// warmIn returns the time until the first of the listed upstreams is no longer cold and needs no permits, or neverWarm if one of them is
// limited for another reason than being cold.
func (rn *run) warmIn(list []*roster.Upstream) time.Duration {
	first, cold, now := neverWarm, rn.Limits.Cold(), rn.Timers.Now()
	for _, up := range list {
		until, isCold := cold[up.Incarnation()]
		if !isCold {
			return neverWarm
		}
		first = min(first, max(until.Sub(now), 0))
	}
	return first
}

// isPoolPaused reports whether all upstreams of the pool want no requests of this instance.
func (rn *run) isPoolPaused() bool {
	left, paused := rn.pauseLeft()
	return paused && left > 0
}

// pauseLeft returns the time until the first upstream of the pool accepts requests again, or false if one of them does not pause.
func (rn *run) pauseLeft() (time.Duration, bool) {
	pauses, now := rn.Limits.Pauses(), rn.Timers.Now()
	list := rn.Catalog.Upstreams(rn.pool.Name, "")
	if len(pauses) == 0 || len(list) == 0 {
		return 0, false
	}
	first := time.Duration(math.MaxInt64)
	for _, up := range list {
		until, paused := pauses[up.Incarnation()]
		if !paused || !now.Before(until) {
			return 0, false
		}
		first = min(first, until.Sub(now))
	}
	return first, true
}

// permitWait returns the expected wait for an upstream that accepts the request if all of the pool pause or have a rate limit,
// or 0.
func (rn *run) permitWait() time.Duration {
	if left, paused := rn.pauseLeft(); paused {
		return left
	}
	limits, pauses, now := rn.Limits.Limits(), rn.Limits.Pauses(), rn.Timers.Now()
	if len(limits) == 0 {
		return 0
	}
	accepting := []*roster.Upstream{}
	for _, up := range rn.Catalog.Upstreams(rn.pool.Name, "") {
		if now.Before(pauses[up.Incarnation()]) {
			continue
		}
		if _, limited := limits[up.Incarnation()]; !limited {
			return 0
		}
		accepting = append(accepting, up)
	}
	if len(accepting) == 0 {
		return 0
	}
	return min(rn.Pools.permitWait(rn.pool.Name, rn.acceptedRate(accepting)), rn.warmIn(accepting))
}

// pickLimited returns the upstream whose rate limit first allows another request, and how long that takes.
func (pl *Pools) pickLimited(pool string, list []*roster.Upstream, criteria placement.Criteria) (placement.Choice, time.Duration, bool) {
	choice, wait, found := placement.Choice{}, time.Duration(0), false
	pl.withPlacement(pool, func(now time.Time, known *placement.Pool) {
		choice, wait, found = known.PickLimited(now, list, criteria)
	})
	return choice, wait, found
}

// start records the start of a request on an upstream.
func (pl *Pools) start(pool string, choice placement.Choice, tokens int) {
	pl.withPlacement(pool, func(_ time.Time, known *placement.Pool) { known.RecordStart(choice.Upstream.Incarnation(), tokens) })
}

// enter counts a request of a pool that will need a permit, and returns the function to call once it has one or has ended.
func (pl *Pools) enter(pool string) func() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.unsent[pool]++
	return sync.OnceFunc(func() {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		pl.unsent[pool]--
	})
}

// share returns the time in which this instance's share of a rate, in requests per second, allows so many requests.
func (pl *Pools) share(requests int, perSecond float64) time.Duration {
	if requests == 0 {
		return 0
	}
	seconds := float64(requests) * float64(max(pl.liveInstances(), 1)) / perSecond
	return time.Duration(min(seconds, maxLimitedRetryAfter.Seconds()) * float64(time.Second))
}

// permitWait returns the expected wait for a permit behind the requests of this instance that will need one.
func (pl *Pools) permitWait(pool string, perSecond float64) time.Duration {
	pl.mu.Lock()
	waiting := pl.unsent[pool]
	pl.mu.Unlock()
	return pl.share(waiting, perSecond)
}

// retryAfterLimited returns after what time a caller is asked to retry if the rate limits of a pool's upstreams are used up for
// wait. Callers are asked to return one after the other, at this instance's share of the limits, and returnInterval apart once
// the first upstream has become warm after warmIn and is no longer limited.
func (pl *Pools) retryAfterLimited(pool string, wait time.Duration, perSecond float64, warmIn time.Duration) time.Duration {
	each := max(pl.share(1, perSecond), returnInterval)
	now := pl.timers.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	at := now.Add(wait)
	if next := pl.nextReturn[pool]; next.After(at) {
		at = next
	}
	pl.nextReturn[pool] = timer.Earlier(at.Add(each), timer.Later(at, now.Add(warmIn)).Add(returnInterval))
	return min(at.Sub(now), maxLimitedRetryAfter)
}
