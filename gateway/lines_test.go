package gateway_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestStreamThatIsNoEventStreamIsHeldBack checks that a long answer without a blank line is not lost.
func TestStreamThatIsNoEventStreamIsHeldBack(t *testing.T) {
	lines := response{status: 200, body: strings.Repeat("{}\n", 100<<10), contentType: "application/x-ndjson"}
	outcome, out := serve(t, &fakes{responses: []response{lines}}, "/draft/1", withoutStages)
	assertOutcome(t, "Answered", outcome)
	must.Eq(t, len(lines.body), len(out.body))
}

// TestAnswerThatIsNoEventStreamLooksComplete guards against a part of an answer that is passed on as the whole one.
func TestAnswerThatIsNoEventStreamLooksComplete(t *testing.T) {
	broken := response{status: 200, body: "{}\n\n{}", contentType: "application/x-ndjson", interrupted: true}
	t.Run("an answer that can't be requested again fails", func(t *testing.T) {
		outcome, out := serve(t, &fakes{responses: []response{broken}}, "/draft/1", withoutStages)
		assertOutcome(t, "Failed", outcome)
		must.Eq(t, 0, out.heads)
	})
	t.Run("another answer replaces it", func(t *testing.T) {
		whole := response{status: 200, body: "{}", contentType: "application/x-ndjson"}
		outcome, out := serve(t, &fakes{responses: []response{broken, whole}}, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		assertReceived(t, "{}", out)
	})
	t.Run("without a type it is a stream", func(t *testing.T) {
		outcome, out := serve(t, &fakes{responses: []response{{status: 200, body: "id: 1\n\nid: 2", interrupted: true}}}, "/draft/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		assertReceived(t, "id: 1\n\n", out)
	})
}
