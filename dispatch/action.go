package dispatch

import "time"

// Action is what the caller of a Dispatcher has to carry out; Start and Refuse are its variants.
type Action interface {
	action()
}

// Start says that the request's call goes to the upstream now.
type Start struct {
	ID       uint64
	Upstream string
}

func (Start) action() {}

// Refuse says that the request gives up waiting; RetryAfter is when it may be of use to come back.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Refuse) action() {}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	DeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	NoUpstream          Reason = "NoUpstream"
	QueueFull           Reason = "QueueFull"
	Overloaded          Reason = "Overloaded"
)

// Request is one call that wants an upstream of the pool.
type Request struct {
	ID            uint64
	Organisation  string
	Weight        int64
	Rank          int
	Deadline      time.Time
	RemainingWork time.Duration
	FailureDomain string
	Avoid         []string
	Adapter       string
	PrefixHash    uint64
	Exclusive     bool
}

// CallStatus says how a call ended, as far as the upstream is concerned.
type CallStatus int

// The verdicts: an answer, no answer, no connection, no room, given up by this side, or the upstream is leaving.
const (
	Succeeded CallStatus = iota
	Failed
	Unreachable
	Busy
	Cancelled
	Leaving
)

// CallResult is the end of one call. Load is what the upstream reported, or negative; Waited is the time the
// call waited inside the upstream.
type CallResult struct {
	ID       uint64
	Upstream string
	Status   CallStatus
	Elapsed  time.Duration
	Waited   time.Duration
	Load     int64
}

// Estimate is what a new request would meet at the pool.
type Estimate struct {
	Wait    time.Duration
	Service time.Duration
	Usable  bool
}
