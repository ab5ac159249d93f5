package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// UpstreamRequest is one send of a request to an upstream.
type UpstreamRequest struct {
	Request      *Request
	Upstream     *roster.Upstream
	Organisation string
	// Remaining is how long the upstream may work on the request.
	Remaining time.Duration
	// Inputs are the results of stages that the request reads.
	Inputs      []string
	Rank        int
	Engine      bool
	LastEventID string
}

// UpstreamResponse is an upstream's answer; Body must be closed.
type UpstreamResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is not known.
	Length int64
	// Signed says that the answer bears the upstream's signature.
	Signed bool
	// NotExecuted says that the upstream did not run the request, Misdirected that it isn't the expected one, and
	// InputGone that a result of a stage no longer lies anywhere.
	NotExecuted  bool
	Misdirected  bool
	InputMissing bool
	// RequestMismatch says that the answer belongs to another request.
	RequestMismatch bool
}

// Sender sends requests to upstreams.
type Sender interface {
	// Send sends a request once and returns the head of the answer; the error is a NotSentError if the upstream
	// can't have read any of it.
	Send(ctx context.Context, exchange UpstreamRequest) (*UpstreamResponse, error)
	// IsReachable reports whether an upstream takes connections.
	IsReachable(ctx context.Context, upstream *roster.Upstream) bool
}

// NotSentError says that the upstream can't have read any of the request.
type NotSentError struct {
	Cause error
}

// Error returns the cause.
func (ne NotSentError) Error() string {
	return "not sent: " + ne.Cause.Error()
}

// Unwrap returns the cause.
func (ne NotSentError) Unwrap() error {
	return ne.Cause
}

func notSent(err error) bool {
	target := NotSentError{}
	return errors.As(err, &target)
}
