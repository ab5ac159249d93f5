package roster_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/roster"
)

var start = time.Unix(1000, 0)

func registered(ids ...string) *roster.Roster {
	rs := roster.New()
	for _, id := range ids {
		rs.Put(roster.Upstream{ID: id, Pool: "p", StartUnixMs: 5})
	}
	return rs
}

func assertUsable(t *testing.T, rs *roster.Roster, want ...string) {
	t.Helper()
	ids := []string{}
	for _, up := range rs.Snapshot().Usable("p") {
		ids = append(ids, up.ID)
	}
	must.SliceContainsAll(t, ids, want)
}

func TestLeaving(t *testing.T) {
	rs := registered("a", "b")
	rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5, Leaving: true})
	assertUsable(t, rs, "b")
	must.False(t, rs.Snapshot().IsUsable(roster.Incarnation{ID: "a", StartUnixMs: 5}))
	must.NotNil(t, rs.Snapshot().Find("a"))
}

func TestIncarnations(t *testing.T) {
	t.Run("a restart under the same id is another incarnation", func(t *testing.T) {
		rs := registered("a")
		rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 9})
		must.False(t, rs.Snapshot().IsUsable(roster.Incarnation{ID: "a", StartUnixMs: 5}))
		must.True(t, rs.Snapshot().IsUsable(roster.Incarnation{ID: "a", StartUnixMs: 9}))
	})
	t.Run("a late registration of an earlier incarnation is ignored", func(t *testing.T) {
		rs := registered("a")
		rs.Put(roster.Upstream{ID: "a", Pool: "q", StartUnixMs: 3})
		assertUsable(t, rs, "a")
	})
}

func TestRemoval(t *testing.T) {
	t.Run("takes effect at once while the store is available", func(t *testing.T) {
		rs := registered("a", "b")
		rs.Remove(start, "a")
		assertUsable(t, rs, "b")
	})
	t.Run("after an outage, there is one grace period, which starts when the store has recovered", func(t *testing.T) {
		rs := registered("a", "b")
		rs.StoreUnavailable(start)
		rs.StoreRecovered(start.Add(4 * time.Second))
		rs.Remove(start.Add(4*time.Second), "a")
		rs.Remove(start.Add(4*time.Second), "b")
		assertUsable(t, rs, "a", "b")
		rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5})
		must.SliceEmpty(t, rs.Expire(start.Add(5*time.Second)))
		must.Eq(t, []string{"b"}, rs.Expire(rs.NextExpiry()))
		assertUsable(t, rs, "a")
		rs.Remove(start.Add(7*time.Second), "a")
		assertUsable(t, rs)
	})
	t.Run("a leaving upstream gets no grace period", func(t *testing.T) {
		rs := registered("a")
		rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5, Leaving: true})
		rs.StoreUnavailable(start)
		rs.StoreRecovered(start.Add(4 * time.Second))
		rs.Remove(start.Add(4*time.Second), "a")
		must.Nil(t, rs.Snapshot().Find("a"))
	})
	t.Run("a removal that arrives late has only the rest of the grace period", func(t *testing.T) {
		rs := registered("a")
		rs.StoreUnavailable(start)
		rs.StoreRecovered(start.Add(4 * time.Second))
		rs.Remove(start.Add(5500*time.Millisecond), "a")
		must.LessEq(t, 6*time.Second, rs.NextExpiry().Sub(start), must.Sprint("lapsed registrations expire within two seconds of the store's recovery"))
		must.Eq(t, []string{"a"}, rs.Expire(start.Add(6*time.Second)))
	})
	t.Run("the grace period of another instance applies too", func(t *testing.T) {
		rs := registered("a")
		rs.ExtendGrace(start.Add(time.Second))
		rs.Remove(start, "a")
		assertUsable(t, rs, "a")
		must.SliceEmpty(t, rs.Expire(start.Add(time.Second)))
		must.Eq(t, []string{"a"}, rs.Expire(start.Add(2*time.Second)))
	})
}

// TestRestoredRegistrations guards against upstreams that are used again since an older copy of the store has their registrations.
func TestRestoredRegistrations(t *testing.T) {
	copied := roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5}
	t.Run("a removed upstream is used again only if the platform does not remove it", func(t *testing.T) {
		rs := registered("a", "b")
		rs.Remove(start, "a")
		rs.StoreRestored(start.Add(time.Second))
		rs.PutRestored(start.Add(time.Second), copied, false)
		assertUsable(t, rs, "b")
		must.Eq(t, []string{"a"}, rs.Expire(rs.NextExpiry()))
		assertUsable(t, rs, "a", "b")
	})
	t.Run("a removed upstream that registers again is used at once", func(t *testing.T) {
		rs := registered("a")
		rs.Remove(start, "a")
		rs.PutRestored(start, copied, false)
		rs.Put(copied)
		assertUsable(t, rs, "a")
	})
	t.Run("a removed upstream that is removed again gets no grace period", func(t *testing.T) {
		rs := registered("a")
		rs.Remove(start, "a")
		rs.StoreRestored(start)
		rs.PutRestored(start, copied, false)
		rs.Remove(start.Add(time.Second), "a")
		must.True(t, rs.NextExpiry().IsZero())
	})
	t.Run("an incarnation that came and went unseen before the copy was put back is not used", func(t *testing.T) {
		rs := registered("b")
		rs.StoreRestored(start)
		rs.PutRestored(start, copied, true)
		assertUsable(t, rs, "b")
		rs.PutRestored(start, roster.Upstream{ID: "c", Pool: "p"}, false)
		assertUsable(t, rs, "b", "c")
		must.Eq(t, []string{"a"}, rs.Expire(rs.NextExpiry()))
		assertUsable(t, rs, "a", "b", "c")
	})
	t.Run("a leaving upstream is still leaving", func(t *testing.T) {
		rs := registered("a")
		rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5, Leaving: true})
		rs.PutRestored(start, copied, false)
		assertUsable(t, rs)
	})
	t.Run("an upstream that is warm does not become cold again", func(t *testing.T) {
		rs := registered("a")
		rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5, WarmAt: start.Add(-time.Minute)})
		rs.PutRestored(start, roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 5, WarmAt: start.Add(3 * time.Second)}, false)
		must.Eq(t, start.Add(-time.Minute), rs.Snapshot().Find("a").WarmAt)
	})
	t.Run("a later incarnation than that of the copy stays in use", func(t *testing.T) {
		rs := registered("a")
		rs.Put(roster.Upstream{ID: "a", Pool: "p", StartUnixMs: 9})
		rs.PutRestored(start, copied, false)
		must.True(t, rs.Snapshot().IsUsable(roster.Incarnation{ID: "a", StartUnixMs: 9}))
	})
	t.Run("an upstream that the copy lacks has time to register again", func(t *testing.T) {
		rs := registered("a")
		rs.StoreRestored(start)
		rs.Remove(start, "a")
		assertUsable(t, rs, "a")
	})
}
