package answer

import (
	"encoding/json"
	"time"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes. Answered is the outcome of a request with an output, NotRun of one of which nothing was sent to an
// upstream, Unknown of a non-idempotent one that may have run, and Failed of any other that was sent and has no output.
const (
	Answered Outcome = "Answered"
	NotRun   Outcome = "NotRun"
	Unknown  Outcome = "Unknown"
	Failed   Outcome = "Failed"
)

// Code is the reason why a request was not answered. Codes are part of the interface to callers and don't change.
type Code string

// The codes; NoCode is that of an answered request.
const (
	NoCode                Code = ""
	BadRequest            Code = "BadRequest"
	BodyTooLarge          Code = "BodyTooLarge"
	UnknownKey            Code = "UnknownKey"
	UnknownPipeline       Code = "UnknownPipeline"
	UnknownRank           Code = "UnknownRank"
	PipelineNotAllowed    Code = "PipelineNotAllowed"
	DeadlinePassed        Code = "DeadlinePassed"
	IdempotencyKeyMissing Code = "IdempotencyKeyMissing"
	IdempotencyKeyReused  Code = "IdempotencyKeyReused"
	InProgressOrUnknown   Code = "InProgressOrUnknown"
	PlatformUnavailable   Code = "PlatformUnavailable"
	Quarantined           Code = "Quarantined"
	SuspectBusy           Code = "SuspectBusy"
	InstanceStopping      Code = "InstanceStopping"
	InstanceNotReady      Code = "InstanceNotReady"
	Overloaded            Code = "Overloaded"
	DeadlineCannotBeMet   Code = "DeadlineCannotBeMet"
	NoUpstream            Code = "NoUpstream"
	QueueFull             Code = "QueueFull"
	DeadlineExceeded      Code = "DeadlineExceeded"
	UpstreamFailed        Code = "UpstreamFailed"
	UpstreamRejected      Code = "UpstreamRejected"
	CallerGone            Code = "CallerGone"
)

// StageReport is the cost of one stage of a request.
type StageReport struct {
	Name     string
	Upstream string
	Attempts int64
	WaitMs   float64
	RunMs    float64
}

// Answer is the final answer to a request. RetryAfter is the time after which the caller may retry, or 0 if a retry
// is of no use.
type Answer struct {
	RequestID  string
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration
	Output     json.RawMessage
	Tokens     int
	Stages     []StageReport
	Revision   int64
	Brownout   bool
	Replayed   bool
}

// NewNotRun returns the answer to a request that was refused before any of it ran.
func NewNotRun(code Code, retryAfter time.Duration, message string) Answer {
	return Answer{Outcome: NotRun, Code: code, RetryAfter: retryAfter, Message: message}
}
