package gateway_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMalformedParameterHidesAnEventStream guards against a part of an event that is passed on as whole.
func TestMalformedParameterHidesAnEventStream(t *testing.T) {
	open := response{status: 200, body: "id: 1\n\nid: 2\nda", contentType: "text/event-stream; charset"}
	outcome, out := serve(t, &fakes{responses: []response{open}}, "/draft/1", withoutStages)
	assertOutcome(t, "CutOff", outcome)
	must.Eq(t, "id: 1\n\n", out.body)
}
