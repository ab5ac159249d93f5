package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/notice"
)

// standing is what an upstream says of a departure or a pause, and the calls that reached it in spite of that.
type standing struct {
	isLeaving  bool
	pauseUntil time.Time
	// toldAt is when each instance first had an answer that said that the upstream is leaving; late counts its calls that reached
	// the upstream more than leaveBound later.
	toldAt map[*node]time.Time
	late   int
	// pauses holds the pauses that each instance was asked for.
	pauses map[*node][]*pauseWindow
	// calls are the times of all calls.
	calls []time.Time
}

// pauseWindow is the time in which an upstream wants no calls of an instance, and how many came.
type pauseWindow struct {
	from, until time.Time
	calls       int
}

const (
	// pauseNotice is how long after the answer that asks for a pause calls may still arrive, maxCallsInPause how many may later.
	pauseNotice     = 500 * time.Millisecond
	maxCallsInPause = 2
	// rushTime is the time after a pause in which few calls may come, at most one in rushShare of the instances and rushExtra.
	rushTime  = 100 * time.Millisecond
	rushShare = 5
	rushExtra = 2
	// usedAgainWithin is how soon an upstream is used again after a pause or a new start.
	usedAgainWithin = 1500 * time.Millisecond
)

// rejects reports whether the upstream turns calls away; the caller holds the lock of the upstreams.
func (st *standing) rejects() bool {
	return st != nil && time.Now().Before(st.pauseUntil)
}

// say adds to an answer to an instance what the upstream says.
func (st *standing) say(nd *node, seen *notice.Notice) {
	now := time.Now()
	if st.isLeaving {
		seen.IsLeaving = true
		if st.toldAt[nd].IsZero() {
			st.toldAt[nd] = now
		}
	}
	if st.rejects() {
		seen.Pause = st.pauseUntil.Sub(now)
		st.pauses[nd] = append(st.pauses[nd], &pauseWindow{from: now.Add(pauseNotice), until: st.pauseUntil})
	}
}

// record records a call of an instance.
func (st *standing) record(nd *node) {
	now := time.Now()
	st.calls = append(st.calls, now)
	if told := st.toldAt[nd]; !told.IsZero() && now.Sub(told) > leaveBound {
		st.late++
	}
	for _, each := range st.pauses[nd] {
		if now.After(each.from) && now.Before(each.until) {
			each.calls++
		}
	}
}

// mostInPause returns the largest number of calls of one instance in a pause that it was asked for.
func (st *standing) mostInPause() int {
	most := 0
	for _, windows := range st.pauses {
		for _, each := range windows {
			most = max(most, each.calls)
		}
	}
	return most
}

// callsBetween returns the number of calls in a time.
func (st *standing) callsBetween(from, until time.Time) int {
	count := 0
	for _, at := range st.calls {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// stand changes what an upstream says of itself.
func (us *upstreamSet) stand(id string, change func(st *standing)) *standing {
	us.mu.Lock()
	defer us.mu.Unlock()
	up := us.byID[id]
	if up.standing == nil {
		up.standing = &standing{toldAt: map[*node]time.Time{}, pauses: map[*node][]*pauseWindow{}}
	}
	change(up.standing)
	return up.standing
}

const (
	// pauseLength is the length of the pauses, restartAt when leaving upstreams are started anew.
	pauseLength = 4 * time.Second
	restartAt   = 8 * time.Second
)

// standingRun is a run in which upstreams leave or pause without a change of their registration.
type standingRun struct {
	*limitRun
	// change is what the upstreams say, standings what they said and received, and endedAt when that ended.
	change    func(st *standing)
	standings []*standing
	endedAt   time.Time
}

// newStandingRun returns a run of a fleet, in which count upstreams of a pool change.
func newStandingRun(instances, count int, pool, path string, change func(st *standing)) *standingRun {
	sr := &standingRun{limitRun: newLimitRun(), change: change}
	sr.instances, sr.limited, sr.pool, sr.path, sr.leastUse, sr.countsFrom = instances, count, pool, path, 0, 0
	if instances > 8 && path != "/draft/" {
		sr.upstreams, sr.every, sr.atOnce = 20, 20*time.Millisecond, 3
	}
	sr.begin = func(lr *limitRun) {
		for number := range lr.limited {
			sr.standings = append(sr.standings, lr.soak.fleet.upstreams.stand(lr.limitedID(number), sr.change))
		}
	}
	return sr
}

// leave makes an upstream say that it is leaving; restart starts the run's upstreams anew later.
func leave(st *standing) { st.isLeaving = true }

func (sr *standingRun) restart(lr *limitRun, elapsed time.Duration) {
	if elapsed != restartAt {
		return
	}
	sr.endedAt = time.Now()
	us := lr.soak.fleet.upstreams
	for number := range lr.limited {
		id := lr.limitedID(number)
		us.mu.Lock()
		up := us.byID[id]
		us.mu.Unlock()
		us.register(id, up.Pool, up.FailureDomain)
		sr.standings = append(sr.standings, us.stand(id, func(*standing) {}))
	}
}

// askForPause makes an upstream turn all calls away for pauseLength.
func askForPause(st *standing) { st.pauseUntil = time.Now().Add(pauseLength) }

// assertStandingIsKept plays a run and checks that upstreams which leave or pause were left alone, and used again later.
func assertStandingIsKept(t *testing.T, sr *standingRun) {
	t.Helper()
	sr.play(t)
	late, most, firstUse, rush := 0, 0, 0, 0
	for _, st := range sr.standings {
		late, most = late+st.late, max(most, st.mostInPause())
		if !st.pauseUntil.IsZero() {
			sr.endedAt = st.pauseUntil
			rush = max(rush, st.callsBetween(sr.endedAt, sr.endedAt.Add(rushTime)))
		}
		firstUse += st.callsBetween(sr.endedAt, sr.endedAt.Add(usedAgainWithin))
	}
	t.Logf("answered %d, refused %d, failed %d; slowest refusal after %v; %d calls to leaving upstreams, at most %d in a pause, %d soon after the end",
		sr.answered, sr.refused, sr.failed, sr.slowest, late, most, firstUse)
	must.Zero(t, late, must.Sprint("calls to leaving upstreams"))
	must.LessEq(t, maxCallsInPause, most, must.Sprint("calls of one instance in a pause"))
	must.LessEq(t, rushExtra+sr.instances/rushShare, rush, must.Sprint("calls to one upstream at the end of its pause"))
	must.Positive(t, firstUse, must.Sprint("calls soon after the end"))
	must.Zero(t, sr.withoutTime, must.Sprint("refusals without a time to retry"))
	must.SliceEmpty(t, sr.soak.violations)
	must.SliceEmpty(t, sr.soak.fleet.upstreams.violations)
}

// minAnswered is the least part of the requests that are answered where another upstream serves.
const minAnswered = 0.99

func TestUpstreamsThatSayOfThemselves(t *testing.T) {
	changes := map[string]func(st *standing){"leaving": leave, "pausing": askForPause}
	routes := map[string]string{"/stream/": "model", "/lookup/": "plain", "/once/": "plain", "/draft/": "encode"}
	for _, instances := range []int{8, 77} {
		for word, change := range changes {
			for path, pool := range routes {
				t.Run(fmt.Sprint("one ", word, ", ", path, " at ", instances, " instances"), func(t *testing.T) {
					t.Parallel()
					sr := newStandingRun(instances, 1, pool, path, change)
					if word == "leaving" {
						sr.during = sr.restart
					}
					assertStandingIsKept(t, sr)
					must.GreaterEq(t, minAnswered*float64(sr.answered+sr.refused+sr.failed), float64(sr.answered))
				})
			}
		}
	}
}

// TestAllUpstreamsPause guards against requests that are held, or sent, while all upstreams want none.
func TestAllUpstreamsPause(t *testing.T) {
	for _, instances := range []int{8, 77} {
		for path, pool := range map[string]string{"/stream/": "model", "/lookup/": "plain", "/draft/": "encode"} {
			t.Run(fmt.Sprint(path, " at ", instances, " instances"), func(t *testing.T) {
				t.Parallel()
				sr := newStandingRun(instances, 4, pool, path, askForPause)
				sr.upstreams = 4
				assertStandingIsKept(t, sr)
				must.Positive(t, sr.refused)
			})
		}
	}
}
