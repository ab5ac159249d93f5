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

func ran(lg *sendaudit.Tracker) {
	lg.Start()
	lg.MarkMaybeExecuted()
}

func TestOnce(t *testing.T) {
	const promise = "a non-idempotent request is sent once"
	once := sendaudit.Limits{AtMostOnce: true, MaxExecutions: 3}
	t.Run("no second send after one that may have run", func(t *testing.T) {
		lg := sendaudit.New("r", once)
		ran(lg)
		lg.GrantRetry()
		breaks(t, promise, lg.Start)
	})
	t.Run("sends that were not read, or not run, may be followed by another", func(t *testing.T) {
		lg := sendaudit.New("r", once)
		lg.Start()
		lg.MarkNotSent()
		lg.Start()
		lg.MarkNotExecuted()
		lg.GrantRetry()
		ran(lg)
		must.Eq(t, 1, lg.Executions())
	})
}

func TestMost(t *testing.T) {
	lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 2})
	lg.GrantRetry()
	lg.GrantRetry()
	ran(lg)
	ran(lg)
	breaks(t, "a request runs on no more upstreams than its pipeline allows", lg.Start)
}

func TestBudget(t *testing.T) {
	const promise = "each repeated send is within the budget"
	t.Run("a send after one that arrived needs a grant", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 3})
		ran(lg)
		breaks(t, promise, lg.Start)
	})
	t.Run("also after one that was rejected", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 3})
		lg.Start()
		lg.MarkNotExecuted()
		breaks(t, promise, lg.Start)
	})
	t.Run("one grant is worth one send", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 3})
		ran(lg)
		lg.GrantRetry()
		ran(lg)
		breaks(t, promise, lg.Start)
	})
}

func TestRefused(t *testing.T) {
	const promise = "a refused request has not run"
	t.Run("not after a send that may have run", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 1})
		ran(lg)
		breaks(t, promise, lg.CheckNotExecuted)
	})
	t.Run("not while one is under way", func(t *testing.T) {
		lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 1})
		lg.Start()
		breaks(t, promise, lg.CheckNotExecuted)
		breaks(t, "a request is sent to one upstream at a time", lg.Start)
	})
	t.Run("after a send that was not run it is true", func(*testing.T) {
		lg := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 1})
		lg.Start()
		lg.MarkNotExecuted()
		lg.CheckNotExecuted()
	})
}
