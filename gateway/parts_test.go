package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// withPrompt gives a request a prompt with two shared parts.
func withPrompt(request *gateway.Request) {
	request.Prompt = gateway.Prompt{Parts: []gateway.PromptPart{{ID: "first", Tokens: 9}, {ID: "second", Tokens: 9}, {ID: "own", Tokens: 9}}}
}

// crashDetails returns the details of the log lines on crashes.
func crashDetails(fk *fakes) []string {
	list := []string{}
	for _, event := range fk.log {
		if event.GetKind() == wire.EventKind_EventRequestQuarantined {
			list = append(list, event.GetDetail())
		}
	}
	return list
}

// TestCrashLogNamesParts guards against crashes whose log does not tell which parts the prompt had and whether the answer
// had begun.
func TestCrashLogNamesParts(t *testing.T) {
	cases := map[string]struct {
		response response
		want     string
	}{
		"before the answer": {response{err: errReset}, "began=never parts=first,second"},
		"in the answer": {
			response{status: 200, contentType: "text/event-stream", reader: &pausing{parts: []string{"id: 1\n\n", ""}, pause: 30 * time.Millisecond}},
			"began=30ms parts=first,second",
		},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			fk := &fakes{dead: true, responses: []response{each.response}, maxUpstreams: 1}
			_, _ = serve(t, fk, "/query/1", withPrompt)
			details := crashDetails(fk)
			must.SliceLen(t, 1, details)
			must.True(t, strings.HasSuffix(details[0], each.want), must.Sprint(details[0]))
		})
	}
}

// pausing is a body that yields its parts with a pause after each, and is then reset.
type pausing struct {
	parts []string
	pause time.Duration
}

func (ps *pausing) Read(into []byte) (int, error) {
	if len(ps.parts) == 0 {
		return 0, errReset
	}
	next := ps.parts[0]
	ps.parts = ps.parts[1:]
	if next == "" {
		time.Sleep(ps.pause)
	}
	return copy(into, next), nil
}
