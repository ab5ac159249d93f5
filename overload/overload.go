package overload

import "time"

// Load is what is known of a request when it arrives.
type Load struct {
	// Expected is the time until the first part of the answer, with the work that is there and to come.
	Expected time.Duration
	// UntilDue is the time until the answer is late, UntilEnd the time until the caller leaves.
	UntilDue time.Duration
	UntilEnd time.Duration
}

// Verdict is what becomes of a request; Begin and TurnAway are its variants.
type Verdict interface {
	verdict()
}

// Begin lets the request begin.
type Begin struct{}

func (Begin) verdict() {}

// TurnAway refuses the request; RetryAfter is when there is room.
type TurnAway struct {
	RetryAfter time.Duration
}

func (TurnAway) verdict() {}

const (
	// dueShare is the part of the time until it is late that a request may be expected to take.
	dueShare = 0.92
	// endShare is the part of its time that a request may be expected to take.
	endShare = 0.75
	// minRetry is the shortest time after which a caller should come back.
	minRetry = 100 * time.Millisecond
)

// Weigh returns the verdict on a request. One that would be late is told to come back when the queue is shorter.
func Weigh(load Load) Verdict {
	most := time.Duration(endShare * float64(load.UntilEnd))
	most = min(most, time.Duration(dueShare*float64(load.UntilDue)))
	if load.Expected <= most {
		return Begin{}
	}
	return TurnAway{RetryAfter: max(load.Expected, minRetry)}
}
