package ratelimit

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// Announcement is what one answer of an upstream says about its rate limit. It is sealed: its variants are None, Limit and
// Invalid.
type Announcement interface {
	announcement()
}

// None is the announcement of an answer without a rate limit.
type None struct{}

func (None) announcement() {}

// Limit is the rate that an upstream accepts from all instances together, in requests per second.
type Limit struct {
	PerSecond float64
}

func (Limit) announcement() {}

// String returns the rate for the log.
func (lm Limit) String() string {
	return strconv.FormatFloat(lm.PerSecond, 'g', -1, 64) + "/s"
}

// Invalid is an announcement that can't be parsed; it neither sets nor ends a limit.
type Invalid struct {
	Text string
}

func (Invalid) announcement() {}

// Exceeded is the error of a request that an upstream's rate limit does not allow; it was not sent.
type Exceeded struct {
	// RetryAfter is when the limit allows another request.
	RetryAfter time.Duration
}

// Error returns the message with the time.
func (ex Exceeded) Error() string {
	return fmt.Sprintf("the upstream's rate limit allows no request for %d ms", ex.RetryAfter.Milliseconds())
}

// observerKey is the context key of the observer.
type observerKey struct{}

// WithObserver returns a context for a call to an upstream whose answer is reported to observe.
func WithObserver(ctx context.Context, observe func(Announcement)) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

// Observe reports the announcement of an answer to the observer of the call's context, if it has one.
func Observe(ctx context.Context, announced Announcement) {
	if observe, found := ctx.Value(observerKey{}).(func(Announcement)); found {
		observe(announced)
	}
}
