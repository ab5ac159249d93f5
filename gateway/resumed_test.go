package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/retryquota"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

func withoutStages(rq *gateway.Request) { rq.ItemCounts = nil }

// cutStream is a stream whose connection is reset after its first event.
var cutStream = response{status: 200, body: "id: 1\n\n", interrupted: true}

func TestLogTellsWhatTheCallerReceived(t *testing.T) {
	t.Run("a stream that a second upstream completed", func(t *testing.T) {
		fk := &fakes{responses: []response{cutStream, {status: 200, body: "id: 2\n\n"}}}
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		assertDetails(t, fk, wire.EventKind_EventAttemptEnded, "reset", "status=200 bytes=7 resumes=1")
		assertDetails(t, fk, wire.EventKind_EventRequestEnded, `status=200 callerstatus=200 begunby=1 endedby=2 bytes=14 lastevent=2 end=Complete`)
		must.StrContains(t, fk.metrics, `turmericdoor_responses_total{pipeline="query",resumed="true",end="Complete"} 1`)
	})
	t.Run("a stream that no other upstream continued", func(t *testing.T) {
		fk := &fakes{responses: []response{cutStream, {err: errReset}}}
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		assertDetails(t, fk, wire.EventKind_EventAttemptEnded, "reset", "connection reset resumes=1")
		assertDetails(t, fk, wire.EventKind_EventRequestEnded, `connection reset callerstatus=200 begunby=1 endedby=1 bytes=7 lastevent=1 end=CutOff`)
		must.StrContains(t, fk.metrics, `turmericdoor_responses_total{pipeline="query",resumed="false",end="CutOff"} 1`)
	})
	t.Run("a response that has not begun", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		assertDetails(t, fk, wire.EventKind_EventRequestEnded, "connection reset")
	})
}

const eventStream = "text/event-stream"

// begun is the response of an upstream whose connection is reset inside its third event.
var begun = response{status: 200, body: "id: 1\n\nid: 2\n\nid: 3\nda", interrupted: true, contentType: eventStream}

// continued is what the caller has received of begun, and rest the whole continuation.
const (
	continued = "id: 1\n\nid: 2\n\n"
	rest      = "id: 3\n\nid: 4\n\n"
)

// noContinuations are answers to a resumed attempt that don't complete the stream. Passed is the part of them that
// continues it.
var noContinuations = []struct {
	name   string
	answer response
	passed string
}{
	{"status 500", response{status: 500, body: "error"}, ""},
	{"status 500 as an event stream", response{status: 500, body: rest, contentType: eventStream}, ""},
	{"status 404", response{status: 404, body: "none"}, ""},
	{"status 400", response{status: 400, body: "bad"}, ""},
	{"status 409", response{status: 409, body: "conflict"}, ""},
	{"status 302", response{status: 302, body: "there"}, ""},
	{"status 204", response{status: 204, contentType: eventStream, sized: true}, ""},
	{"status 206", response{status: 206, body: rest, contentType: eventStream}, ""},
	{"status 503 that may have run", response{status: 503, body: "full"}, ""},
	{"a reset", response{err: errReset}, ""},
	{"a rejection", response{status: 503, notExecuted: true}, ""},
	{"an empty body of unknown length", response{status: 200, contentType: eventStream}, ""},
	{"an empty body of another type", response{status: 200, sized: true}, ""},
	{"an unsigned success", response{status: 200, body: rest, contentType: eventStream, unsigned: true}, ""},
	{"an unsigned empty success", response{status: 200, contentType: eventStream, sized: true, unsigned: true}, ""},
	{"a success of another request", response{status: 200, body: rest, contentType: eventStream, mismatch: true}, ""},
	{"a body of another type", response{status: 200, body: rest, contentType: "text/html"}, ""},
	{"a body without a type", response{status: 200, body: rest}, ""},
	{"an end inside an event", response{status: 200, body: "id: 3\n\nid: 4\nda", contentType: eventStream}, "id: 3\n\n"},
	{"an end inside the first event", response{status: 200, body: "id: 3\nda", contentType: eventStream}, ""},
	{"a reset inside an event", response{status: 200, body: "id: 3\n\nid: 4\nda", contentType: eventStream, interrupted: true}, "id: 3\n\n"},
	{"the stream from its first event", response{status: 200, body: continued + rest, contentType: eventStream}, ""},
	{"the last event again", response{status: 200, body: "id: 2\n\n" + rest, contentType: eventStream}, ""},
	{"an event id that decreases", response{status: 200, body: "id: 4\n\nid: 3\n\n", contentType: eventStream}, "id: 4\n\n"},
}

// assertReceived checks that the caller has one head with the status of the first answer, and the body.
func assertReceived(t *testing.T, want string, out *sink) {
	t.Helper()
	must.Eq(t, 1, out.heads, must.Sprint("heads"))
	must.Eq(t, 200, out.status)
	must.Eq(t, want, out.body)
}

// TestBegunStreamEndsAsCompleteAfterAnotherAnswer guards against a stream that ends as complete by an answer that doesn't
// continue it.
func TestBegunStreamEndsAsCompleteAfterAnotherAnswer(t *testing.T) {
	limits := []struct {
		name         string
		maxUpstreams int
		budget       retryquota.Config
	}{
		{"no upstream left", 2, retryquota.Config{}},
		{"no retry budget left", 3, retryquota.Config{Extra: 2, Window: time.Minute}},
	}
	for _, each := range noContinuations {
		for _, limit := range limits {
			t.Run(fmt.Sprintf("%s, %s", each.name, limit.name), func(t *testing.T) {
				fk := &fakes{responses: []response{begun, each.answer}, maxUpstreams: limit.maxUpstreams, budget: limit.budget}
				outcome, out := serve(t, fk, "/query/1", withoutStages)
				assertReceived(t, continued+each.passed, out)
				assertOutcome(t, "CutOff", outcome)
			})
		}
		t.Run(each.name+", a third upstream continues", func(t *testing.T) {
			third := response{status: 200, body: rest[len(each.passed):], contentType: eventStream}
			if each.passed == "id: 4\n\n" {
				third.body = "id: 5\n\n"
			}
			fk := &fakes{responses: []response{begun, each.answer, third}, maxUpstreams: 3}
			outcome, out := serve(t, fk, "/query/1", withoutStages)
			assertReceived(t, continued+each.passed+third.body, out)
			assertOutcome(t, "Answered", outcome)
		})
	}
}

func TestBegunStreamIsCompletedByItsContinuation(t *testing.T) {
	cases := map[string]response{
		"events of unknown length":              {status: 200, body: rest, contentType: eventStream},
		"events of a known length":              {status: 200, body: rest, contentType: eventStream, sized: true},
		"a content type with parameters":        {status: 200, body: rest, contentType: "Text/Event-Stream; charset=utf-8"},
		"an event with several tokens":          {status: 200, body: "id: 9\n\n", contentType: eventStream},
		"a comment before the events":           {status: 200, body: ": alive\n\n" + rest, contentType: eventStream},
		"empty lines after the last event":      {status: 200, body: rest + "\n\n\n", contentType: eventStream},
		"a signed empty body: no event is left": {status: 200, contentType: eventStream, sized: true},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			outcome, out := serve(t, &fakes{responses: []response{begun, answer}}, "/query/1", withoutStages)
			assertOutcome(t, "Answered", outcome)
			assertReceived(t, continued+answer.body, out)
		})
	}
}

// TestStreamEndsInsideAnEvent guards against an answer without length whose connection is closed inside an event and that
// looks complete.
func TestStreamEndsInsideAnEvent(t *testing.T) {
	open := response{status: 200, body: "id: 1\n\nid: 2\nda", contentType: eventStream}
	t.Run("a resumable stream is resumed", func(t *testing.T) {
		fk := &fakes{responses: []response{open, {status: 200, body: "id: 2\n\n", contentType: eventStream}}}
		outcome, out := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		assertReceived(t, "id: 1\n\nid: 2\n\n", out)
		must.Eq(t, "1", fk.sends[1].LastEventID)
	})
	t.Run("a stream that can't be resumed is cut off", func(t *testing.T) {
		outcome, out := serve(t, &fakes{responses: []response{open}}, "/draft/1", nil)
		assertOutcome(t, "CutOff", outcome)
		assertReceived(t, "id: 1\n\n", out)
	})
	t.Run("a stream that ends after a whole event is complete", func(t *testing.T) {
		for _, path := range []string{"/query/1", "/draft/1"} {
			outcome, out := serve(t, &fakes{responses: []response{{status: 200, body: continued, contentType: eventStream}}}, path, withoutStages)
			assertOutcome(t, "Answered", outcome)
			assertReceived(t, continued, out)
		}
	})
}

// TestEventWithoutIDIsRepeated guards against a resumed stream that repeats events after the last id.
func TestEventWithoutIDIsRepeated(t *testing.T) {
	first := response{status: 200, body: "id: 1\n\ndata: unnumbered\n\n", interrupted: true, contentType: eventStream}
	fk := &fakes{responses: []response{first, {status: 200, body: "data: unnumbered\n\nid: 2\n\n", contentType: eventStream}}}
	outcome, out := serve(t, fk, "/query/1", withoutStages)
	assertOutcome(t, "CutOff", outcome)
	assertReceived(t, first.body, out)
	must.SliceLen(t, 1, fk.sends)
}

// TestCallerLeavesDuringAWrite checks that a response whose write fails is neither complete nor sent again.
func TestCallerLeavesDuringAWrite(t *testing.T) {
	for _, path := range []string{"/query/1", "/draft/1", "/lookup/1", "/once/1"} {
		t.Run(path, func(t *testing.T) {
			fk := &fakes{responses: []response{{status: 200, body: continued, contentType: eventStream}}}
			outcome := serveTo(t, fk, path, withoutStages, &sink{gone: true})
			assertOutcome(t, "Gone", outcome)
			must.SliceLen(t, 1, fk.sends)
		})
	}
}
