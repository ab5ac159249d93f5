package response

import (
	"fmt"
	"net/http"
)

// Sink is the connection to the caller.
type Sink interface {
	// Start writes the status and the headers; length is -1 if the body's length is unknown.
	Start(status int, header http.Header, length int64)
	// Write writes a part of the body and flushes it.
	Write(part []byte) error
}

// Response records what the caller of one request receives; it is not safe for concurrent use.
type Response struct {
	sink    Sink
	status  int
	begunBy int
	endedBy int
	bytes   int64
}

// New returns a response that has not begun.
func New(sink Sink) *Response {
	return &Response{sink: sink}
}

// Start writes the head of the answer to an attempt.
func (rs *Response) Start(attempt, status int, header http.Header, length int64) {
	rs.endedBy = attempt
	if rs.begunBy == 0 {
		rs.status, rs.begunBy = status, attempt
	}
	rs.sink.Start(status, header, length)
}

// Write writes a part of the body of the answer to an attempt.
func (rs *Response) Write(attempt int, part []byte) error {
	rs.endedBy = attempt
	rs.bytes += int64(len(part))
	return rs.sink.Write(part)
}

// BegunBy returns the number of the attempt whose answer began the response, or 0.
func (rs *Response) BegunBy() int {
	return rs.begunBy
}

// IsResumed reports whether an attempt after the first one wrote to the response.
func (rs *Response) IsResumed() bool {
	return rs.begunBy != rs.endedBy
}

// Summary returns what the caller has received.
func (rs *Response) Summary() string {
	return fmt.Sprintf("callerstatus=%d begunby=%d endedby=%d bytes=%d", rs.status, rs.begunBy, rs.endedBy, rs.bytes)
}
