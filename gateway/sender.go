package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Exchange is one send of a request to an upstream.
type Exchange struct {
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

// Reply is an upstream's answer; Body must be closed.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is not known.
	Length int64
	// Sealed says that the answer bears the upstream's signature.
	Sealed bool
	// NotRun says that the upstream did not run the request, Misdirected that it isn't the expected one, and
	// InputGone that a result of a stage no longer lies anywhere.
	NotRun      bool
	Misdirected bool
	InputGone   bool
	// Foreign says that the answer belongs to another request.
	Foreign bool
}

// Sender sends requests to upstreams.
type Sender interface {
	// Send sends a request once and returns the head of the answer; the error is a NotSentError if the upstream
	// can't have read any of it.
	Send(ctx context.Context, exchange Exchange) (*Reply, error)
	// Reaches reports whether an upstream takes connections.
	Reaches(ctx context.Context, upstream *roster.Upstream) bool
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
