package runner

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// Request is one request of a caller with the revision of the document that it began with.
type Request struct {
	ID           string
	Document     *document.Document
	Organisation *document.Organisation
	Rank         *document.Rank
	Pipeline     *document.Pipeline
	Deadline     time.Time
	Payload      upstream.Payload
	Fingerprint  digest.Sum
	OnToken      func(index int, text string)
}

// UpstreamClient makes calls on upstreams.
type UpstreamClient interface {
	Do(ctx context.Context, call *upstream.Call) upstream.Outcome
}

// Pools finds the pool of a name.
type Pools interface {
	Pool(name string) *pool.Pool
}

// Permit is whether a content may run; Free, Alone and Denied are its variants.
type Permit interface {
	permit()
}

// Unrestricted lets a content run beside others.
type Unrestricted struct{}

func (Unrestricted) permit() {}

// Exclusive lets a suspect content run with an upstream to itself; Release must follow with how that ended.
type Exclusive struct {
	Release func(passed bool)
}

func (Exclusive) permit() {}

// Denied stops a content; Condemned says for good, otherwise RetryAfter is when to come back.
type Denied struct {
	Condemned  bool
	RetryAfter time.Duration
}

func (Denied) permit() {}

// LeavingReporter is told which upstreams say that they are leaving.
type LeavingReporter interface {
	UpstreamSaysLeaving(up *document.Upstream)
}

// Guard decides which contents may run after crashes.
type Guard interface {
	Permit(ctx context.Context, fingerprint digest.Sum) Permit
	ReportCrash(fingerprint digest.Sum, upstream, requestID string)
}
