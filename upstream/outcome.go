package upstream

import (
	"encoding/json"
	"time"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
)

// Passage is one document that a retriever found.
type Passage struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Payload is the data that the stages of a request pass on; Body is used by plain services only.
type Payload struct {
	Query    string
	Vector   []float64
	Passages []Passage
	Tokens   []string
	Body     json.RawMessage
}

// Call is one call to one upstream. OnToken, if set, is called with each token of an engine as it arrives.
type Call struct {
	Kind          document.Kind
	Upstream      string
	Address       string
	Path          string
	Identity      attempt.Identity
	Priority      int
	Payload       Payload
	Candidates    int64
	MaxTokens     int64
	Model         string
	Adapter       string
	NonIdempotent bool
	OnToken       func(index int, text string)
}

// Outcome is how a call ended; Replied, NotSent, Broken, Refused, Rejected and Garbage are its variants.
type Outcome interface {
	outcome()
}

// Replied is a complete and valid answer.
type Replied struct {
	// Identity is the identity that the upstream returned, which the caller must compare with that of the call.
	Identity attempt.Identity
	Payload  Payload
	// Load is the number of calls in flight that the upstream reported, or -1 if it reported none.
	Load int64
	// Waited is the time that the call waited inside the upstream.
	Waited  time.Duration
	Leaving bool
}

func (Replied) outcome() {}

// NotSent reports that no part of the call can have reached the upstream.
type NotSent struct {
	Cause string
}

func (NotSent) outcome() {}

// Broken reports that the call ended without a complete answer and may have taken effect.
type Broken struct {
	Cause string
	// Died is set if the upstream's host refused a connection right afterwards, so its process is gone.
	Died bool
	// Tokens are the tokens that have arrived, including those in the call's payload.
	Tokens []string
}

func (Broken) outcome() {}

// Refused reports that the upstream has no capacity or is leaving.
type Refused struct {
	// NotRun is set if the upstream stated that the call had no effect.
	NotRun     bool
	Leaving    bool
	RetryAfter time.Duration
	// Load is the number of calls in flight that the upstream reported, or -1 if it reported none.
	Load int64
}

func (Refused) outcome() {}

// Rejected reports that the upstream considers the request itself invalid.
type Rejected struct {
	Status int
	Detail string
}

func (Rejected) outcome() {}

// Garbage is an invalid answer; Cause states why it is invalid.
type Garbage struct {
	Cause string
	// Tokens are the valid tokens that have arrived, including those in the call's payload.
	Tokens []string
}

func (Garbage) outcome() {}
