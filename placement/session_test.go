package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/roster"
)

// makeHot records demand for several engines and returns the choice that follows it.
func makeHot(t *testing.T, pool *placement.Pool, list []*roster.Upstream, needs placement.Criteria) placement.Choice {
	t.Helper()
	choice := placement.Choice{}
	for range 60 {
		next, found := pool.Pick(start, list, needs)
		must.True(t, found)
		choice = next
	}
	return choice
}

// TestEnginesOfSession guards against requests of a session with much demand that go to engines without its parts.
func TestEnginesOfSession(t *testing.T) {
	list := engines(30)
	needs := criteria(7)
	pool := placement.New(10 * time.Millisecond)
	choice := makeHot(t, pool, list, needs)
	must.Between(t, 3, choice.Engines, 4)
	t.Run("they are the first in the order, the least loaded first", func(t *testing.T) {
		needs.IsRepeated = true
		counts := make([]int, choice.Engines)
		for range 2 * choice.Engines {
			next, _ := pool.Pick(start, list, needs)
			must.Less(t, choice.Engines, next.Order)
			counts[next.Order]++
			pool.RecordStart(next.Upstream.Incarnation(), 100)
		}
		for _, count := range counts {
			must.Eq(t, 2, count)
		}
	})
	t.Run("the overflow goes to the next in the order, and that one is used from then on", func(t *testing.T) {
		for {
			next, _ := pool.Pick(start, list, needs)
			if next.Order >= next.Engines {
				must.Eq(t, next.Engines, next.Order)
				must.Eq(t, 1, pool.ReplicatedSessions(start))
				after, _ := pool.Pick(start, list, needs)
				must.Greater(t, next.Engines, after.Engines)
				return
			}
			pool.RecordStart(next.Upstream.Incarnation(), 2890)
		}
	})
}

// TestSentSession guards against a choice of the next engine in the order although this instance has had the parts cached by
// another one.
func TestSentSession(t *testing.T) {
	list := engines(30)
	needs := criteria(7)
	pool := placement.New(10 * time.Millisecond)
	makeHot(t, pool, list, needs)
	needs.IsRepeated = true
	order := []*roster.Upstream{}
	for range list {
		pinned := needs
		pinned.Pinned = true
		for _, up := range order {
			pinned.Exclude = append(pinned.Exclude, up.Incarnation())
		}
		order = append(order, pick(t, pool, start, list, pinned))
	}
	near, far := order[10], order[13]
	for _, up := range list {
		if up != near && up != far {
			needs.Exclude = append(needs.Exclude, up.Incarnation())
		}
	}
	must.Eq(t, near.ID, pick(t, pool, start, list, needs).ID)
	pool.RecordSent(start, far.Incarnation(), needs.Session)
	must.Eq(t, far.ID, pick(t, pool, start, list, needs).ID)
	t.Run("a request that was not executed caches nothing", func(t *testing.T) {
		pool.RecordNotRun(far.Incarnation(), needs.Session, placement.Served)
		must.Eq(t, far.ID, pick(t, pool, start, list, needs).ID)
		pool.RecordNotRun(far.Incarnation(), needs.Session, placement.Rejected)
		must.Eq(t, near.ID, pick(t, pool, start, list, needs).ID)
	})
	t.Run("an engine that is gone has no parts when its id returns", func(t *testing.T) {
		pool.RecordSent(start, far.Incarnation(), needs.Session)
		pool.Prune([]*roster.Upstream{near})
		must.Eq(t, near.ID, pick(t, pool, start, list, needs).ID)
	})
}

// TestServiceTime guards against a number of engines that ignores how long requests take the slots of an engine.
func TestServiceTime(t *testing.T) {
	list := engines(30)
	for _, up := range list {
		up.Slots = 8
	}
	needs := placement.Criteria{Session: 7, SharedTokens: 6300, PromptTokens: 100, Slack: time.Minute}
	run := func(took time.Duration) int {
		pool, choice := placement.New(10*time.Millisecond), placement.Choice{}
		for range 100 {
			pool.RecordServiceTime(took)
		}
		for at := range 200 {
			choice, _ = pool.Pick(start.Add(time.Duration(at)*100*time.Millisecond), list, needs)
		}
		return choice.Engines
	}
	must.Eq(t, 1, run(200*time.Millisecond))
	must.Between(t, 7, run(3*time.Second), 9)
}

// BenchmarkSessions measures a decision with many engines and sessions, some of which have much demand.
func BenchmarkSessions(b *testing.B) {
	list := engines(140)
	pool := placement.New(time.Millisecond)
	needs, at := criteria(1), 0
	needs.Instances = 85
	for b.Loop() {
		at++
		needs.Session = uint64(1 + at%1000)
		if at%4 == 0 {
			needs.Session = 1
		}
		now := start.Add(time.Duration(at) * 5 * time.Millisecond)
		choice, _ := pool.Pick(now, list, needs)
		pool.RecordSent(now, choice.Upstream.Incarnation(), needs.Session)
	}
}
