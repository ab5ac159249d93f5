package notice

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/ratelimit"
)

// Notice is what one answer of an upstream says about the upstream.
type Notice struct {
	// Limit is the rate that it accepts from all instances together.
	Limit ratelimit.Announcement
	// IsLeaving is set if it wants no new requests until it ends.
	IsLeaving bool
	// Pause is how long it wants no requests from the instance that it has answered, or 0.
	Pause time.Duration
	// Brittle is set if it ends when it has to reject too many requests.
	Brittle *Brittle
	// Cold is set if it states its remaining cold time.
	Cold *Cold
	// IsRejection is set if it has not executed the request because it was full.
	IsRejection bool
	// Unreadable describes a value that can't be parsed, or is empty. Such a value neither begins nor ends anything.
	Unreadable string
}

// Brittle is what an upstream says that ends when it has to reject too many requests.
type Brittle struct {
	// Rejections is the number of requests that it can reject in a second.
	Rejections float64
}

// Cold is what an upstream states of its cold time, in which it is slow and accepts only a low rate of requests.
type Cold struct {
	// Left is how long it still is cold, or 0 if it is not.
	Left time.Duration
}

// observerKey is the context key of the observer.
type observerKey struct{}

// WithObserver returns a context for a call to an upstream whose answer is reported to observe.
func WithObserver(ctx context.Context, observe func(Notice)) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

// Observe reports the notice of an answer to the observer of the call's context, if it has one.
func Observe(ctx context.Context, seen Notice) {
	if observe, found := ctx.Value(observerKey{}).(func(Notice)); found {
		observe(seen)
	}
}
