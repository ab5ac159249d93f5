package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/roster"
)

var start = time.Unix(1000, 0)

// engines returns upstreams spread over three failure domains.
func engines(count int) []*roster.Upstream {
	list := []*roster.Upstream{}
	for at := range count {
		list = append(list, &roster.Upstream{ID: fmt.Sprintf("e%d", at), Slots: 64, FailureDomain: []string{"a", "b", "c"}[at%3]})
	}
	return list
}

func criteria(session uint64) placement.Criteria {
	return placement.Criteria{Session: session, SharedTokens: 6300, PromptTokens: 2890, Slack: 600 * time.Millisecond}
}

func pick(t *testing.T, pool *placement.Pool, now time.Time, list []*roster.Upstream, needs placement.Criteria) *roster.Upstream {
	t.Helper()
	choice, found := pool.Pick(now, list, needs)
	must.True(t, found)
	return choice.Upstream
}

func serve(pool *placement.Pool, now time.Time, up *roster.Upstream, took time.Duration) {
	pool.RecordStart(up.Incarnation(), 100)
	pool.RecordFirstByte(now, up.Incarnation(), 100, took, 60*time.Millisecond)
	pool.RecordEnd(now, up.Incarnation(), 100, true, placement.Served)
}

func TestSessions(t *testing.T) {
	list := engines(9)
	t.Run("all instances pick the same engine for a session", func(t *testing.T) {
		for session := range uint64(50) {
			first := pick(t, placement.New(time.Millisecond), start, list, criteria(session+1))
			must.Eq(t, first, pick(t, placement.New(time.Millisecond), start, list, criteria(session+1)))
		}
	})
	t.Run("sessions are spread over the engines", func(t *testing.T) {
		counts := map[string]int{}
		for session := range uint64(900) {
			counts[pick(t, placement.New(time.Millisecond), start, list, criteria(session*977+1)).ID]++
		}
		for _, up := range list {
			must.Between(t, 50, counts[up.ID], 160)
		}
	})
	t.Run("no session of another engine moves when an engine is lost", func(t *testing.T) {
		moved := 0
		for session := range uint64(300) {
			before := pick(t, placement.New(time.Millisecond), start, list, criteria(session*31+1))
			after := pick(t, placement.New(time.Millisecond), start, list[1:], criteria(session*31+1))
			if before != after && before != list[0] {
				moved++
			}
		}
		must.Zero(t, moved)
	})
}

// TestHotSession guards against prompts queueing at one engine while a session gets more traffic than it can process.
func TestHotSession(t *testing.T) {
	list := engines(9)
	pool := placement.New(10 * time.Millisecond)
	used := map[string]int{}
	for range 30 {
		up := pick(t, pool, start, list, criteria(7))
		pool.RecordStart(up.Incarnation(), 2890)
		used[up.ID]++
	}
	must.Greater(t, 2, len(used), must.Sprint("prompts must not queue up at one engine"))
}

// TestSlowEngine guards against sending on to an engine that responds five times slower than the others.
func TestSlowEngine(t *testing.T) {
	list := engines(3)
	pool := placement.New(60 * time.Millisecond)
	counts := map[string]int{}
	for at := range 200 {
		now := start.Add(time.Duration(at) * 20 * time.Millisecond)
		up := pick(t, pool, now, list, placement.Criteria{FailureDomain: "a"})
		counts[up.ID]++
		took := 60 * time.Millisecond
		if up.ID == "e0" {
			took = 300 * time.Millisecond
		}
		serve(pool, now, up, took)
	}
	must.Less(t, 30, counts["e0"])
	t.Run("it is tried again once its observations have decayed", func(t *testing.T) {
		later := start.Add(time.Minute)
		seen := map[string]bool{}
		for range 20 {
			up := pick(t, pool, later, list, placement.Criteria{FailureDomain: "a"})
			seen[up.ID] = true
			serve(pool, later, up, 60*time.Millisecond)
		}
		must.True(t, seen["e0"])
	})
}

// TestFailingEngine guards against sending on to an upstream that looks idle but fails half of its requests.
func TestFailingEngine(t *testing.T) {
	list := engines(3)
	pool := placement.New(60 * time.Millisecond)
	failed := 0
	for at := range 200 {
		now := start.Add(time.Duration(at) * 20 * time.Millisecond)
		up := pick(t, pool, now, list, placement.Criteria{FailureDomain: "a"})
		if up.ID == "e0" && at%2 == 0 {
			failed++
			pool.RecordStart(up.Incarnation(), 0)
			pool.RecordEnd(now, up.Incarnation(), 0, false, placement.Failed)
			continue
		}
		serve(pool, now, up, 60*time.Millisecond)
	}
	must.Less(t, 15, failed)
}

func TestUnreachableUpstream(t *testing.T) {
	list := engines(2)
	pool := placement.New(time.Millisecond)
	out := list[0]
	pool.RecordStart(out.Incarnation(), 0)
	pool.RecordEnd(start, out.Incarnation(), 0, false, placement.Unreachable)
	t.Run("is ejected for a while", func(t *testing.T) {
		for range 5 {
			must.NotEq(t, out.ID, pick(t, pool, start, list, placement.Criteria{}).ID)
		}
	})
	t.Run("a new incarnation is not ejected", func(t *testing.T) {
		restarted := *out
		restarted.StartUnixMs = 7
		must.Eq(t, out.ID, pick(t, pool, start, []*roster.Upstream{&restarted}, placement.Criteria{}).ID)
	})
	t.Run("none is found when all are ejected or excluded", func(t *testing.T) {
		_, found := pool.Pick(start, list, placement.Criteria{Exclude: []roster.Incarnation{list[1].Incarnation()}})
		must.False(t, found)
	})
}

func TestInputLocality(t *testing.T) {
	list := engines(9)
	needs := placement.Criteria{Session: 3, SharedTokens: 172, PromptTokens: 500, Slack: time.Second, FailureDomain: "b", InputBytes: 9e6}
	must.Eq(t, "b", pick(t, placement.New(time.Millisecond), start, list, needs).FailureDomain, must.Sprint("large results outweigh a short prompt"))
	needs.InputBytes, needs.SharedTokens = 1000, 6300
	first, _ := placement.New(time.Millisecond).Preferred(list, 3)
	must.Eq(t, first, pick(t, placement.New(time.Millisecond), start, list, needs), must.Sprint("a long cached prompt outweighs small results"))
}

func BenchmarkPick(b *testing.B) {
	list := engines(150)
	pool := placement.New(time.Millisecond)
	for b.Loop() {
		pool.Pick(start, list, criteria(7))
	}
}

// TestMaxInFlight guards against requests piling up at engines that accept connections but do not respond.
func TestMaxInFlight(t *testing.T) {
	list := engines(3)
	pool := placement.New(time.Millisecond)
	needs := placement.Criteria{MaxInFlight: 5}
	counts := map[string]int{}
	for range 15 {
		up := pick(t, pool, start, list, needs)
		pool.RecordStart(up.Incarnation(), 0)
		counts[up.ID]++
	}
	t.Run("no engine gets more connections than the limit", func(t *testing.T) {
		must.Eq(t, map[string]int{"e0": 5, "e1": 5, "e2": 5}, counts)
	})
	t.Run("none is found while all are at the limit", func(t *testing.T) {
		_, found := pool.Pick(start, list, needs)
		must.False(t, found)
	})
	t.Run("the end of a request frees a connection", func(t *testing.T) {
		pool.RecordEnd(start, list[1].Incarnation(), 0, false, placement.Abandoned)
		must.Eq(t, "e1", pick(t, pool, start, list, needs).ID)
	})
}
