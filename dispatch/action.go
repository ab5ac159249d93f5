package dispatch

import "time"

// Action is a decision of a Dispatcher that its user carries out. It is sealed: its variants are Start and Refuse.
type Action interface {
	action()
}

// Start requires that the request be sent to the upstream now; Dispatcher.Finish must follow.
type Start struct {
	ID       uint64
	Upstream string
}

func (Start) action() {}

// Refuse requires that the request be refused. RetryAfter estimates the time after which a retry may succeed.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Refuse) action() {}

// Reason is the cause of a refusal.
type Reason string

// The reasons of a refusal.
const (
	DeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	NoUpstream          Reason = "NoUpstream"
	QueueFull           Reason = "QueueFull"
	Overloaded          Reason = "Overloaded"
)

// Request is one request for a call to an upstream of the pool.
type Request struct {
	ID           uint64
	Organisation string
	// Weight is the organisation's weight among the organisations of its rank.
	Weight int64
	// Rank is the index of the request's rank; rank 0 is served first.
	Rank     int
	Deadline time.Time
	// RemainingWork is the expected service time of the stages that follow this one.
	RemainingWork time.Duration
	// FailureDomain is the preferred failure domain.
	FailureDomain string
	// Avoid lists the names of upstreams that must not be used, such as those on which earlier attempts failed.
	Avoid []string
	// Adapter is the model adapter that the upstream must have loaded, or "" for none.
	Adapter string
	// PrefixHash is the hash of the prompt prefix, or 0 for none.
	PrefixHash uint64
	// Exclusive requires an upstream on which this instance has no other call in flight.
	Exclusive bool
}

// CallStatus is how a call ended, as a statement about the upstream.
type CallStatus int

const (
	// Succeeded is the status of a call that the upstream answered.
	Succeeded CallStatus = iota
	// Failed is the status of a call without a valid answer.
	Failed
	// Unreachable is the status of a call for which no connection could be made.
	Unreachable
	// Busy is the status of a call that the upstream refused for lack of capacity.
	Busy
	// Cancelled is the status of a call that this instance cancelled.
	Cancelled
	// Leaving is the status of a call in whose answer the upstream reported that it is leaving.
	Leaving
)

// CallResult describes a call that has ended.
type CallResult struct {
	ID       uint64
	Upstream string
	Status   CallStatus
	Elapsed  time.Duration
	// Waited is the time that the call waited inside the upstream.
	Waited time.Duration
	// Load is the load that the upstream reported, or negative if it reported none.
	Load int64
}

// Estimate is the expected wait and service time of a new request. Usable is false if the pool has no usable
// upstream.
type Estimate struct {
	Wait    time.Duration
	Service time.Duration
	Usable  bool
}
