package entry_test

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/ratelimit"
)

// rateLimit is what an upstream with a rate limit announced and received.
type rateLimit struct {
	upstream string
	// steps are the limits in their order; the first one is when the upstream began to announce any.
	steps []limitStep
	// firstAnnounced is when the first answer with a limit was returned, informedAt when each instance received one.
	firstAnnounced time.Time
	informedAt     map[*node]time.Time
	calls          []limitedCall
	// unreadable makes every second answer announce what is no number.
	unreadable bool
}

// limitStep is a limit from a time on, in requests per second; unlimited is none.
type limitStep struct {
	from      time.Time
	perSecond float64
}

const unlimited = -1

// limitedCall is a call that reached an upstream with a rate limit.
type limitedCall struct {
	at   time.Time
	from *node
	// converged reports that no fault of the instance was recent, informed that it had an answer of its own with the limit.
	converged, informed bool
}

const (
	// limitWindow is the time in which calls are counted; an upstream may receive limitTolerance times what its limit allows
	// in it, and limitExtra calls more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
	// informDelay is how long after its first answer with a limit the calls of an instance count.
	informDelay = 500 * time.Millisecond
	// inFlightTime is how long calls that were sent before a lower limit was announced may still arrive.
	inFlightTime = 500 * time.Millisecond
	// rounding allows for the error of sums.
	rounding = 1e-6
)

// setLimit makes an upstream announce a limit in its answers from now on, or none.
func (us *upstreamSet) setLimit(id string, perSecond float64) {
	us.mu.Lock()
	defer us.mu.Unlock()
	up := us.byID[id]
	if up.limit == nil {
		up.limit = &rateLimit{upstream: id, informedAt: map[*node]time.Time{}}
		us.limits = append(us.limits, up.limit)
	}
	up.limit.steps = append(up.limit.steps, limitStep{from: time.Now(), perSecond: perSecond})
}

// recordLimitedCall records a call that reached an upstream which has a rate limit, pauses or is leaving.
func (us *upstreamSet) recordLimitedCall(nd *node, up *upstream) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if up.standing != nil {
		up.standing.record(nd)
	}
	if up.limit == nil {
		return
	}
	informed := up.limit.informedAt[nd]
	up.limit.calls = append(up.limit.calls, limitedCall{
		at: time.Now(), from: nd, converged: nd.hasConverged(), informed: !informed.IsZero() && time.Since(informed) >= informDelay,
	})
}

// announceLimit announces in the answer to a call of an instance what the upstream says of itself.
func (us *upstreamSet) announceLimit(ctx context.Context, nd *node, up *upstream, isRejection bool) {
	us.mu.Lock()
	announced := ratelimit.Announcement(ratelimit.None{})
	if current := up.limit.current(time.Now()); current != unlimited {
		announced = ratelimit.Limit{PerSecond: current}
		if up.limit.firstAnnounced.IsZero() {
			up.limit.firstAnnounced = time.Now()
		}
		if up.limit.informedAt[nd].IsZero() {
			up.limit.informedAt[nd] = time.Now()
		}
	}
	if up.limit != nil && up.limit.unreadable && len(up.limit.calls)%2 == 0 {
		announced = ratelimit.Invalid{Text: "many"}
	}
	seen := notice.Notice{Limit: announced, IsRejection: isRejection}
	if up.standing != nil {
		up.standing.say(nd, &seen)
	}
	up.brittle.say(&seen)
	up.cold.say(&seen)
	us.mu.Unlock()
	if us.variant.hidesLimits {
		seen.Limit = ratelimit.None{}
	}
	notice.Observe(ctx, seen)
}

// current returns the limit at a time, or unlimited.
func (rl *rateLimit) current(at time.Time) float64 {
	perSecond := float64(unlimited)
	if rl == nil {
		return perSecond
	}
	for _, step := range rl.steps {
		if !step.from.After(at) {
			perSecond = step.perSecond
		}
	}
	return perSecond
}

// allowed returns how many calls the upstream may receive in the window that ends at a time, or false if it had no limit in a
// part of it, or had announced the limit for less than newsBound at its beginning.
func (rl *rateLimit) allowed(end time.Time) (float64, bool) {
	const slice = 10 * time.Millisecond
	total := 0.0
	if rl.firstAnnounced.IsZero() || end.Add(-limitWindow).Before(rl.firstAnnounced.Add(newsBound)) {
		return 0, false
	}
	for at := end.Add(-limitWindow); at.Before(end); at = at.Add(slice) {
		current := rl.current(at)
		if current == unlimited || rl.current(at.Add(-newsBound)) == unlimited {
			return 0, false
		}
		total += max(current, rl.current(at.Add(-inFlightTime))) * slice.Seconds()
	}
	return limitTolerance*total + limitExtra + rounding, true
}

// worst returns the largest number of calls in a window beyond those that are allowed, and how many they were. Calls of
// instances with a recent fault don't count; with onlyInformed neither do those of instances that got no answer with the limit.
func (rl *rateLimit) worst(onlyInformed bool) (excess float64, most int) {
	excess = math.Inf(-1)
	for last, end := range rl.calls {
		allowed, bounded := rl.allowed(end.at)
		if !bounded {
			continue
		}
		count := 0
		for first := last; first >= 0 && end.at.Sub(rl.calls[first].at) < limitWindow; first-- {
			if rl.calls[first].converged && (rl.calls[first].informed || !onlyInformed) {
				count++
			}
		}
		if float64(count)-allowed > excess {
			excess, most = float64(count)-allowed, count
		}
	}
	return excess, most
}

// between returns the number of calls from one time to another.
func (rl *rateLimit) between(from, until time.Time) int {
	count := 0
	for _, call := range rl.calls {
		if !call.at.Before(from) && call.at.Before(until) {
			count++
		}
	}
	return count
}

// use returns the part of the last limit that was used from newsBound after it was announced until a time.
func (rl *rateLimit) use(until time.Time) float64 {
	last := rl.steps[len(rl.steps)-1]
	from := last.from.Add(newsBound)
	return float64(rl.between(from, until)) / (last.perSecond * until.Sub(from).Seconds())
}

// checkLimits checks that no upstream received more calls than its rate limit allows.
func (us *upstreamSet) checkLimits() []string {
	wrong := []string{}
	for _, limit := range us.limits {
		if excess, most := limit.worst(false); excess > 0 {
			wrong = append(wrong, fmt.Sprintf("upstream %s received %d requests in %v, %.1f more than its rate limit allows", limit.upstream, most, limitWindow, excess))
		}
	}
	return wrong
}
