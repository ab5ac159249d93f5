package gateway_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
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
		assertDetails(t, fk, wire.EventKind_EventRequestEnded, `status=200 callerstatus=200 begunby=1 endedby=2 bytes=14 lastevent="2" end=Complete`)
		must.StrContains(t, fk.metrics, `turmericdoor_responses_total{pipeline="query",resumed="true",end="Complete"} 1`)
	})
	t.Run("a stream that no other upstream continued", func(t *testing.T) {
		fk := &fakes{responses: []response{cutStream, {err: errReset}}}
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		assertDetails(t, fk, wire.EventKind_EventAttemptEnded, "reset", "connection reset resumes=1")
		assertDetails(t, fk, wire.EventKind_EventRequestEnded, `connection reset callerstatus=200 begunby=1 endedby=1 bytes=7 lastevent="1" end=CutOff`)
		must.StrContains(t, fk.metrics, `turmericdoor_responses_total{pipeline="query",resumed="false",end="CutOff"} 1`)
	})
	t.Run("a response that has not begun", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		assertDetails(t, fk, wire.EventKind_EventRequestEnded, "connection reset")
	})
}
