package gateway_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// lastChosen returns the detail of the last choice of an upstream.
func lastChosen(fk *fakes) string {
	detail := ""
	for _, event := range fk.log {
		if event.GetKind() == wire.EventKind_EventUpstreamChosen {
			detail = event.GetDetail()
		}
	}
	return detail
}

// withTokens gives a request the prompt of withPrompt with more unshared tokens.
func withTokens(request *gateway.Request) {
	withPrompt(request)
	request.Prompt.Tokens = 2908
}

// TestCopiesInLog guards against demand that does not reach the placement, and against a log that does not tell how many engines
// serve a session.
func TestCopiesInLog(t *testing.T) {
	for name, each := range map[string]struct {
		earlier int
		change  func(*gateway.Request)
		want    string
	}{
		"no shared parts": {60, nil, " copies=0 "},
		"little demand":   {1, withTokens, " copies=1 "},
		"much demand":     {60, withTokens, " copies=3 "},
	} {
		t.Run(name, func(t *testing.T) {
			fk := &fakes{earlier: each.earlier}
			for range each.earlier + 1 {
				fk.responses = append(fk.responses, response{status: 200, contentType: "text/event-stream", body: "id: 1\n\n"})
			}
			outcome, _ := serve(t, fk, "/query/1", each.change)
			assertOutcome(t, "Answered", outcome)
			must.StrContains(t, lastChosen(fk), each.want)
		})
	}
}

// TestRetriesAreNoDemand guards against one request that is sent several times being taken for demand of its session.
func TestRetriesAreNoDemand(t *testing.T) {
	fk := &fakes{earlier: 20}
	for range fk.earlier + 1 {
		served := response{status: 200, contentType: "text/event-stream", body: "id: 1\n\n", after: 200 * time.Millisecond}
		fk.responses = append(fk.responses, response{status: 503, notExecuted: true}, response{status: 503, notExecuted: true}, served)
	}
	outcome, _ := serve(t, fk, "/query/1", withTokens)
	assertOutcome(t, "Answered", outcome)
	must.StrContains(t, lastChosen(fk), " copies=1 ")
}
