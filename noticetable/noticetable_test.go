package noticetable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/noticetable"
	"github.com/turmericdoor/turmericdoor/roster"
)

func entryAt(id string, seconds int64, perSecond float64) noticetable.Entry {
	return noticetable.Entry{Incarnation: roster.Incarnation{ID: id}, PerSecond: perSecond, At: time.Unix(seconds, 0)}
}

func endedAt(id string, seconds int64) noticetable.Entry {
	return noticetable.Entry{Incarnation: roster.Incarnation{ID: id}, Ended: true, At: time.Unix(seconds, 0)}
}

// assertActive checks the limits in force.
func assertActive(t *testing.T, tb *noticetable.Table, expected map[string]float64) {
	t.Helper()
	active := map[string]float64{}
	for incarnation, perSecond := range tb.Limits() {
		active[incarnation.ID] = perSecond
	}
	must.Eq(t, expected, active)
}

func TestMerge(t *testing.T) {
	cases := map[string]struct {
		entries  []noticetable.Entry
		expected map[string]float64
	}{
		"the newest wins":                        {[]noticetable.Entry{entryAt("u", 5, 1), entryAt("u", 9, 3), entryAt("u", 7, 2)}, map[string]float64{"u": 3}},
		"an end":                                 {[]noticetable.Entry{entryAt("u", 5, 1), endedAt("u", 6)}, map[string]float64{}},
		"an older end":                           {[]noticetable.Entry{entryAt("u", 5, 1), endedAt("u", 4)}, map[string]float64{"u": 1}},
		"an end of the same time":                {[]noticetable.Entry{endedAt("u", 5), entryAt("u", 5, 1)}, map[string]float64{"u": 1}},
		"the lower of two of the same time wins": {[]noticetable.Entry{entryAt("u", 5, 2), entryAt("u", 5, 1), entryAt("u", 5, 3)}, map[string]float64{"u": 1}},
		"a limit after its end":                  {[]noticetable.Entry{endedAt("u", 5), entryAt("u", 6, 4)}, map[string]float64{"u": 4}},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			tb := noticetable.New()
			for _, entry := range each.entries {
				tb.Merge(entry)
			}
			assertActive(t, tb, each.expected)
		})
	}
}

// TestManyLimits guards against a table and messages that grow with every upstream that ever had a limit.
func TestManyLimits(t *testing.T) {
	tb := noticetable.New()
	for at := range 3000 {
		tb.Merge(entryAt(fmt.Sprint("u", at), int64(at+1), 1))
	}
	must.Eq(t, 1024, len(tb.Limits()))
	must.MapContainsKey(t, tb.Limits(), roster.Incarnation{ID: "u2999"})
	for message := range uint64(1000) {
		must.LessEq(t, 68, len(tb.TakeNews(message)))
	}
	t.Run("each of them is repeated in turn", func(t *testing.T) {
		seen := map[string]bool{}
		for message := range uint64(1024 / 4) {
			for _, entry := range tb.TakeNews(1000 + message) {
				seen[entry.Incarnation.ID] = true
			}
		}
		must.Eq(t, 1024, len(seen))
	})
}

func TestPrune(t *testing.T) {
	tb := noticetable.New()
	tb.Merge(entryAt("gone", 1, 1))
	tb.Merge(entryAt("here", 1, 2))
	tb.Merge(endedAt("ended", 1))
	tb.Prune(time.Unix(10, 0), func(incarnation roster.Incarnation) bool { return incarnation.ID == "here" })
	must.Eq(t, 3, len(tb.All()), must.Sprint("others may still pass the entries on"))
	tb.Prune(time.Unix(100, 0), func(incarnation roster.Incarnation) bool { return incarnation.ID == "here" })
	must.Eq(t, 1, len(tb.All()))
}

// TestLeaving guards against a leaving upstream that is used again since an older or a newer message says otherwise.
func TestLeaving(t *testing.T) {
	leaving := func(seconds int64, ended bool) noticetable.Entry {
		return noticetable.Entry{Kind: noticetable.Leaving, Incarnation: roster.Incarnation{ID: "u", StartUnixMs: 1}, Ended: ended, At: time.Unix(seconds, 0)}
	}
	tb := noticetable.New()
	must.True(t, tb.Merge(leaving(5, false)))
	must.False(t, tb.Merge(leaving(9, true)))
	must.False(t, tb.Merge(leaving(3, false)))
	must.Eq(t, map[roster.Incarnation]time.Time{{ID: "u", StartUnixMs: 1}: time.Unix(5, 0)}, tb.LeavingSince())
	must.MapEmpty(t, tb.Limits())
	t.Run("it does not hold for another incarnation, nor hide its limit", func(t *testing.T) {
		tb.Merge(entryAt("u", 6, 2))
		must.MapLen(t, 1, tb.Limits())
		must.MapLen(t, 1, tb.LeavingSince())
	})
	t.Run("it is kept while the upstream is registered", func(t *testing.T) {
		tb.Prune(time.Unix(1000, 0), func(roster.Incarnation) bool { return true })
		must.MapLen(t, 1, tb.LeavingSince())
		tb.Prune(time.Unix(1000, 0), func(roster.Incarnation) bool { return false })
		must.MapEmpty(t, tb.LeavingSince())
	})
}

// TestPauses guards against pauses that each instance announces anew, and against one that is over.
func TestPauses(t *testing.T) {
	pause := func(at time.Time, length time.Duration) noticetable.Entry {
		return noticetable.Entry{Kind: noticetable.Pause, Incarnation: roster.Incarnation{ID: "u"}, At: at, Length: length}
	}
	start := time.Unix(100, 0)
	tb := noticetable.New()
	must.True(t, tb.Merge(pause(start, 4*time.Second)))
	must.False(t, tb.Merge(pause(start.Add(time.Second), 3*time.Second)))
	must.False(t, tb.Merge(pause(start.Add(time.Second), time.Second)))
	must.True(t, tb.Merge(pause(start.Add(time.Second), 4*time.Second)))
	must.Eq(t, map[roster.Incarnation]time.Time{{ID: "u"}: start.Add(5 * time.Second)}, tb.PausesUntil(start))
	must.MapEmpty(t, tb.PausesUntil(start.Add(5*time.Second)))
	tb.Prune(start.Add(6*time.Second), func(roster.Incarnation) bool { return true })
	must.SliceEmpty(t, tb.All())
}

// TestColdTimes guards against a cold time that each answer announces anew, one that an older notice brings back, and one that is
// dropped, or kept, because the wall time has jumped.
func TestColdTimes(t *testing.T) {
	cold := func(seconds int64, until time.Time, ended bool) noticetable.Entry {
		return noticetable.Entry{Kind: noticetable.Cold, Incarnation: roster.Incarnation{ID: "u"}, At: time.Unix(seconds, 0), Until: until, Ended: ended}
	}
	start := time.Unix(100, 0)
	end := start.Add(3 * time.Second)
	tb := noticetable.New()
	must.True(t, tb.Merge(cold(100, end, false)))
	must.False(t, tb.Merge(cold(101, end.Add(100*time.Millisecond), false)), must.Sprint("nearly the same end"))
	must.False(t, tb.Merge(cold(99, end.Add(time.Minute), false)), must.Sprint("older"))
	must.True(t, tb.Merge(cold(102, end.Add(-time.Second), false)), must.Sprint("earlier"))
	must.False(t, tb.Merge(cold(101, start, true)), must.Sprint("an end that is older"))
	must.True(t, tb.Merge(cold(103, start, true)))
	must.True(t, tb.ColdTimes()[roster.Incarnation{ID: "u"}].Ended)
	must.False(t, tb.Merge(cold(102, end, false)))
	must.True(t, tb.Merge(cold(104, end, false)), must.Sprint("it is cold again"))
	must.MapEmpty(t, tb.Limits(), must.Sprint("the rate is that of the pool"))
	t.Run("it is dropped a minute after its end, whatever the wall time", func(t *testing.T) {
		tb.Prune(time.Unix(1e6, 0), func(roster.Incarnation) bool { return false })
		tb.PruneCold(end.Add(50 * time.Second))
		must.MapLen(t, 1, tb.ColdTimes())
		tb.PruneCold(end.Add(70 * time.Second))
		must.MapEmpty(t, tb.ColdTimes())
	})
	t.Run("one that was ended is dropped a minute after that", func(t *testing.T) {
		tb.Merge(cold(200, start, true))
		tb.Prune(time.Unix(250, 0), func(roster.Incarnation) bool { return true })
		must.MapLen(t, 1, tb.ColdTimes())
		tb.Prune(time.Unix(270, 0), func(roster.Incarnation) bool { return true })
		must.MapEmpty(t, tb.ColdTimes())
	})
}

// TestManyColdTimes guards against a table that grows with every upstream that was ever cold.
func TestManyColdTimes(t *testing.T) {
	tb := noticetable.New()
	for at := range 3000 {
		tb.Merge(noticetable.Entry{Kind: noticetable.Cold, Incarnation: roster.Incarnation{ID: fmt.Sprint("u", at)}, At: time.Unix(int64(at), 0), Until: time.Unix(9000, 0)})
	}
	must.MapLen(t, 1024, tb.ColdTimes())
}
