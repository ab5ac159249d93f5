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

// Permit states whether and how a request's content may run. It is sealed: its variants are Unrestricted, Exclusive and
// Denied.
type Permit interface {
	permit()
}

// Unrestricted permits a content to run on an upstream together with other requests.
type Unrestricted struct{}

func (Unrestricted) permit() {}

// Exclusive permits a content that is suspected of crashing upstreams to run once, on an upstream on which this instance
// runs nothing else. Release must be called at the end; passed tells whether the content ran without a failure.
type Exclusive struct {
	Release func(passed bool)
}

func (Exclusive) permit() {}

// Denied forbids a content to run. If Blocked is set, it is blocked for crashing upstreams; otherwise it is suspected of
// that and can't be tried now, and the caller may retry after RetryAfter.
type Denied struct {
	Blocked    bool
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
