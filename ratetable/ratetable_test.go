package ratetable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/ratetable"
	"github.com/turmericdoor/turmericdoor/roster"
)

func entryAt(id string, seconds int64, perSecond float64) ratetable.Entry {
	return ratetable.Entry{Incarnation: roster.Incarnation{ID: id}, PerSecond: perSecond, At: time.Unix(seconds, 0)}
}

func endedAt(id string, seconds int64) ratetable.Entry {
	return ratetable.Entry{Incarnation: roster.Incarnation{ID: id}, Ended: true, At: time.Unix(seconds, 0)}
}

// assertActive checks the limits in force.
func assertActive(t *testing.T, tb *ratetable.Table, expected map[string]float64) {
	t.Helper()
	active := map[string]float64{}
	for incarnation, perSecond := range tb.Active() {
		active[incarnation.ID] = perSecond
	}
	must.Eq(t, expected, active)
}

func TestMerge(t *testing.T) {
	cases := map[string]struct {
		entries  []ratetable.Entry
		expected map[string]float64
	}{
		"the newest wins":                        {[]ratetable.Entry{entryAt("u", 5, 1), entryAt("u", 9, 3), entryAt("u", 7, 2)}, map[string]float64{"u": 3}},
		"an end":                                 {[]ratetable.Entry{entryAt("u", 5, 1), endedAt("u", 6)}, map[string]float64{}},
		"an older end":                           {[]ratetable.Entry{entryAt("u", 5, 1), endedAt("u", 4)}, map[string]float64{"u": 1}},
		"an end of the same time":                {[]ratetable.Entry{endedAt("u", 5), entryAt("u", 5, 1)}, map[string]float64{"u": 1}},
		"the lower of two of the same time wins": {[]ratetable.Entry{entryAt("u", 5, 2), entryAt("u", 5, 1), entryAt("u", 5, 3)}, map[string]float64{"u": 1}},
		"a limit after its end":                  {[]ratetable.Entry{endedAt("u", 5), entryAt("u", 6, 4)}, map[string]float64{"u": 4}},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			tb := ratetable.New()
			for _, entry := range each.entries {
				tb.Merge(entry)
			}
			assertActive(t, tb, each.expected)
		})
	}
}

// TestManyLimits guards against a table and messages that grow with every upstream that ever had a limit.
func TestManyLimits(t *testing.T) {
	tb := ratetable.New()
	for at := range 3000 {
		tb.Merge(entryAt(fmt.Sprint("u", at), int64(at+1), 1))
	}
	must.Eq(t, 1024, len(tb.Active()))
	must.MapContainsKey(t, tb.Active(), roster.Incarnation{ID: "u2999"})
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
	tb := ratetable.New()
	tb.Merge(entryAt("gone", 1, 1))
	tb.Merge(entryAt("here", 1, 2))
	tb.Merge(endedAt("ended", 1))
	tb.Prune(time.Unix(10, 0), func(incarnation roster.Incarnation) bool { return incarnation.ID == "here" })
	must.Eq(t, 3, len(tb.All()), must.Sprint("others may still pass the entries on"))
	tb.Prune(time.Unix(100, 0), func(incarnation roster.Incarnation) bool { return incarnation.ID == "here" })
	must.Eq(t, 1, len(tb.All()))
}
