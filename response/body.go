package response

import (
	"github.com/turmericdoor/turmericdoor/events"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// Body writes the body of one answer to the caller.
type Body struct {
	response *Response
	head     Head
	// resumed is set if another answer began the response, mustFollow if the caller already has events of the stream.
	resumed    bool
	mustFollow bool
	bytes      int64
	// scanner has read what was written of a stream.
	scanner events.Scanner
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

// Write writes a part of the body: whole events if the response is resumable. The error is NotContinued at the first event
// that does not follow those that the caller already had; events before it have been written.
func (bd *Body) Write(part []byte) error {
	rs := bd.response
	invariant.Check(rs.state == begun && rs.body == bd, "a response is written by one answer at a time",
		"attempt %d, last attempt %d, state %d", bd.head.Attempt, rs.body.head.Attempt, rs.state)
	if !rs.head.Resumable {
		bd.scanner.Skip(part)
		return bd.pass(part)
	}
	end, failure := bd.advance(part)
	if end == 0 {
		return failure
	}
	if err := bd.pass(part[:end]); err != nil {
		return err
	}
	return failure
}

// advance moves the position of the response after the events that may be written and returns their length.
func (bd *Body) advance(part []byte) (int, error) {
	reached := &bd.response.position
	end := 0
	for event := range bd.scanner.Events(part) {
		if err := reached.check(event); bd.mustFollow && err != nil {
			return end, err
		}
		reached.advance(event)
		end += len(event.Text)
	}
	return end, nil
}

func (bd *Body) pass(part []byte) error {
	bd.bytes += int64(len(part))
	bd.response.bytes += int64(len(part))
	return bd.response.sink.Write(part)
}

// Complete ends the response as complete after the last byte of the answer. The error is Unfinished if the answer ended
// inside an event, or if it continued the response without an event or an explicit empty body.
func (bd *Body) Complete() error {
	rs := bd.response
	invariant.Check(rs.state == begun && rs.body == bd, "a response is completed by the answer that wrote last",
		"attempt %d, last attempt %d, state %d", bd.head.Attempt, rs.body.head.Attempt, rs.state)
	switch {
	case bd.head.IsEventStream() && bd.bytes > 0 && !bd.scanner.IsAfterEvent():
		return Unfinished{Cause: "stream ended inside an event"}
	case bd.resumed && bd.bytes == 0 && bd.head.Length != 0:
		return Unfinished{Cause: "stream ended without an event"}
	}
	rs.state = complete
	return nil
}
