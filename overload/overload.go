package overload

import "time"

// Estimate is what is known of a request when it arrives.
type Estimate struct {
	// ExpectedLatency is the time until the first part of the answer, with the work that is there and to come.
	ExpectedLatency time.Duration
	// UntilTarget is the time until the answer is late, UntilEnd the time until the caller leaves.
	UntilTarget   time.Duration
	UntilDeadline time.Duration
}

// Decision is what becomes of a request; Begin and TurnAway are its variants.
type Decision interface {
	verdict()
}

// Admit lets the request begin.
type Admit struct{}

func (Admit) verdict() {}

// Reject refuses the request; RetryAfter is when there is room.
type Reject struct {
	RetryAfter time.Duration
}

func (Reject) verdict() {}

const (
	// dueShare is the part of the time until it is late that a request may be expected to take.
	dueShare = 0.92
	// endShare is the part of its time that a request may be expected to take.
	endShare = 0.75
	// minRetry is the shortest time after which a caller should come back.
	minRetry = 100 * time.Millisecond
)

// Decide returns the verdict on a request. One that would be late is told to come back when the queue is shorter.
func Decide(load Estimate) Decision {
	most := time.Duration(endShare * float64(load.UntilDeadline))
	most = min(most, time.Duration(dueShare*float64(load.UntilTarget)))
	if load.ExpectedLatency <= most {
		return Admit{}
	}
	return Reject{RetryAfter: max(load.ExpectedLatency, minRetry)}
}
