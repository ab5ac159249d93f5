package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/member"
)

var start = time.Unix(1000, 0)

var config = member.Config{Heartbeat: time.Second, SuspectAfter: 3 * time.Second, DeadAfter: 5 * time.Second, Partners: 4}

func named(id string, incarnation uint64, liveness member.Liveness) member.Member {
	return member.Member{ID: id, Address: id, FailureDomain: "a", Incarnation: incarnation, Liveness: liveness}
}

// withTable makes the view of an instance "self" that knows count others.
func withTable(count int) *member.View {
	tb := member.New(named("self", 1, member.Alive), config, rand.New(rand.NewPCG(1, 2)), start)
	for at := range count {
		tb.Merge(start, []member.Member{named(fmt.Sprint("m", at), 1, member.Alive)})
	}
	return tb
}

// tickUntil ticks each second and returns the last state of a member, of which nothing is heard.
func tickUntil(tb *member.View, id string, seconds int) member.Liveness {
	tb.Partners(start)
	state := member.Alive
	for second := range seconds {
		for _, change := range tb.Tick(start.Add(time.Duration(second+1) * time.Second)) {
			if change.Member.ID == id {
				state = change.Member.Liveness
			}
		}
	}
	return state
}

func TestWatch(t *testing.T) {
	t.Run("a silent partner is suspected and then dead", func(t *testing.T) {
		must.Eq(t, member.Alive, tickUntil(withTable(1), "m0", 2))
		must.Eq(t, member.Suspect, tickUntil(withTable(1), "m0", 4))
		must.Eq(t, member.Dead, tickUntil(withTable(1), "m0", 9))
	})
	t.Run("an instance that stood still itself suspects nobody", func(t *testing.T) {
		tb := withTable(3)
		tb.Partners(start)
		must.SliceEmpty(t, tb.Tick(start.Add(time.Minute)))
	})
	t.Run("a member has at most so many partners, all different", func(t *testing.T) {
		seen := map[string]bool{}
		for _, partner := range withTable(50).Partners(start) {
			seen[partner.ID] = true
		}
		must.MapLen(t, 4, seen)
	})
}

func TestMerge(t *testing.T) {
	t.Run("a higher incarnation wins, then a worse state", func(t *testing.T) {
		tb := withTable(1)
		must.Len(t, 1, tb.Merge(start, []member.Member{named("m0", 1, member.Suspect)}))
		must.SliceEmpty(t, tb.Merge(start, []member.Member{named("m0", 1, member.Alive)}))
		must.Len(t, 1, tb.Merge(start, []member.Member{named("m0", 2, member.Alive)}))
		must.SliceEmpty(t, tb.Merge(start, []member.Member{named("m0", 1, member.Dead)}))
	})
	t.Run("a claim that this instance is gone is refuted", func(t *testing.T) {
		tb := withTable(0)
		tb.Merge(start, []member.Member{named("self", 1, member.Dead)})
		must.Eq(t, 2, tb.Self().Incarnation)
		must.Eq(t, member.Alive, tb.Self().Liveness)
	})
	t.Run("views with the same live members have the same digest", func(t *testing.T) {
		first, second := withTable(5), withTable(5)
		must.Eq(t, first.Digest(), second.Digest())
		first.Merge(start, []member.Member{named("m3", 1, member.Dead)})
		must.NotEq(t, first.Digest(), second.Digest())
	})
	t.Run("a change is passed on a bounded number of times", func(t *testing.T) {
		tb := withTable(10)
		sent := 0
		for range 100 {
			sent += len(tb.TakeUpdates(16))
		}
		must.Between(t, 40, sent, 100)
	})
}
