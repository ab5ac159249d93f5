package retry

import (
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
)

// Budget limits the retries and hedges of one pool to a percentage of its successful calls; it is not safe for
// concurrent use.
type Budget struct {
	perSuccess float64
	balance    float64
}

const (
	percent = 100
	// maxBalance limits the retries that can be saved up, and so the burst of retries when a pool starts to fail.
	maxBalance = 10
	// initialBalance allows retries before the first success.
	initialBalance = 2
)

// NewBudget returns a budget to which each success adds percentPerSuccess percent of a retry.
func NewBudget(percentPerSuccess int64) *Budget {
	return &Budget{perSuccess: float64(percentPerSuccess) / percent, balance: initialBalance}
}

// SetPercent sets how much each success adds, in percent of a retry.
func (bg *Budget) SetPercent(percentPerSuccess int64) {
	bg.perSuccess = float64(percentPerSuccess) / percent
}

// RecordSuccess adds the share of one success to the budget.
func (bg *Budget) RecordSuccess() {
	bg.balance = min(bg.balance+bg.perSuccess, maxBalance)
}

// Spend takes one retry from the budget and reports whether the budget allowed it.
func (bg *Budget) Spend() bool {
	if bg.balance < 1 {
		return false
	}
	bg.balance--
	return true
}

const (
	baseDelay    = 5 * time.Millisecond
	maxDelay     = 500 * time.Millisecond
	maxDoublings = 8
)

// Backoff returns a random delay before a retry, uniform up to a bound that doubles with each failed attempt.
func Backoff(random *entropy.Source, failures int) time.Duration {
	return random.DurationUpTo(min(baseDelay<<min(failures, maxDoublings), maxDelay))
}
