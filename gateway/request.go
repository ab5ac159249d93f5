package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/requestbody"
	"github.com/turmericdoor/turmericdoor/response"
	"github.com/turmericdoor/turmericdoor/route"
)

// Request is a caller's request; its method, path, query, headers and body are forwarded unchanged.
type Request struct {
	// ID is the caller's id of this attempt; a retry by the caller has a new one.
	ID       string
	Method   string
	Host     string
	Path     string
	RawQuery string
	HasQuery bool
	Header   http.Header
	// Body is released when the request ends, or once it can no longer be sent again.
	Body    *requestbody.Body
	APIKey  string
	Arrived time.Time
	// CallerTimeout is how long the caller waits, or 0 if it sent no timeout.
	CallerTimeout time.Duration
	// EndBy is when the instance ends all requests since it stops, or zero. A request that may take longer is refused.
	EndBy  time.Time
	Prompt Prompt
	// ItemCounts is the number of items of each stage; ItemKey is sent with the items of stages that read no results.
	ItemCounts  []int
	ItemKey     string
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this one continues, or "".
	Resumes string
}

// continuesStream reports whether the caller already has events of the stream.
func (rq *Request) continuesStream() bool {
	return rq.LastEventID != "" || rq.Resumes != ""
}

// fingerprint identifies the content of an organisation's request.
func (rq *Request) fingerprint(organisation string) digest.Sum {
	path, name := []byte(rq.Path), []byte(organisation)
	if rq.Body.Len() == 0 {
		return digest.Of(path, name, nil)
	}
	return digest.OfBlocks(rq.Body.Blocks(), path, name)
}

// maxLoggedText bounds a caller's text in the log, in bytes.
const maxLoggedText = 64

// clip shortens a caller's text for the log, and replaces bytes that are not valid UTF-8.
func clip(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxLoggedText)], "?")
}

// Prompt describes a prompt for a model engine. Parts are in order; all but the last may be shared with other requests.
type Prompt struct {
	Parts           []PromptPart
	Tokens          int
	MaxOutputTokens int
}

// PromptPart is a segment of a prompt, identified by ID across requests.
type PromptPart struct {
	ID     string
	Tokens int
}

// session hashes the shared parts of the prompt; it is 0 if there are none.
func (pr Prompt) session() uint64 {
	if len(pr.Parts) < 2 {
		return 0
	}
	return xxhash.Sum64String(pr.Parts[len(pr.Parts)-2].ID) | 1
}

// sharedParts returns the parts that may be shared with other requests: all but the last.
func (pr Prompt) sharedParts() []PromptPart {
	return pr.Parts[:max(len(pr.Parts)-1, 0)]
}

// sharedTokens returns the number of tokens in the shared parts.
func (pr Prompt) sharedTokens() int {
	tokens := 0
	for _, part := range pr.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// sharedHashes returns the hashes of the first poison.MaxParts shared parts, by which crashes are recorded.
func (pr Prompt) sharedHashes() []poison.Part {
	shared := pr.sharedParts()
	hashes := []poison.Part{}
	for _, part := range shared[:min(len(shared), poison.MaxParts)] {
		hashes = append(hashes, poison.PartOf(part.ID))
	}
	return hashes
}

// maxLoggedIDs bounds the IDs in one log line.
const maxLoggedIDs = 8

// sharedIDs returns the IDs of the first maxLoggedIDs shared parts, separated by commas, for the log.
func (pr Prompt) sharedIDs() string {
	shared := pr.sharedParts()
	ids := []string{}
	for _, part := range shared[:min(len(shared), maxLoggedIDs)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// ownTokens returns the number of prompt tokens that are not shared with other requests.
func (pr Prompt) ownTokens() int {
	return max(pr.Tokens-pr.sharedTokens(), 0)
}

// Sink receives the response for the caller.
type Sink interface {
	response.Sink
	// SetDeadline sets when the response must be complete. Writes fail soon after it, even if the caller reads nothing.
	SetDeadline(deadline time.Time)
}

// Outcome is the result of a request. It is sealed: its variants are Answered, CutOff, Refused, NotFound, Unauthorised,
// Failed, TimedOut and Gone.
type Outcome interface {
	outcome()
}

// Answered is the outcome of a request whose upstream response was written completely to the sink.
type Answered struct{}

func (Answered) outcome() {}

// CutOff is the outcome of a request whose response was started but can't be completed.
type CutOff struct{}

func (CutOff) outcome() {}

// Refused is the outcome of a request that was not executed and never will be. RetryAfter is 0 if no time can be given.
type Refused struct {
	RetryAfter time.Duration
	Cause      Cause
}

// Cause is the reason why a request was refused.
type Cause string

// The causes of refusals.
const (
	// NoConfiguration and NoPool: the instance has no configuration yet, or the configuration has no pool for the pipeline.
	NoConfiguration Cause = "NoConfiguration"
	NoPool          Cause = "NoPool"
	// CrashesUpstreams: requests with the same content, or with one part of the prompt, have crashed upstreams.
	CrashesUpstreams Cause = "CrashesUpstreams"
	// Overload: the expected latency is too long for the target latency or the deadline.
	Overload Cause = "Overload"
	// StagesRefused: the stages were not completed; StagesLost: their results were lost repeatedly.
	StagesRefused Cause = "StagesRefused"
	StagesLost    Cause = "StagesLost"
	// NoUpstream: the pool has no upstream to try; UpstreamsFull: the upstreams tried rejected the request.
	NoUpstream    Cause = "NoUpstream"
	UpstreamsFull Cause = "UpstreamsFull"
	// RateLimited: the rate limits of the upstreams are used up.
	RateLimited Cause = "RateLimited"
	// UpstreamsPaused: all upstreams want no requests for some time.
	UpstreamsPaused Cause = "UpstreamsPaused"
	// Evacuated: the failure domains of all upstreams that could serve the request, or one of its stages, are evacuated.
	Evacuated Cause = "Evacuated"
	// VersionUnknown: the software version that began the stream is not known; VersionGone: no upstream of it is left.
	VersionUnknown Cause = "VersionUnknown"
	VersionGone    Cause = "VersionGone"
	// NoTime: the deadline passed before the request was sent.
	NoTime Cause = "NoTime"
	// Stopping: the instance ends before the deadline.
	Stopping Cause = "Stopping"
	// Closed: the instance no longer accepts requests.
	Closed Cause = "Closed"
)

func (Refused) outcome() {}

// NotFound is the outcome of a request whose host and path match no pipeline.
type NotFound struct{}

func (NotFound) outcome() {}

// Unauthorised is the outcome of a request whose API key belongs to no organisation.
type Unauthorised struct{}

func (Unauthorised) outcome() {}

// Failed is the outcome of a request without a usable response that may have been executed.
type Failed struct {
	Cause string
}

func (Failed) outcome() {}

// TimedOut is the outcome of a request whose deadline passed and that may have been executed.
type TimedOut struct{}

func (TimedOut) outcome() {}

// Gone is the outcome of a request whose caller disconnected before the response was complete.
type Gone struct{}

func (Gone) outcome() {}

// OutcomeName returns the outcome's name in events and metrics.
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

// releaseUnneeded releases the body of a request that may have been executed if the body will not be sent again.
func (rn *run) releaseUnneeded() {
	if rn.pipeline.RetryPolicy == route.AtMostOnce || rn.audit.Executions() >= rn.pipeline.MaxUpstreams {
		rn.request.Body.Release()
	}
}
