package roster_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/roster"
)

// inDomains returns a roster with the upstreams a1, a2 (which is leaving) and b1, whose ids begin with their failure domains.
func inDomains() *roster.Roster {
	rs := roster.New()
	for _, id := range []string{"a1", "a2", "b1"} {
		rs.Put(roster.Upstream{ID: id, Pool: "p", FailureDomain: id[:1], Address: "at-" + id, StartUnixMs: 5, Leaving: id == "a2"})
	}
	return rs
}

// TestEvacuatedDomains guards against new requests to upstreams of an evacuated failure domain, and against upstreams that count as gone or
// leaving because of an evacuation.
func TestEvacuatedDomains(t *testing.T) {
	rs := inDomains()
	before := rs.Snapshot()
	rs.SetEvacuated(map[string]time.Time{"a": start, "without upstreams": start})
	during := rs.Snapshot()
	a1, a2, b1 := roster.Incarnation{ID: "a1", StartUnixMs: 5}, roster.Incarnation{ID: "a2", StartUnixMs: 5}, roster.Incarnation{ID: "b1", StartUnixMs: 5}
	t.Run("their upstreams get no requests", func(t *testing.T) {
		must.False(t, during.IsUsable(a1))
		must.True(t, during.IsUsable(b1))
		must.SliceLen(t, 1, during.Usable("p"))
		must.Eq(t, "b1", during.Usable("p")[0].ID)
		must.True(t, before.IsUsable(a1), must.Sprint("a snapshot does not change"))
	})
	t.Run("their upstreams are registered and not leaving", func(t *testing.T) {
		must.False(t, during.Find("a1").Leaving)
		must.True(t, during.IsStaying(a1))
		must.False(t, during.IsStaying(a2))
		must.True(t, during.IsEvacuated(a1))
		must.False(t, during.IsEvacuated(b1))
		must.SliceLen(t, 1, during.Evacuated("p"), must.Sprint("without the one that is leaving"))
		must.Eq(t, "a1", during.Evacuated("p")[0].ID)
		must.Eq(t, []string{"a1", "a2", "b1"}, during.IDs())
		must.Eq(t, 2, during.CountIn("a"))
	})
	t.Run("addresses are evacuated with all their upstreams", func(t *testing.T) {
		must.True(t, during.HasAddress("at-a1"))
		must.True(t, during.IsAddressEvacuated("at-a1"))
		must.False(t, during.IsAddressEvacuated("at-b1"))
		must.False(t, during.IsAddressEvacuated("nowhere"))
		rs.Put(roster.Upstream{ID: "b2", Pool: "p", FailureDomain: "b", Address: "at-a1"})
		must.False(t, rs.Snapshot().IsAddressEvacuated("at-a1"))
	})
	t.Run("the end of an evacuation leaves no trace", func(t *testing.T) {
		rs := inDomains()
		rs.SetEvacuated(map[string]time.Time{"a": start})
		rs.SetEvacuated(nil)
		must.Eq(t, before.Usable("p"), rs.Snapshot().Usable("p"))
		must.True(t, rs.Snapshot().IsUsable(a1))
		must.SliceEmpty(t, rs.Snapshot().Evacuated("p"))
	})
}
