package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request, which is passed on unchanged.
type Request struct {
	// ID is the caller's name for this attempt; a retry of the caller has another one.
	ID       string
	Method   string
	Host     string
	Path     string
	RawQuery string
	HasQuery bool
	Header   http.Header
	Body     []byte
	APIKey   string
	Arrived  time.Time
	// CallerTimeout is how long the caller waits, or 0 if it did not say.
	CallerTimeout time.Duration
	Prompt        Prompt
	// ItemCounts is the number of items of each stage, ItemKey goes with the items of stages that read no results.
	ItemCounts  []int
	ItemKey     string
	LastEventID string
}

// Prompt describes a prompt for a model engine; Parts are in order, and only the last is the request's own.
type Prompt struct {
	Parts           []PromptPart
	Tokens          int
	MaxOutputTokens int
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// session identifies the shared parts, or is 0 without any.
func (pr Prompt) session() uint64 {
	if len(pr.Parts) < 2 {
		return 0
	}
	return xxhash.Sum64String(pr.Parts[len(pr.Parts)-2].ID) | 1
}

func (pr Prompt) sharedTokens() int {
	shared := 0
	for at := range max(len(pr.Parts)-1, 0) {
		shared += pr.Parts[at].Tokens
	}
	return shared
}

// ownTokens are the tokens that no other request shares.
func (pr Prompt) ownTokens() int {
	return max(pr.Tokens-pr.sharedTokens(), 0)
}

// Sink is where an answer goes.
type Sink interface {
	// Start sends the status and the headers; length is -1 if it is not known.
	Start(status int, header http.Header, length int64)
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Outcome is how a request ended; its variants follow.
type Outcome interface {
	outcome()
}

// Answered says that the whole answer of an upstream went to the sink.
type Answered struct{}

func (Answered) outcome() {}

// CutOff says that the answer began and can't be completed.
type CutOff struct{}

func (CutOff) outcome() {}

// Refused says that the request did not run and never will; RetryAfter is when there is room, or 0.
type Refused struct {
	RetryAfter time.Duration
	Cause      Cause
}

// Cause is why a request was refused.
type Cause string

// The causes of refusals.
const (
	// NoConfiguration and NoPool say that the instance does not know enough yet.
	NoConfiguration Cause = "NoConfiguration"
	NoPool          Cause = "NoPool"
	// CrashesUpstreams is a request whose like has crashed upstreams.
	CrashesUpstreams Cause = "CrashesUpstreams"
	// Overload is a request that is expected too late.
	Overload Cause = "Overload"
	// StagesRefused is a request whose items were not taken, StagesLost one whose results were lost again and again.
	StagesRefused Cause = "StagesRefused"
	StagesLost    Cause = "StagesLost"
	// NoUpstream is a pool in which no upstream may be tried, UpstreamsFull one whose upstreams rejected the request.
	NoUpstream    Cause = "NoUpstream"
	UpstreamsFull Cause = "UpstreamsFull"
	// NoTime is a request whose time was over before it was sent.
	NoTime Cause = "NoTime"
	// Closed is an instance that has stopped.
	Closed Cause = "Closed"
)

func (Refused) outcome() {}

// NotFound says that no pipeline has the host and path.
type NotFound struct{}

func (NotFound) outcome() {}

// Unauthorised says that no organisation has the key.
type Unauthorised struct{}

func (Unauthorised) outcome() {}

// Failed says that there is no usable answer and that the request may have run.
type Failed struct {
	Cause string
}

func (Failed) outcome() {}

// TimedOut says that the time was over and that the request may have run.
type TimedOut struct{}

func (TimedOut) outcome() {}

// Gone says that the caller has left.
type Gone struct{}

func (Gone) outcome() {}

// OutcomeName returns the name of an outcome's variant.
func OutcomeName(outcome Outcome) string {
	switch outcome.(type) {
	case Answered:
		return "Answered"
	case CutOff:
		return "CutOff"
	case Refused:
		return "Refused"
	case NotFound:
		return "NotFound"
	case Unauthorised:
		return "Unauthorised"
	case Failed:
		return "Failed"
	case TimedOut:
		return "TimedOut"
	case Gone:
		return "Gone"
	}
	return "Unknown"
}
