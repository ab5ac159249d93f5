package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// UpstreamRequest is one attempt of a request at an upstream.
type UpstreamRequest struct {
	Request      *Request
	Upstream     *roster.Upstream
	Organisation string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Inputs are the handles of the stage results that the request reads.
	Inputs      []string
	Rank        int
	Engine      bool
	LastEventID string
}

// UpstreamResponse is an upstream's response; Body must be closed.
type UpstreamResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// EndsWithConnection reports that the body has neither a length nor chunks, so that its end is that of the connection.
	EndsWithConnection bool
	// Signed reports that the response carries the upstream's valid signature.
	Signed bool
	// NotExecuted reports that the upstream did not execute the request, Misdirected that the upstream is not the
	// expected one, InputMissing that the result of a stage is no longer stored.
	NotExecuted  bool
	Misdirected  bool
	InputMissing bool
	// RequestMismatch reports that the response names another request, Encoded that its body has a content encoding.
	RequestMismatch bool
	Encoded         bool
}

// promisesNotRun reports whether a status tells the caller that its request has not run and never will. Only an upstream
// that says so with UpstreamResponse.NotExecuted vouches for that.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Sender sends requests to upstreams.
type Sender interface {
	// Send sends a request once and returns the response head. The error is a NotSentError if the upstream can't have
	// read any of the request.
	Send(ctx context.Context, request UpstreamRequest) (*UpstreamResponse, error)
	// Probe reports whether an upstream's process is there.
	Probe(ctx context.Context, upstream *roster.Upstream) ProcessState
	// HasRestarted reports whether another incarnation answers at the upstream's address.
	HasRestarted(ctx context.Context, upstream *roster.Upstream) bool
}

// ProcessState is what a probe tells of an upstream's process.
type ProcessState int

// The states: it accepts connections, its host refuses them, or there was no response.
const (
	ProcessAlive ProcessState = iota
	ProcessGone
	ProcessUnknown
)

// NotSentError reports a failed attempt of which the upstream can't have read anything. IsRefused is set if its host refused the
// connection, so that its process has ended.
type NotSentError struct {
	Cause     error
	IsRefused bool
}

// Error returns the message with its cause.
func (ne NotSentError) Error() string {
	return "not sent: " + ne.Cause.Error()
}

// Unwrap returns the cause.
func (ne NotSentError) Unwrap() error {
	return ne.Cause
}

func isRefused(err error) bool {
	target := NotSentError{}
	return errors.As(err, &target) && target.IsRefused
}

func notSent(err error) bool {
	target := NotSentError{}
	return errors.As(err, &target)
}
