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

// newView returns the view of an instance "self" with count other members.
func newView(count int) *member.View {
	vw := member.New(named("self", 1, member.Alive), config, rand.New(rand.NewPCG(1, 2)), start)
	for at := range count {
		vw.Merge(start, []member.Member{named(fmt.Sprint("m", at), 1, member.Alive)})
	}
	return vw
}

// tickFor calls Tick once a second, without any heartbeat, and returns the last state of a member.
func tickFor(vw *member.View, id string, seconds int) member.Liveness {
	vw.Partners(start)
	state := member.Alive
	for second := range seconds {
		for _, change := range vw.Tick(start.Add(time.Duration(second+1) * time.Second)) {
			if change.Member.ID == id {
				state = change.Member.Liveness
			}
		}
	}
	return state
}

func TestFailureDetection(t *testing.T) {
	t.Run("a silent partner is suspected and then declared dead", func(t *testing.T) {
		must.Eq(t, member.Alive, tickFor(newView(1), "m0", 2))
		must.Eq(t, member.Suspect, tickFor(newView(1), "m0", 4))
		must.Eq(t, member.Dead, tickFor(newView(1), "m0", 9))
	})
	t.Run("an instance suspects no member after a pause of its own", func(t *testing.T) {
		vw := newView(3)
		vw.Partners(start)
		must.SliceEmpty(t, vw.Tick(start.Add(time.Minute)))
	})
	t.Run("the partners are distinct and limited by Config.Partners", func(t *testing.T) {
		seen := map[string]bool{}
		for _, partner := range newView(50).Partners(start) {
			seen[partner.ID] = true
		}
		must.MapLen(t, 4, seen)
	})
}

func TestMerge(t *testing.T) {
	t.Run("a higher incarnation overrides, then a higher liveness", func(t *testing.T) {
		vw := newView(1)
		must.Len(t, 1, vw.Merge(start, []member.Member{named("m0", 1, member.Suspect)}))
		must.SliceEmpty(t, vw.Merge(start, []member.Member{named("m0", 1, member.Alive)}))
		must.Len(t, 1, vw.Merge(start, []member.Member{named("m0", 2, member.Alive)}))
		must.SliceEmpty(t, vw.Merge(start, []member.Member{named("m0", 1, member.Dead)}))
	})
	t.Run("a report that this instance is dead is refuted", func(t *testing.T) {
		vw := newView(0)
		vw.Merge(start, []member.Member{named("self", 1, member.Dead)})
		must.Eq(t, 2, vw.Self().Incarnation)
		must.Eq(t, member.Alive, vw.Self().Liveness)
	})
	t.Run("views with the same live members have the same digest", func(t *testing.T) {
		first, second := newView(5), newView(5)
		must.Eq(t, first.Digest(), second.Digest())
		first.Merge(start, []member.Member{named("m3", 1, member.Dead)})
		must.NotEq(t, first.Digest(), second.Digest())
	})
	t.Run("the number of messages with a change is bounded", func(t *testing.T) {
		vw := newView(10)
		sent := 0
		for range 100 {
			sent += len(vw.TakeUpdates(16))
		}
		must.Between(t, 40, sent, 100)
	})
}
