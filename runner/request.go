package runner

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// Request is one request of a caller.
type Request struct {
	ID string
	// Document is the revision of the document at the time of arrival; the request uses it to its end.
	Document     *document.Document
	Organisation *document.Organisation
	Rank         *document.Rank
	Pipeline     *document.Pipeline
	Deadline     time.Time
	Payload      upstream.Payload
	// Fingerprint identifies the request's content for crash quarantine.
	Fingerprint digest.Sum
	// OnToken, if set, is called with each token of the last stage as it arrives.
	OnToken func(index int, text string)
}

// UpstreamClient sends calls to upstreams.
type UpstreamClient interface {
	Do(ctx context.Context, call *upstream.Call) upstream.Outcome
}

// Pools returns pools by name.
type Pools interface {
	Pool(name string) *pool.Pool
}

// Permit states whether and how a request's content may run; Unrestricted, Exclusive and Denied are its variants.
type Permit interface {
	permit()
}

// Unrestricted permits a content to run beside others on an upstream.
type Unrestricted struct{}

func (Unrestricted) permit() {}

// Exclusive permits a suspect content to run if nothing else runs on the upstream. Release must be called at the
// end, with whether the content ran without a failure.
type Exclusive struct {
	Release func(passed bool)
}

func (Exclusive) permit() {}

// Denied forbids a content to run: permanently if Condemned is set, and otherwise for the time RetryAfter.
type Denied struct {
	Condemned  bool
	RetryAfter time.Duration
}

func (Denied) permit() {}

// LeavingReporter receives the upstreams whose answers state that they are leaving.
type LeavingReporter interface {
	ReportUpstreamLeaving(up *document.Upstream)
}

// Guard decides whether contents may run that upstreams have crashed on, and receives reports of crashes.
type Guard interface {
	Permit(ctx context.Context, fingerprint digest.Sum) Permit
	ReportCrash(fingerprint digest.Sum, upstream, requestID string)
}
