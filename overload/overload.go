package overload

import "time"

// Estimate is the expected latency of a request on arrival, and the time available for it.
type Estimate struct {
	// ExpectedLatency is the expected time until the first byte, including queued work and work that will be queued first.
	ExpectedLatency time.Duration
	// UntilTarget is the time until the target latency is missed, UntilDeadline the time until the caller gives up.
	UntilTarget   time.Duration
	UntilDeadline time.Duration
}

// Decision is an admission decision; Admit and Reject are its variants.
type Decision interface {
	decision()
}

// Admit admits the request.
type Admit struct{}

func (Admit) decision() {}

// Reject rejects the request; RetryAfter is when capacity is expected.
type Reject struct {
	RetryAfter time.Duration
}

func (Reject) decision() {}

const (
	// targetShare is the share of the time until the target that the expected latency may take.
	targetShare = 0.92
	// deadlineShare is the share of the time until the deadline that the expected latency may take.
	deadlineShare = 0.75
	// minRetryAfter is the shortest RetryAfter.
	minRetryAfter = 100 * time.Millisecond
)

// Decide admits a request that is expected within its target and deadline. Others are rejected with the expected
// latency as RetryAfter, by when the queue should have drained.
func Decide(estimate Estimate) Decision {
	maxLatency := time.Duration(deadlineShare * float64(estimate.UntilDeadline))
	maxLatency = min(maxLatency, time.Duration(targetShare*float64(estimate.UntilTarget)))
	if estimate.ExpectedLatency <= maxLatency {
		return Admit{}
	}
	return Reject{RetryAfter: max(estimate.ExpectedLatency, minRetryAfter)}
}
