package gateway_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/origin"
)

// evacuatedRefusal is the refusal of a request for which only upstreams in evacuated failure domains are left.
var evacuatedRefusal = gateway.Refused{Cause: gateway.Evacuated, RetryAfter: time.Second}

// wholeStream is a stream of one event.
var wholeStream = response{status: 200, body: "id: 1\n\n", contentType: eventStream}

// inTwoDomains returns fakes with a fourth model engine, in failure domain b.
func inTwoDomains(responses ...response) *fakes {
	return &fakes{registered: []string{"m4.b@model"}, responses: responses}
}

// TestEvacuated guards against requests that wait, or run their stages, for upstreams that no request may reach, and against refusals that
// don't tell the caller when to come back.
func TestEvacuated(t *testing.T) {
	for _, path := range []string{"/once/1", "/lookup/1", "/query/1", "/draft/1"} {
		t.Run("a request is refused at once, "+path, func(t *testing.T) {
			fk := &fakes{evacuated: []string{"a"}}
			outcome, _ := serve(t, fk, path, nil)
			assertRefusedWith(t, fk, outcome, evacuatedRefusal)
		})
	}
	t.Run("a request with stages is refused at once if the upstreams of a stage are evacuated", func(t *testing.T) {
		fk := inTwoDomains()
		fk.evacuated, fk.unregistered = []string{"a"}, []string{"s2.b@stage"}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertRefusedWith(t, fk, outcome, evacuatedRefusal)
	})
	t.Run("one without items for those stages is served", func(t *testing.T) {
		fk := inTwoDomains()
		fk.evacuated, fk.unregistered = []string{"a"}, []string{"s2.b@stage"}
		outcome, _ := serve(t, fk, "/draft/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "m4.b", fk.sends[0].Upstream.ID)
	})
	t.Run("other failure domains serve all requests", func(t *testing.T) {
		fk := inTwoDomains(slices.Repeat([]response{wholeStream}, 10)...)
		fk.evacuated, fk.earlier = []string{"a"}, 9
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 10, fk.sends)
		for _, send := range fk.sends {
			must.Eq(t, "m4.b", send.Upstream.ID)
		}
	})
	t.Run("a domain without upstreams changes nothing", func(t *testing.T) {
		outcome, _ := serve(t, &fakes{evacuated: []string{"nowhere", ""}}, "/once/1", nil)
		assertOutcome(t, "Answered", outcome)
	})
}

// TestEvacuatedMeanwhile guards against a request that is sent to an upstream after its failure domain was evacuated because the instance was
// already serving the request at that moment.
func TestEvacuatedMeanwhile(t *testing.T) {
	t.Run("during its stages", func(t *testing.T) {
		fk := &fakes{}
		fk.duringStages = func() { fk.evacuate("a") }
		outcome, _ := serve(t, fk, "/draft/1", nil)
		must.Eq(t, gateway.Outcome(evacuatedRefusal), outcome)
		must.SliceEmpty(t, fk.sends)
	})
	t.Run("during its stages, which fail for it", func(t *testing.T) {
		fk := &fakes{results: []gather.Result{gather.Unfinished{Cause: "no usable upstream"}}}
		fk.duringStages = func() { fk.evacuate("a") }
		outcome, _ := serve(t, fk, "/draft/1", nil)
		must.Eq(t, gateway.Outcome(evacuatedRefusal), outcome)
	})
	t.Run("while it waits for a permit", func(t *testing.T) {
		fk := permitsAfter(200*time.Millisecond, "m1", "m2", "m3")
		fk.whileWaiting = func() { fk.evacuate("a") }
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		must.Eq(t, gateway.Outcome(evacuatedRefusal), outcome)
		must.SliceEmpty(t, fk.sends)
	})
	t.Run("before its retry", func(t *testing.T) {
		fk := inTwoDomains(response{err: errReset, after: 100 * time.Millisecond}, wholeStream)
		fk.duringSend = func() { fk.evacuate("a") }
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 2, fk.sends)
		must.Eq(t, "m4.b", fk.sends[1].Upstream.ID)
	})
	t.Run("before its retry, for which no other upstream is left", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset, after: 100 * time.Millisecond}}}
		fk.duringSend = func() { fk.evacuate("a") }
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("the answer that an upstream has begun is passed on to its end", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, body: "id: 1\n\nid: 2\n\n", contentType: eventStream, after: 500 * time.Millisecond}}}
		fk.duringSend = func() { fk.evacuate("a") }
		outcome, out := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "id: 1\n\nid: 2\n\n", out.body)
	})
}

// TestEvacuatedStreams guards against streams that go on in an evacuated failure domain, and against callers that give their streams up because
// they are told that the version is gone.
func TestEvacuatedStreams(t *testing.T) {
	t.Run("one that its caller takes up is refused with a time to come back", func(t *testing.T) {
		fk := inTwoDomains()
		fk.versions = map[string]string{"m1": "v1", "m2": "v1", "m3": "v1", "m4.b": "v2"}
		fk.origins = map[string]origin.Origin{"x": {Pool: "model", Version: "v1"}}
		fk.evacuated = []string{"a"}
		outcome, _ := serve(t, fk, "/query/1", takenUp("x"))
		assertRefusedWith(t, fk, outcome, evacuatedRefusal)
	})
	t.Run("one whose version has an upstream elsewhere goes on there", func(t *testing.T) {
		fk := inTwoDomains(afterOne)
		fk.versions = map[string]string{"m1": "v1", "m2": "v1", "m3": "v2", "m4.b": "v1"}
		fk.origins = map[string]origin.Origin{"x": {Pool: "model", Version: "v1"}}
		fk.evacuated = []string{"a"}
		outcome, _ := serve(t, fk, "/query/1", takenUp("x"))
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "m4.b", fk.sends[0].Upstream.ID)
	})
	t.Run("one whose version is gone everywhere is refused as before", func(t *testing.T) {
		fk := inTwoDomains()
		fk.versions = map[string]string{"m1": "v1", "m2": "v1", "m3": "v1", "m4.b": "v2"}
		fk.origins = map[string]origin.Origin{"x": {Pool: "model", Version: "v0"}}
		fk.evacuated = []string{"a"}
		outcome, _ := serve(t, fk, "/query/1", takenUp("x"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionGone})
	})
	t.Run("one that breaks off is not resumed there", func(t *testing.T) {
		fk := &fakes{versions: map[string]string{"m1": "v1", "m2": "v1", "m3": "v1"}, responses: []response{brokenAfterOne, afterOne}}
		fk.duringSend = func() { fk.evacuate("a") }
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
}

// TestCrashInAnEvacuatedDomain guards against a request that crashes upstreams and is not reported because its upstream was evacuated.
func TestCrashInAnEvacuatedDomain(t *testing.T) {
	fk := &fakes{dead: true, responses: []response{{err: errReset, after: 100 * time.Millisecond}}}
	fk.duringSend = func() { fk.evacuate("a") }
	outcome, _ := serve(t, fk, "/once/1", nil)
	assertOutcome(t, "Failed", outcome)
	must.SliceLen(t, 1, fk.crashes)
}
