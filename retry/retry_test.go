package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/retry"
)

// countCalls returns the number of calls for count requests that all fail and are retried while the budget allows.
func countCalls(bg *retry.Budget, count int) int {
	calls := 0
	for range count {
		calls++
		for bg.Spend() {
			calls++
		}
	}
	return calls
}

func TestBudget(t *testing.T) {
	t.Run("retries add at most ten percent if all calls fail", func(t *testing.T) {
		bg := retry.NewBudget(10)
		for range 1000 {
			bg.RecordSuccess()
		}
		must.LessEq(t, 1100, countCalls(bg, 1000))
	})
	t.Run("a retry is allowed only after enough successes", func(t *testing.T) {
		bg := retry.NewBudget(10)
		countCalls(bg, 1)
		for range 9 {
			bg.RecordSuccess()
		}
		must.False(t, bg.Spend())
		bg.RecordSuccess()
		bg.RecordSuccess()
		must.True(t, bg.Spend())
	})
}

func TestDelay(t *testing.T) {
	random := entropy.New(1)
	for failures := range 100 {
		delay := retry.Backoff(random, failures)
		must.Between(t, 0, delay, 500*time.Millisecond)
	}
}
