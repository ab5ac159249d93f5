package response

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/turmericdoor/turmericdoor/events"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// Sink is the connection to the caller.
type Sink interface {
	// Start writes the status and the headers; length is -1 if the body's length is unknown.
	Start(status int, header http.Header, length int64)
	// Write writes a part of the body and flushes it.
	Write(part []byte) error
}

// Head is the head of the answer to an attempt.
type Head struct {
	Attempt int
	Status  int
	Header  http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Streamed is set if the body is written as it arrives, Resumable if another answer may continue it.
	Streamed  bool
	Resumable bool
}

// eventStream is the content type of server-sent events.
const eventStream = "text/event-stream"

// IsEventStream reports whether the body is a stream of server-sent events.
func (hd Head) IsEventStream() bool {
	return hd.Streamed && hd.mediaType() == eventStream
}

// MayBeEventStream reports whether the body has the content type of server-sent events or none.
func (hd Head) MayBeEventStream() bool {
	name := hd.mediaType()
	return name == eventStream || name == ""
}

// mediaType returns the content type without its parameters, which may be malformed, in lower case.
func (hd Head) mediaType() string {
	name, _, _ := strings.Cut(hd.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// state is how far a response is.
type state int

const (
	notBegun state = iota
	begun
	complete
	cutOff
)

// Response is what the caller of one request receives: one head, then the body of one answer and of those that continue
// it. It ends once, complete or cut off. It is not safe for concurrent use.
type Response struct {
	sink  Sink
	state state
	head  Head
	// body is the only one that may write.
	body     *Body
	bytes    int64
	position position
}

// New returns a response that has not begun.
func New(sink Sink) *Response {
	return &Response{sink: sink}
}

// NewAfter returns a response that has not begun, to a caller that already has the events of the stream up to the one with
// an id, or none if it is "".
func NewAfter(sink Sink, lastEventID string) *Response {
	rs := New(sink)
	if lastEventID != "" {
		rs.position.advance(events.Event{ID: lastEventID, HasID: true})
	}
	return rs
}

// CheckFirst returns a NotContinued error if the first part of an answer does not follow the events that the caller already
// has. It is called before Begin, so that another answer can still begin the response.
func (rs *Response) CheckFirst(head Head, part []byte) error {
	if !head.Resumable {
		return nil
	}
	sc := events.Scanner{}
	for event := range sc.Events(part) {
		if event.HasID {
			return rs.position.check(event)
		}
	}
	return nil
}

// Begin writes the head of an answer and returns the body; it is called once.
func (rs *Response) Begin(head Head) *Body {
	invariant.Check(rs.state == notBegun, "a response has one head", "attempt %d after attempt %d", head.Attempt, rs.head.Attempt)
	length := head.Length
	if head.Resumable {
		// A second answer may continue the body, whose length is therefore unknown.
		length = -1
	}
	rs.state, rs.head = begun, head
	rs.body = &Body{response: rs, head: head, mustFollow: rs.position.last != ""}
	rs.sink.Start(head.Status, head.Header, length)
	return rs.body
}

// Resume returns the body of an answer that continues the response, or a NotContinued error.
func (rs *Response) Resume(head Head) (*Body, error) {
	switch {
	case !rs.CanResume():
		return nil, NotContinued{Cause: "the response can't be resumed"}
	case head.Status != http.StatusOK:
		return nil, NotContinued{Cause: fmt.Sprintf("status=%d", head.Status)}
	case head.mediaType() != rs.head.mediaType():
		return nil, NotContinued{Cause: fmt.Sprintf("content type %q after %q", head.mediaType(), rs.head.mediaType())}
	}
	rs.body = &Body{response: rs, head: head, resumed: true, mustFollow: true}
	return rs.body, nil
}

// CutOff ends a response that has begun and is not complete.
func (rs *Response) CutOff() {
	if rs.state == begun {
		rs.state = cutOff
	}
}

// IsBegun reports whether the head has been written.
func (rs *Response) IsBegun() bool {
	return rs.state != notBegun
}

// IsComplete reports whether the caller has received the whole response.
func (rs *Response) IsComplete() bool {
	return rs.state == complete
}

// CanResume reports whether another answer may continue the response after LastEventID.
func (rs *Response) CanResume() bool {
	return rs.state == begun && rs.head.Resumable && rs.position.isKnown()
}

// LastEventID returns the id of the last event that the caller has, or "".
func (rs *Response) LastEventID() string {
	return rs.position.last
}

// BegunBy returns the number of the attempt whose answer began the response, or 0.
func (rs *Response) BegunBy() int {
	return rs.head.Attempt
}

// IsResumed reports whether the answer to a second attempt continued the response.
func (rs *Response) IsResumed() bool {
	return rs.body != nil && rs.body.resumed
}

// Summary returns what the caller has received.
func (rs *Response) Summary() string {
	endedBy := 0
	if rs.body != nil {
		endedBy = rs.body.head.Attempt
	}
	return fmt.Sprintf("callerstatus=%d begunby=%d endedby=%d bytes=%d lastevent=%s",
		rs.head.Status, rs.head.Attempt, endedBy, rs.bytes, rs.position.last)
}
