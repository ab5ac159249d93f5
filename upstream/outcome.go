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

// Payload is what the stages of a request hand on to each other; Body is used by plain services only.
type Payload struct {
	Query    string
	Vector   []float64
	Passages []Passage
	Tokens   []string
	Body     json.RawMessage
}

// Call is one call to one upstream. Token, if set, receives each token of an engine as it arrives.
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

// Replied is a whole answer. Load is what the upstream reports to have in work, or -1.
type Replied struct {
	Identity attempt.Identity
	Payload  Payload
	Load     int64
	Waited   time.Duration
	Leaving  bool
}

func (Replied) outcome() {}

// NotSent says that no part of the call can have reached the upstream.
type NotSent struct {
	Cause string
}

func (NotSent) outcome() {}

// Broken says that the call ended without a whole answer and may have taken effect. Died says that the
// upstream's process was found gone right afterwards; Tokens are those that arrived.
type Broken struct {
	Cause  string
	Died   bool
	Tokens []string
}

func (Broken) outcome() {}

// Refused says that the upstream had no room or is leaving; NotRun is its word that the call had no effect.
type Refused struct {
	NotRun     bool
	Leaving    bool
	RetryAfter time.Duration
	Load       int64
}

func (Refused) outcome() {}

// Rejected says that the upstream finds fault with the request itself.
type Rejected struct {
	Status int
	Detail string
}

func (Rejected) outcome() {}

// Garbage is an answer that makes no sense, or one of another call.
type Garbage struct {
	Cause string
}

func (Garbage) outcome() {}
