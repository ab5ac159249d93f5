package response

import (
	"bytes"

	"github.com/turmericdoor/turmericdoor/invariant"
)

// Body writes the body of one answer to the caller.
type Body struct {
	response *Response
	head     Head
	resumed  bool
	bytes    int64
	// tail holds the last bytes written.
	tail []byte
}

// NotContinued is the error of an answer that does not continue the response.
type NotContinued struct {
	Cause string
}

// Error returns the cause.
func (nc NotContinued) Error() string {
	return "answer does not continue the response: " + nc.Cause
}

// Unfinished is the error of an answer that ended before its end.
type Unfinished struct {
	Cause string
}

// Error returns the cause.
func (uf Unfinished) Error() string {
	return uf.Cause
}

var eventEnd = []byte("\n\n")

// Write writes a part of the body: whole events if the response is resumable. The error is NotContinued at the first event
// that does not follow the last one of an earlier answer; events before it have been written.
func (bd *Body) Write(part []byte) error {
	rs := bd.response
	invariant.Check(rs.state == begun && rs.body == bd, "a response is written by one answer at a time",
		"attempt %d, last attempt %d, state %d", bd.head.Attempt, rs.body.head.Attempt, rs.state)
	if !rs.head.Resumable {
		return bd.pass(part)
	}
	end, reached, failure := bd.following(part)
	if end == 0 {
		return failure
	}
	rs.position = reached
	if err := bd.pass(part[:end]); err != nil {
		return err
	}
	return failure
}

// following returns the length of the events that may be written and the position after them.
func (bd *Body) following(part []byte) (int, position, error) {
	end, reached := 0, bd.response.position
	for event := range bytes.SplitAfterSeq(part, eventEnd) {
		next, follows := reached.after(event)
		if bd.resumed && !follows {
			return end, reached, NotContinued{Cause: "event " + next.last + " after event " + reached.last}
		}
		end, reached = end+len(event), next
	}
	return end, reached, nil
}

// tailBytes is the length of the longest end of an event.
const tailBytes = 4

func (bd *Body) pass(part []byte) error {
	bd.bytes += int64(len(part))
	bd.response.bytes += int64(len(part))
	joined := append(bd.tail, part[max(len(part)-tailBytes, 0):]...)
	bd.tail = joined[max(len(joined)-tailBytes, 0):]
	return bd.response.sink.Write(part)
}

// Complete ends the response as complete after the last byte of the answer. The error is Unfinished if the answer ended
// inside an event, or if it continued the response without an event or an explicit empty body.
func (bd *Body) Complete() error {
	rs := bd.response
	invariant.Check(rs.state == begun && rs.body == bd, "a response is completed by the answer that wrote last",
		"attempt %d, last attempt %d, state %d", bd.head.Attempt, rs.body.head.Attempt, rs.state)
	switch {
	case bd.head.IsEventStream() && bd.bytes > 0 && !endsEvent(bd.tail):
		return Unfinished{Cause: "stream ended inside an event"}
	case bd.resumed && bd.bytes == 0 && bd.head.Length != 0:
		return Unfinished{Cause: "stream ended without an event"}
	}
	rs.state = complete
	return nil
}

// endsEvent reports whether text ends with the empty line that ends an event.
func endsEvent(text []byte) bool {
	return bytes.HasSuffix(text, eventEnd) || bytes.HasSuffix(text, []byte("\r\n\r\n")) || bytes.HasSuffix(text, []byte("\r\r"))
}
