package sendaudit_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/sendaudit"
)

// breaks runs step and fails unless it breaks the named invariant.
func breaks(t *testing.T, promise string, step func()) {
	t.Helper()
	defer func() {
		breach, _ := recover().(invariant.Violation)
		must.Eq(t, promise, breach.Rule)
	}()
	step()
}

func ran(lg *sendaudit.Ledger) {
	lg.Begin()
	lg.MayHaveRun()
}

func TestOnce(t *testing.T) {
	const promise = "a non-idempotent request is sent once"
	once := sendaudit.Terms{Once: true, Most: 3}
	t.Run("no second send after one that may have run", func(t *testing.T) {
		lg := sendaudit.New("r", once)
		ran(lg)
		lg.Grant()
		breaks(t, promise, lg.Begin)
	})
	t.Run("sends that were not read, or not run, may be followed by another", func(t *testing.T) {
		lg := sendaudit.New("r", once)
		lg.Begin()
		lg.NotSent()
		lg.Begin()
		lg.NotRun()
		lg.Grant()
		ran(lg)
		must.Eq(t, 1, lg.Count())
	})
}

func TestMost(t *testing.T) {
	lg := sendaudit.New("r", sendaudit.Terms{Most: 2})
	lg.Grant()
	lg.Grant()
	ran(lg)
	ran(lg)
	breaks(t, "a request runs on no more upstreams than its pipeline allows", lg.Begin)
}

func TestBudget(t *testing.T) {
	const promise = "each repeated send is within the budget"
	t.Run("a send after one that arrived needs a grant", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Terms{Most: 3})
		ran(lg)
		breaks(t, promise, lg.Begin)
	})
	t.Run("also after one that was rejected", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Terms{Most: 3})
		lg.Begin()
		lg.NotRun()
		breaks(t, promise, lg.Begin)
	})
	t.Run("one grant is worth one send", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Terms{Most: 3})
		ran(lg)
		lg.Grant()
		ran(lg)
		breaks(t, promise, lg.Begin)
	})
}

func TestRefused(t *testing.T) {
	const promise = "a refused request has not run"
	t.Run("not after a send that may have run", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Terms{Most: 1})
		ran(lg)
		breaks(t, promise, lg.Refused)
	})
	t.Run("not while one is under way", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Terms{Most: 1})
		lg.Begin()
		breaks(t, promise, lg.Refused)
		breaks(t, "a request is sent to one upstream at a time", lg.Begin)
	})
	t.Run("after a send that was not run it is true", func(*testing.T) {
		lg := sendaudit.New("r", sendaudit.Terms{Most: 1})
		lg.Begin()
		lg.NotRun()
		lg.Refused()
	})
}
