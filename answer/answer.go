package answer

import (
	"encoding/json"
	"time"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes. NotRun says that nothing of the request was sent to an upstream, Unknown that a
// non-idempotent request may have run, and Failed that it ran without an answer.
const (
	Answered Outcome = "Answered"
	NotRun   Outcome = "NotRun"
	Unknown  Outcome = "Unknown"
	Failed   Outcome = "Failed"
)

// Code says why a request was not answered; codes are stable.
type Code string

// The codes.
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

// StageReport is the cost of one stage.
type StageReport struct {
	Name     string
	Upstream string
	Attempts int64
	WaitMs   float64
	RunMs    float64
}

// Answer is the whole of what a caller is told; RetryAfter is 0 where coming back is of no use.
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

// NewNotRun returns an answer to a request that was refused unrun.
func NewNotRun(code Code, retryAfter time.Duration, message string) Answer {
	return Answer{Outcome: NotRun, Code: code, RetryAfter: retryAfter, Message: message}
}
