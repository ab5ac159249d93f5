package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/poison"
)

var (
	start  = time.Unix(100000, 0)
	bad    = poison.PartOf("bad")
	first  = poison.PartOf("first")
	second = poison.PartOf("second")
	other  = poison.PartOf("other")
)

// after returns a time some milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crashAt returns a crash of an upstream of its own at a time.
func crashAt(ms int, parts ...poison.Part) poison.Crash {
	return poison.Crash{Upstream: uint64(ms) + 1, Parts: parts, At: after(ms)}
}

// newRegistry returns a registry that knows successes of the parts, and of some other part.
func newRegistry(succeeded ...poison.Part) *poison.Registry {
	rg := poison.New()
	for _, part := range append(succeeded, poison.PartOf("elsewhere")) {
		rg.MarkSucceeded(part)
	}
	return rg
}

// report reports the crashes and lets the registry decide after each.
func report(rg *poison.Registry, crashes ...poison.Crash) {
	for _, crash := range crashes {
		rg.ReportCrash(crash.At, crash)
		rg.Decide(crash.At)
	}
}

// assertBlocked checks which parts are blocked.
func assertBlocked(t *testing.T, rg *poison.Registry, want ...poison.Part) {
	t.Helper()
	blocked := []poison.Part{}
	for _, block := range rg.Blocks() {
		blocked = append(blocked, block.Part)
	}
	must.SliceContainsAll(t, blocked, want)
	must.SliceLen(t, len(want), blocked)
}

// decideCases are crashes and the parts that they block.
var decideCases = []struct {
	name      string
	succeeded []poison.Part
	crashes   []poison.Crash
	want      []poison.Part
}{
	{"two crashes are not enough", []poison.Part{first}, []poison.Crash{crashAt(0, first, bad), crashAt(100, first, bad)}, nil},
	{
		"three crashes block the part without a success",
		[]poison.Part{first},
		[]poison.Crash{crashAt(0, first, bad), crashAt(100, first, bad), crashAt(200, first, bad)},
		[]poison.Part{bad},
	},
	{
		"crashes at one moment are one",
		[]poison.Part{first},
		[]poison.Crash{crashAt(0, first, bad), crashAt(10, first, bad), crashAt(40, first, bad), crashAt(100, first, bad)},
		nil,
	},
	{
		"innocents beside it have fewer crashes",
		[]poison.Part{first},
		[]poison.Crash{crashAt(0, first, bad), crashAt(0, first, other), crashAt(100, first, bad), crashAt(100, first, other), crashAt(200, first, bad), crashAt(200, first, second)},
		[]poison.Part{bad},
	},
	{
		"three crashes do not tell two new parts apart", nil,
		[]poison.Crash{crashAt(0, second, bad), crashAt(100, second, bad), crashAt(200, second, bad)},
		nil,
	},
	{
		"the part that came without the other", nil,
		[]poison.Crash{crashAt(0, second, bad), crashAt(100, other, bad), crashAt(200, second, bad)},
		[]poison.Part{bad},
	},
	{
		"five crashes block both", nil,
		[]poison.Crash{crashAt(0, second, bad), crashAt(100, second, bad), crashAt(200, second, bad), crashAt(300, second, bad), crashAt(400, second, bad)},
		[]poison.Part{second, bad},
	},
	{
		"a part that had successes before",
		[]poison.Part{bad, first},
		[]poison.Crash{crashAt(0, bad), crashAt(100, bad), crashAt(200, bad), crashAt(300, bad)},
		nil,
	},
	{
		"five crashes block it, too",
		[]poison.Part{bad},
		[]poison.Crash{crashAt(0, bad), crashAt(100, bad, other), crashAt(200, bad), crashAt(300, bad), crashAt(400, bad)},
		[]poison.Part{bad},
	},
	{
		"crashes of a blocked part convict no other",
		[]poison.Part{first},
		[]poison.Crash{
			crashAt(0, first, bad), crashAt(100, first, bad), crashAt(200, first, bad), crashAt(300, first, bad), crashAt(400, first, bad),
			crashAt(500, first, bad), crashAt(600, first, other),
		},
		[]poison.Part{bad},
	},
	{
		"two parts, each with its own crashes",
		[]poison.Part{first},
		[]poison.Crash{crashAt(0, first, bad), crashAt(100, first, other), crashAt(200, first, bad), crashAt(300, first, other), crashAt(400, first, bad), crashAt(500, first, other)},
		[]poison.Part{bad, other},
	},
}

func TestDecide(t *testing.T) {
	for _, each := range decideCases {
		t.Run(each.name, func(t *testing.T) {
			rg := newRegistry(each.succeeded...)
			report(rg, each.crashes...)
			assertBlocked(t, rg, each.want...)
		})
	}
	t.Run("nothing is blocked while no success is known", func(t *testing.T) {
		rg := poison.New()
		report(rg, crashAt(0, first, bad), crashAt(100, first, bad), crashAt(200, first, bad), crashAt(300, first, bad), crashAt(400, first, bad))
		assertBlocked(t, rg)
	})
	t.Run("what the reporter saw counts", func(t *testing.T) {
		rg := poison.New()
		for _, ms := range []int{0, 100, 200} {
			crash := crashAt(ms, first, bad)
			crash.Succeeded = 1
			report(rg, crash)
		}
		assertBlocked(t, rg, bad)
	})
	t.Run("many crashes at one moment leave room for later ones", func(t *testing.T) {
		rg := newRegistry(bad)
		for moment := range 5 {
			for each := range 40 {
				report(rg, poison.Crash{Upstream: uint64(moment*100 + each), Parts: []poison.Part{bad}, At: after(moment*200 + each)})
			}
		}
		assertBlocked(t, rg, bad)
	})
	t.Run("an upstream counts once, whoever reports it", func(t *testing.T) {
		rg := newRegistry()
		report(rg, crashAt(0, bad), crashAt(0, bad), crashAt(100, bad), crashAt(100, bad, other))
		assertBlocked(t, rg)
	})
}

func TestSuccesses(t *testing.T) {
	t.Run("clear a part", func(t *testing.T) {
		rg := newRegistry()
		report(rg, crashAt(0, bad), crashAt(100, bad))
		must.True(t, rg.ReportSuccess(poison.Success{Part: bad, At: after(150)}))
		report(rg, crashAt(200, bad), crashAt(300, bad))
		assertBlocked(t, rg)
	})
	t.Run("do not clear later crashes", func(t *testing.T) {
		rg := newRegistry()
		report(rg, crashAt(0, bad), crashAt(100, bad), crashAt(200, bad))
		must.False(t, rg.ReportSuccess(poison.Success{Part: bad, At: after(-10)}))
		assertBlocked(t, rg, bad)
	})
	t.Run("lift a block, also one that is told again", func(t *testing.T) {
		rg := newRegistry()
		report(rg, crashAt(0, bad), crashAt(100, bad), crashAt(200, bad))
		old := rg.Blocks()[0]
		must.True(t, rg.ReportSuccess(poison.Success{Part: bad, At: after(300)}))
		must.False(t, rg.AddBlock(after(400), old))
		success, later := rg.SuccessSince(old)
		must.True(t, later, must.Sprint("the instance that still blocks the part must be told"))
		must.Eq(t, poison.Success{Part: bad, At: after(300)}, success)
		must.False(t, rg.ReportCrash(after(400), crashAt(100, bad)), must.Sprint("a report that comes late"))
		assertBlocked(t, rg)
		must.Eq(t, poison.Clear, rg.Statuses()[bad])
	})
}

func TestStatuses(t *testing.T) {
	rg := newRegistry(first)
	report(rg, crashAt(0, first, bad))
	must.Eq(t, map[poison.Part]poison.Status{bad: poison.Suspect}, rg.Statuses())
	report(rg, crashAt(100, first, bad), crashAt(200, first, bad))
	must.Eq(t, map[poison.Part]poison.Status{bad: poison.Blocked}, rg.Statuses())
	rg.Expire(after(201).Add(poison.CrashTTL))
	must.MapEmpty(t, rg.Statuses())
}

func TestTrials(t *testing.T) {
	rg := newRegistry()
	report(rg, crashAt(0, bad), crashAt(100, bad), crashAt(200, bad))
	must.False(t, rg.BeginTrial(after(60000), bad, true), must.Sprint("a minute after the last crash"))
	must.False(t, rg.BeginTrial(after(60200), bad, false), must.Sprint("another instance owns the trial"))
	must.True(t, rg.BeginTrial(after(60200), bad, true))
	must.False(t, rg.BeginTrial(after(60300), bad, true))
	must.False(t, rg.BeginTrial(after(179000), bad, true), must.Sprint("the pause doubles"))
	must.True(t, rg.BeginTrial(after(180200), bad, true))
	must.False(t, rg.BeginTrial(after(180200), other, true), must.Sprint("a part that is not blocked"))
	must.False(t, rg.BeginTrial(after(180200+959000), bad, false))
	must.True(t, rg.BeginTrial(after(180200+960000), bad, false), must.Sprint("the owner got no request with the part"))
	t.Run("of another instance", func(t *testing.T) {
		late := newRegistry()
		report(late, crashAt(0, bad), crashAt(100, bad), crashAt(200, bad))
		must.True(t, late.AddBlock(after(1140300), rg.Blocks()[0]))
		must.False(t, late.BeginTrial(after(1141000), bad, true))
	})
}

// TestNewPartsPushOutNoSuspect guards against callers who name so many parts that a part which crashes upstreams is
// forgotten.
func TestNewPartsPushOutNoSuspect(t *testing.T) {
	const flood = 10000
	names := 0
	newParts := func(count int) []poison.Part {
		parts := []poison.Part{}
		for range count {
			names++
			parts = append(parts, poison.PartOf(fmt.Sprint("new-", names)))
		}
		return parts
	}
	for _, width := range []int{2, poison.MaxParts} {
		t.Run(fmt.Sprintf("requests with %d new parts", width), func(t *testing.T) {
			rg := newRegistry(first)
			for round := range 3 {
				at := round * 1000
				report(rg, crashAt(at, first, bad))
				for sent := 0; sent < flood && (width > 2 || sent < 4000); sent += width {
					rg.ReportCrash(after(at), poison.Crash{Upstream: uint64(at) + 1, Parts: newParts(width), At: after(at + 1)})
				}
			}
			rg.Decide(after(2001))
			assertBlocked(t, rg, bad)
			must.LessEq(t, 4096+1, len(rg.Statuses()))
		})
	}
	t.Run("a part with two crashes stays whatever comes", func(t *testing.T) {
		rg := newRegistry(first)
		report(rg, crashAt(0, first, bad), crashAt(100, first, bad))
		for range flood {
			rg.ReportCrash(after(100), poison.Crash{Upstream: 7, Parts: newParts(1), At: after(101)})
		}
		report(rg, crashAt(200, first, bad))
		assertBlocked(t, rg, bad)
	})
	t.Run("parts in use are remembered", func(t *testing.T) {
		rg := newRegistry()
		for range flood {
			rg.MarkSucceeded(newParts(1)[0])
			rg.MarkSucceeded(first)
		}
		must.Eq(t, 1, rg.SucceededBits([]poison.Part{first, bad}))
	})
}
