package hotpart_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hotpart"
	"github.com/turmericdoor/turmericdoor/roster"
)

// demand is that of one instance whose engines carry five requests a second.
var demand = hotpart.Demand{Instances: 1, EngineRate: 5}

// observe records requests at a rate during a time and returns the session and the end.
func observe(table *hotpart.Table, now time.Time, session uint64, perSecond int, during time.Duration, of hotpart.Demand) (*hotpart.Session, time.Time) {
	known := (*hotpart.Session)(nil)
	for end := now.Add(during); now.Before(end); now = now.Add(time.Second / time.Duration(perSecond)) {
		known = table.Observe(now, session, of)
	}
	return known, now
}

// TestNumberOfEngines guards against too few or too many engines for a steady demand.
func TestNumberOfEngines(t *testing.T) {
	for name, each := range map[string]struct {
		perSecond int
		demand    hotpart.Demand
		expected  int
	}{
		"less than one engine carries":  {4, demand, 1},
		"four times what one carries":   {20, demand, 4},
		"eight instances":               {3, hotpart.Demand{Instances: 8, EngineRate: 5}, 4},
		"no more than the bound":        {500, demand, 32},
		"an engine that carries all":    {500, hotpart.Demand{Instances: 1, EngineRate: 1e9}, 1},
		"the rate of an engine unknown": {500, hotpart.Demand{Instances: 1}, 1},
		"the number of instances unset": {20, hotpart.Demand{EngineRate: 5}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			known, _ := observe(hotpart.New(), start, 1, each.perSecond, 20*time.Second, each.demand)
			must.Between(t, each.expected, known.Engines(), each.expected+1)
		})
	}
}

// TestSingleRequests guards against many instances taking single requests for demand.
func TestSingleRequests(t *testing.T) {
	table := hotpart.New()
	for at := range 100 {
		known := table.Observe(start.Add(time.Duration(at)*12*time.Second), 1, hotpart.Demand{Instances: 1000, EngineRate: 1})
		must.Eq(t, 1, known.Engines())
	}
}

// TestFallingDemand guards against engines that are dropped at once, which have to process the parts again when demand returns.
func TestFallingDemand(t *testing.T) {
	table := hotpart.New()
	known, now := observe(table, start, 1, 20, 20*time.Second, demand)
	before := known.Engines()
	known, now = observe(table, now, 1, 1, 8*time.Second, demand)
	must.Eq(t, before, known.Engines())
	must.Eq(t, 1, table.Replicated(now))
	t.Run("they are dropped one by one", func(t *testing.T) {
		for last := before; last > 1; {
			known, now = observe(table, now, 1, 2, time.Second, demand)
			must.Between(t, last-1, known.Engines(), last)
			last = known.Engines()
		}
		must.Zero(t, table.Replicated(now))
	})
	t.Run("a session without requests is not counted", func(t *testing.T) {
		_, end := observe(table, now, 2, 20, 10*time.Second, demand)
		must.Eq(t, 1, table.Replicated(end))
		must.Zero(t, table.Replicated(end.Add(time.Minute)))
	})
}

// TestOverflowed guards against a session that stays at engines which are loaded by others, and against one with little demand
// that leaves its first engine.
func TestOverflowed(t *testing.T) {
	known, now := observe(hotpart.New(), start, 1, 10, 10*time.Second, demand)
	before := known.Engines()
	known.RecordOverflow(now, before-1)
	must.Eq(t, before, known.Engines())
	known.RecordOverflow(now, before)
	must.Eq(t, before+1, known.Engines())
	single, now := observe(hotpart.New(), start, 1, 1, 10*time.Second, demand)
	single.RecordOverflow(now, 5)
	must.Eq(t, 1, single.Engines())
}

// TestSent guards against expecting parts at engines that have dropped them, that never had them, or that are gone.
func TestSent(t *testing.T) {
	table := hotpart.New()
	known := table.Observe(start, 1, demand)
	engine := func(at int) roster.Incarnation { return roster.Incarnation{ID: string(rune('a' + at)), StartUnixMs: 1} }
	table.RecordSent(start, 1, engine(0))
	must.True(t, known.HasSent(start, engine(0)))
	must.False(t, known.HasSent(start, roster.Incarnation{ID: "a", StartUnixMs: 2}), must.Sprint("another incarnation"))
	must.False(t, known.HasSent(start.Add(20*time.Second), engine(0)), must.Sprint("not kept that long"))
	t.Run("the oldest of more than eight is dropped", func(t *testing.T) {
		for at := range 9 {
			table.RecordSent(start.Add(time.Duration(at)*time.Millisecond), 1, engine(at))
		}
		must.False(t, known.HasSent(start, engine(0)))
		must.True(t, known.HasSent(start, engine(1)))
		must.True(t, known.HasSent(start, engine(8)))
	})
	t.Run("an engine that has not run the request has no parts", func(t *testing.T) {
		table.RecordNotRun(1, engine(8))
		must.False(t, known.HasSent(start, engine(8)))
	})
	t.Run("an engine that is gone has none", func(t *testing.T) {
		table.Forget(engine(1))
		must.False(t, known.HasSent(start, engine(1)))
		must.True(t, known.HasSent(start, engine(2)))
	})
	t.Run("an unknown session is not created", func(t *testing.T) {
		table.RecordSent(start, 2, engine(0))
		table.RecordNotRun(3, engine(0))
		must.Eq(t, 1, table.Len())
	})
}

// TestManySessions guards against memory that grows with the number of sessions.
func TestManySessions(t *testing.T) {
	table, kept := hotpart.New(), roster.Incarnation{ID: "a"}
	for session := range uint64(5000) {
		table.Observe(start, session+1, demand)
		table.RecordSent(start, session+1, kept)
		table.Observe(start, 1, demand)
	}
	must.Eq(t, 4096, table.Len())
	must.NotNil(t, table.Find(1), must.Sprint("the session that is used is kept"))
	must.Nil(t, table.Find(2))
	must.NotNil(t, table.Find(5000))
	fresh := table.Observe(start, 9999, demand)
	must.Eq(t, 1, fresh.Engines(), must.Sprint("nothing is left of the session whose place it takes"))
	must.False(t, fresh.HasSent(start, kept), must.Sprint("nor of its engines"))
}
