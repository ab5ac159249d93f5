package entry_test

import (
	"io"
	"net/http"
	"strings"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// streamBreakage is one in how many events of a stream is a reset while resumed streams fail.
const streamBreakage = 4

// resumesFail makes streams break and lets upstreams answer most resumed attempts with anything but a continuation.
func (sk *soak) resumesFail() func() {
	us := sk.fleet.upstreams
	us.setResumesFail(true)
	return func() { us.setResumesFail(false) }
}

func (us *upstreamSet) setResumesFail(on bool) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.resumesFail = on
}

// failedResume returns an answer that does not complete the stream which the request resumes, or nil.
func (us *upstreamSet) failedResume(exchange gateway.UpstreamRequest) *gateway.UpstreamResponse {
	us.mu.Lock()
	defer us.mu.Unlock()
	if !us.resumesFail || exchange.LastEventID == "" || us.random.IntN(4) == 0 {
		return nil
	}
	id := exchange.Request.ID
	answers := []gateway.UpstreamResponse{
		{Status: http.StatusInternalServerError, Body: bodyOf("error"), Signed: true},
		{Status: http.StatusNotFound, Body: bodyOf("none"), Signed: true},
		{Status: http.StatusBadRequest, Body: bodyOf("bad"), Signed: true},
		{Status: http.StatusFound, Body: bodyOf("there"), Signed: true},
		{Status: http.StatusNoContent, Body: bodyOf(""), Signed: true},
		{Status: http.StatusPartialContent, Body: bodyOf("part"), Signed: true},
		{Status: http.StatusOK, Body: bodyOf(""), Signed: true},
		{Status: http.StatusOK, Body: bodyOf("data"), Signed: true},
		{Status: http.StatusOK, Body: bodyOf(completeStream(id)), Signed: true},
		{Status: http.StatusOK, Body: bodyOf(completeStream(id))},
		{Status: http.StatusOK, Body: bodyOf(completeStream("other")), Signed: true, RequestMismatch: true},
		{Status: http.StatusOK, Body: bodyOf("<html>\n\n"), Signed: true, Header: http.Header{"Content-Type": {"text/html"}}},
	}
	answer := answers[us.random.IntN(len(answers))]
	answer.Length = -1
	if answer.Header == nil {
		answer.Header = http.Header{"Content-Type": {eventStreamType}}
	}
	us.failedResumes++
	return &answer
}

func bodyOf(text string) io.ReadCloser { return io.NopCloser(strings.NewReader(text)) }

const eventStreamType = "text/event-stream"
