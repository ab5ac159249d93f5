package ratelimit

import (
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

// Exceeded is the error of a request that an upstream does not accept now, for its rate limit or a pause; it was not sent.
type Exceeded struct {
	// RetryAfter is when the upstream accepts another request.
	RetryAfter time.Duration
	// IsPause is set if the upstream has asked for a pause.
	IsPause bool
}

// Error returns the message with the time.
func (ex Exceeded) Error() string {
	if ex.IsPause {
		return fmt.Sprintf("the upstream has asked for a pause of %d ms more", ex.RetryAfter.Milliseconds())
	}
	return fmt.Sprintf("the upstream's rate limit allows no request for %d ms", ex.RetryAfter.Milliseconds())
}
