package retry

import (
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
)

// Budget is the retries and hedges that one pool may spend; it is not safe for concurrent use.
type Budget struct {
	share   float64
	balance float64
}

const (
	// percent turns a setting in percent into a share.
	percent = 100
	// maxBalance bounds the retries saved up, and so the burst when a pool fails.
	maxBalance = 10
	// firstBalance allows a retry before any success was seen.
	firstBalance = 2
)

// New returns a budget that each success fills by that many percent of a retry.
func New(sharePercent int64) *Budget {
	return &Budget{share: float64(sharePercent) / percent, balance: firstBalance}
}

// SetShare changes how much a success fills, in percent of a retry.
func (bg *Budget) SetShare(sharePercent int64) {
	bg.share = float64(sharePercent) / percent
}

// Succeeded fills the budget.
func (bg *Budget) Succeeded() {
	bg.balance = min(bg.balance+bg.share, maxBalance)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (bg *Budget) Spend() bool {
	if bg.balance < 1 {
		return false
	}
	bg.balance--
	return true
}

const (
	firstDelay = 5 * time.Millisecond
	maxDelay   = 500 * time.Millisecond
	maxDoubles = 8
)

// Delay draws the wait before a retry: uniform up to a bound that doubles with each failed attempt.
func Delay(chance *entropy.Source, failures int) time.Duration {
	return chance.DurationUpTo(min(firstDelay<<min(failures, maxDoubles), maxDelay))
}
