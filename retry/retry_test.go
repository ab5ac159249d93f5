package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/retry"
)

// calls sends count requests of which none succeeds, each retried while the budget allows, and counts calls.
func calls(bg *retry.Budget, count int) int {
	made := 0
	for range count {
		made++
		for bg.Spend() {
			made++
		}
	}
	return made
}

func TestBudget(t *testing.T) {
	t.Run("a pool that is down gets hardly more calls than were offered", func(t *testing.T) {
		bg := retry.NewBudget(10)
		for range 1000 {
			bg.RecordSuccess()
		}
		must.LessEq(t, 1100, calls(bg, 1000))
	})
	t.Run("nothing is allowed beyond the share of successes", func(t *testing.T) {
		bg := retry.NewBudget(10)
		calls(bg, 1)
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
	chance := entropy.New(1)
	for failures := range 100 {
		delay := retry.Backoff(chance, failures)
		must.Between(t, 0, delay, 500*time.Millisecond)
	}
}
