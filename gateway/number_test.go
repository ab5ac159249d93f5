package gateway_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// TestRejectedAttemptIsLoggedUnderAnotherNumber guards against two numbers for one attempt in the log.
func TestRejectedAttemptIsLoggedUnderAnotherNumber(t *testing.T) {
	first := response{status: 200, body: "id: 1\n\n", interrupted: true, contentType: eventStream}
	fk := &fakes{maxUpstreams: 3, responses: []response{
		first, {status: 503, notExecuted: true}, {status: 200, body: "id: 2\n\n", contentType: eventStream},
	}}
	outcome, _ := serve(t, fk, "/query/1", withoutStages)
	assertOutcome(t, "Answered", outcome)
	chosen, ended := []int64{}, []int64{}
	for _, event := range fk.log {
		switch event.GetKind() {
		case wire.EventKind_EventUpstreamChosen:
			chosen = append(chosen, event.GetAttempt())
		case wire.EventKind_EventAttemptEnded:
			ended = append(ended, event.GetAttempt())
		}
	}
	must.Eq(t, chosen, ended)
}
