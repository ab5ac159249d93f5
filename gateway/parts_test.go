package gateway_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/poison"
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

// pausing is a body that yields its parts, with a pause for each empty one, and then ends or is reset.
type pausing struct {
	parts []string
	pause time.Duration
	ends  bool
}

func (ps *pausing) Read(into []byte) (int, error) {
	if len(ps.parts) == 0 && ps.ends {
		return 0, io.EOF
	}
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

// partsOf returns the parts with the names.
func partsOf(names ...string) []poison.Part {
	parts := []poison.Part{}
	for _, name := range names {
		parts = append(parts, poison.PartOf(name))
	}
	return parts
}

// statusOf returns the status of the part "second".
func statusOf(status poison.Status) map[poison.Part]poison.Status {
	return map[poison.Part]poison.Status{poison.PartOf("second"): status}
}

func TestBlockedParts(t *testing.T) {
	t.Run("a request with one is refused before its stages", func(t *testing.T) {
		fk := &fakes{partStatuses: statusOf(poison.Blocked)}
		outcome, _ := serve(t, fk, "/draft/1", withPrompt)
		assertOutcome(t, "Refused", outcome)
		must.Eq(t, gateway.CrashesUpstreams, outcome.(gateway.Refused).Cause)
		must.SliceEmpty(t, fk.jobs)
		must.SliceEmpty(t, fk.sends)
	})
	t.Run("the last part is the request's own", func(t *testing.T) {
		fk := &fakes{partStatuses: map[poison.Part]poison.Status{poison.PartOf("own"): poison.Blocked}}
		outcome, _ := serve(t, fk, "/draft/1", withPrompt)
		assertOutcome(t, "Answered", outcome)
	})
	t.Run("a part that is blocked while the stages run", func(t *testing.T) {
		fk := &fakes{}
		fk.duringStages = func() { fk.setStatus(poison.Blocked) }
		outcome, _ := serve(t, fk, "/draft/1", withPrompt)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
	t.Run("a trial is sent, and not again", func(t *testing.T) {
		fk := &fakes{partStatuses: statusOf(poison.Blocked), trials: true, responses: []response{{err: errReset}}}
		outcome, _ := serve(t, fk, "/query/1", withPrompt)
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
}

// TestRequestInFlightWhenItsPartIsBlocked guards against requests that still crash upstreams after their part was blocked.
func TestRequestInFlightWhenItsPartIsBlocked(t *testing.T) {
	t.Run("one without an answer ends at once", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, after: time.Second}}}
		fk.blockAfter = 100 * time.Millisecond
		began := time.Duration(0)
		outcome, _ := serve(t, fk, "/query/1", withPrompt)
		for _, event := range fk.log {
			if event.GetKind() == wire.EventKind_EventRequestEnded {
				began = time.Duration(event.GetDurationMicros()) * time.Microsecond
			}
		}
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 1, fk.sends)
		must.Eq(t, 100*time.Millisecond, began)
	})
	t.Run("one that is being answered goes on", func(t *testing.T) {
		body := &pausing{parts: []string{"id: 1\n\n", "", "id: 2\n\n"}, pause: 200 * time.Millisecond, ends: true}
		fk := &fakes{responses: []response{{status: 200, contentType: "text/event-stream", reader: body}}}
		fk.blockAfter = 100 * time.Millisecond
		outcome, _ := serve(t, fk, "/query/1", withPrompt)
		assertOutcome(t, "Answered", outcome)
	})
}

func TestSuspectParts(t *testing.T) {
	t.Run("are not sent again", func(t *testing.T) {
		fk := &fakes{partStatuses: statusOf(poison.Suspect), responses: []response{{err: errReset}}}
		outcome, _ := serve(t, fk, "/query/1", withPrompt)
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("all go to one upstream", func(t *testing.T) {
		fk := &fakes{partStatuses: statusOf(poison.Suspect), earlier: 9}
		_, _ = serve(t, fk, "/query/1", withPrompt)
		used := map[string]bool{}
		for _, send := range fk.sends {
			used[send.Upstream.ID] = true
		}
		must.MapLen(t, 1, used)
	})
}

func TestReportedCrashesOfParts(t *testing.T) {
	stream := func(pause time.Duration) response {
		return response{status: 200, contentType: "text/event-stream", reader: &pausing{parts: []string{"id: 1\n\n", "", "id: 2\n\n"}, pause: pause}}
	}
	cases := map[string]struct {
		fakes *fakes
		want  bool
	}{
		"a crash before the answer":                 {&fakes{dead: true, responses: []response{{err: errReset}}}, true},
		"a crash soon after its beginning":          {&fakes{dead: true, responses: []response{stream(300 * time.Millisecond)}}, true},
		"a crash long after its beginning":          {&fakes{dead: true, responses: []response{stream(600 * time.Millisecond)}}, false},
		"an answer lost by an upstream that lives":  {&fakes{responses: []response{{err: errReset}}}, false},
		"an upstream that is back before the probe": {&fakes{restarted: true, responses: []response{{err: errReset}}}, true},
		"an upstream that is silent":                {&fakes{silent: true, responses: []response{{err: errReset}}}, false},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			each.fakes.maxUpstreams = 1
			_, _ = serve(t, each.fakes, "/query/1", withPrompt)
			want := [][]poison.Part(nil)
			if each.want {
				want = [][]poison.Part{partsOf("first", "second")}
			}
			must.Eq(t, want, each.fakes.partCrashes)
		})
	}
}

func TestSuccessfulParts(t *testing.T) {
	t.Run("a whole answer", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, body: "id: 1\n\n", contentType: "text/event-stream"}}}
		_, _ = serve(t, fk, "/query/1", withPrompt)
		must.Eq(t, [][]poison.Part{partsOf("first", "second")}, fk.successfulParts)
	})
	t.Run("an answer that has lasted, once", func(t *testing.T) {
		body := &pausing{parts: []string{"id: 1\n\n", "", "id: 2\n\n", "", "id: 3\n\n"}, pause: 600 * time.Millisecond}
		fk := &fakes{maxUpstreams: 1, responses: []response{{status: 200, contentType: "text/event-stream", reader: body}}}
		_, _ = serve(t, fk, "/query/1", withPrompt)
		must.Eq(t, [][]poison.Part{partsOf("first", "second")}, fk.successfulParts)
	})
	t.Run("an error says nothing", func(t *testing.T) {
		fk := &fakes{maxUpstreams: 1, responses: []response{{status: 500, body: "no", contentType: "text/plain"}}}
		_, _ = serve(t, fk, "/query/1", withPrompt)
		must.SliceEmpty(t, fk.successfulParts)
	})
}
