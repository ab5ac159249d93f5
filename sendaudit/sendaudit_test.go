package sendaudit_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/sendaudit"
)

// assertBreach fails the test unless call violates the named invariant.
func assertBreach(t *testing.T, promise string, call func()) {
	t.Helper()
	defer func() {
		breach, _ := recover().(invariant.Violation)
		must.Eq(t, promise, breach.Rule)
	}()
	call()
}

func execute(tr *sendaudit.Tracker) {
	tr.Start()
	tr.MarkMaybeExecuted()
}

func TestAtMostOnce(t *testing.T) {
	const promise = "a non-idempotent request is sent once"
	atMostOnce := sendaudit.Limits{AtMostOnce: true, MaxExecutions: 3}
	t.Run("no second send after one that may have been executed", func(t *testing.T) {
		tr := sendaudit.New("r", atMostOnce)
		execute(tr)
		tr.GrantRetry()
		assertBreach(t, promise, tr.Start)
	})
	t.Run("sends that were not read or not executed may be followed by another", func(t *testing.T) {
		tr := sendaudit.New("r", atMostOnce)
		tr.Start()
		tr.MarkNotSent()
		tr.Start()
		tr.MarkNotExecuted()
		tr.GrantRetry()
		execute(tr)
		must.Eq(t, 1, tr.Executions())
	})
}

func TestMaxExecutions(t *testing.T) {
	tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 2})
	tr.GrantRetry()
	tr.GrantRetry()
	execute(tr)
	execute(tr)
	assertBreach(t, "a request runs on no more upstreams than its pipeline allows", tr.Start)
}

func TestBudget(t *testing.T) {
	const promise = "each repeated send is within the budget"
	t.Run("a send after a delivered one needs budget", func(t *testing.T) {
		tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 3})
		execute(tr)
		assertBreach(t, promise, tr.Start)
	})
	t.Run("a send after a rejected one needs budget", func(t *testing.T) {
		tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 3})
		tr.Start()
		tr.MarkNotExecuted()
		assertBreach(t, promise, tr.Start)
	})
	t.Run("each grant allows one send", func(t *testing.T) {
		tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 3})
		execute(tr)
		tr.GrantRetry()
		execute(tr)
		assertBreach(t, promise, tr.Start)
	})
}

func TestCheckNotExecuted(t *testing.T) {
	const promise = "a refused request has not run"
	t.Run("fails after a send that may have been executed", func(t *testing.T) {
		tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 1})
		execute(tr)
		assertBreach(t, promise, tr.CheckNotExecuted)
	})
	t.Run("fails while a send is in flight", func(t *testing.T) {
		tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 1})
		tr.Start()
		assertBreach(t, promise, tr.CheckNotExecuted)
		assertBreach(t, "a request is sent to one upstream at a time", tr.Start)
	})
	t.Run("passes after a send that was not executed", func(*testing.T) {
		tr := sendaudit.New("r", sendaudit.Limits{MaxExecutions: 1})
		tr.Start()
		tr.MarkNotExecuted()
		tr.CheckNotExecuted()
	})
}
