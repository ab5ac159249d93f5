package gateway_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// after makes a caller resume a stream by itself after an event.
func after(id string) func(*gateway.Request) {
	return func(request *gateway.Request) {
		withoutStages(request)
		request.LastEventID, request.Resumes = id, begunElsewhere
	}
}

// again is an answer that begins the stream anew.
var again = response{status: 200, body: ": alive\n\nid: 1\n\nid: 2\n\n", contentType: eventStream}

// TestCallerThatResumesIsPassedTheStreamFromItsStart guards against numbers that go back for a caller that resumed.
func TestCallerThatResumesIsPassedTheStreamFromItsStart(t *testing.T) {
	restarted := response{status: 200, body: "id: 1\n\nid: 2\n\n", contentType: eventStream}
	fk := &fakes{responses: []response{restarted, {status: 200, body: "id: 6\n\n", contentType: eventStream}}}
	outcome, out := serve(t, fk, "/query/1", after("5"))
	assertOutcome(t, "Answered", outcome)
	must.Eq(t, "id: 6\n\n", out.body)
}

// TestCallerThatResumesHasNoHeadOfAnUnusableAnswer guards against a response that begins with an answer that can't be used.
func TestCallerThatResumesHasNoHeadOfAnUnusableAnswer(t *testing.T) {
	outcome, out := serve(t, &fakes{responses: []response{again, again}}, "/query/1", after("5"))
	assertOutcome(t, "Failed", outcome)
	must.Eq(t, 0, out.heads)
	must.Eq(t, "", out.body)
}

// TestSecondAnswerToACallerThatResumesBeginsAnew guards against numbers that go back after an answer that broke off.
func TestSecondAnswerToACallerThatResumesBeginsAnew(t *testing.T) {
	first := response{status: 200, body: "id: 6\n\n", contentType: eventStream, interrupted: true}
	fk := &fakes{maxUpstreams: 3, responses: []response{first, again, {status: 200, body: "id: 7\n\n", contentType: eventStream}}}
	outcome, out := serve(t, fk, "/query/1", after("5"))
	assertOutcome(t, "Answered", outcome)
	must.Eq(t, 1, out.heads)
	must.Eq(t, "id: 6\n\n: alive\n\nid: 7\n\n", out.body)
	for number, id := range []string{"5", "6", "6"} {
		must.Eq(t, id, fk.sends[number].LastEventID)
	}
}

// TestCallerResumesAStreamThatCannotBe guards against a lost answer of a pipeline whose upstreams ignore the last event id.
func TestCallerResumesAStreamThatCannotBe(t *testing.T) {
	outcome, out := serve(t, &fakes{responses: []response{again}}, "/draft/1", after("5"))
	assertOutcome(t, "Answered", outcome)
	must.Eq(t, again.body, out.body)
}
