package gateway_test

import (
	"testing"
	"time"
	"unicode/utf8"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
)

// Parts of a stream: one that breaks after its first event, and what follows that event.
var (
	brokenAfterOne = response{status: 200, body: "id: 1\n\n", contentType: eventStream, interrupted: true}
	afterOne       = response{status: 200, body: "id: 2\n\n", contentType: eventStream}
)

// versioned returns fakes whose model engines m1, m2 and m3 have the given versions.
func versioned(m1, m2, m3 string, responses ...response) *fakes {
	return &fakes{versions: map[string]string{"m1": m1, "m2": m2, "m3": m3}, responses: responses}
}

// takenUp makes a caller take up a stream that an attempt began.
func takenUp(attemptID string) func(*gateway.Request) {
	return func(request *gateway.Request) {
		withoutStages(request)
		request.LastEventID, request.Resumes = "1", attemptID
	}
}

// assertVersion checks that all sends but the first go to upstreams of the version of the first.
func assertVersion(t *testing.T, fk *fakes) {
	t.Helper()
	for _, send := range fk.sends {
		must.Eq(t, fk.sends[0].Upstream.SoftwareVersion, send.Upstream.SoftwareVersion)
	}
}

// assertRefusedWith checks that a request was refused for a cause, without a send or a stage.
func assertRefusedWith(t *testing.T, fk *fakes, outcome gateway.Outcome, expected gateway.Refused) {
	t.Helper()
	must.Eq(t, gateway.Outcome(expected), outcome)
	must.SliceEmpty(t, fk.sends)
	must.SliceEmpty(t, fk.jobs)
}

func TestBrokenStreamKeepsItsVersion(t *testing.T) {
	t.Run("it goes on at an upstream of the version that began it", func(t *testing.T) {
		resumed := 0
		for _, each := range [][]string{{"v1", "v1", "v2"}, {"v1", "v2", "v1"}, {"v2", "v1", "v1"}} {
			fk := versioned(each[0], each[1], each[2], brokenAfterOne, afterOne)
			outcome, _ := serve(t, fk, "/query/1", withoutStages)
			assertVersion(t, fk)
			if fk.sends[0].Upstream.SoftwareVersion == "v1" {
				assertOutcome(t, "Answered", outcome)
				must.SliceLen(t, 2, fk.sends)
				resumed++
			}
		}
		must.Eq(t, 2, resumed)
	})
	t.Run("it ends at once where no other upstream of its version is left", func(t *testing.T) {
		fk := versioned("v1", "v2", "v3", brokenAfterOne, afterOne)
		fk.budget.Window = time.Second
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("before its first event it may move to another version", func(t *testing.T) {
		fk := versioned("v1", "v2", "v3", response{err: errReset}, brokenAfterOne, afterOne)
		fk.maxUpstreams = 3
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		must.SliceLen(t, 2, fk.sends)
		must.Eq(t, fk.sends[1].Upstream.SoftwareVersion, fk.origins["r1"].Version)
		must.Eq(t, []string{"r1 " + fk.sends[1].Upstream.SoftwareVersion}, fk.corrected, must.Sprint("waits before the first event"))
	})
	t.Run("it ends at once if the upstream that began it may have had another version", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1", brokenAfterOne, afterOne)
		fk.ended = map[roster.Incarnation]bool{{ID: "m1"}: true, {ID: "m2"}: true, {ID: "m3"}: true}
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("an upstream that was restarted does not continue it, and all instances learn of it", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1", brokenAfterOne, afterOne)
		fk.restarted = true
		outcome, out := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
		must.True(t, fk.ended[fk.sends[1].Upstream.Incarnation()])
	})
}

func TestStreamThatItsCallerTakesUp(t *testing.T) {
	t.Run("it goes on at the version that began it, which is recorded again", func(t *testing.T) {
		fk := versioned("v1", "v2", "v1", afterOne)
		fk.origins = map[string]origin.Origin{"a": {Pool: "model", Version: "v2"}}
		outcome, _ := serve(t, fk, "/query/1", takenUp("a"))
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "m2", fk.sends[0].Upstream.ID)
		must.Eq(t, []string{"a v2"}, fk.continued)
	})
	t.Run("it is refused at once where its version is gone", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		fk.origins = map[string]origin.Origin{"a": {Pool: "model", Version: "v0"}}
		outcome, _ := serve(t, fk, "/query/1", takenUp("a"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionGone})
	})
	t.Run("its caller is asked to come back where the instance has not heard of its version yet", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		fk.origins = map[string]origin.Origin{"a": {Pool: "model", Version: "v9"}}
		outcome, _ := serve(t, fk, "/query/1", takenUp("a"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionGone, RetryAfter: 500 * time.Millisecond})
	})
	t.Run("it is refused at once where its pipeline has moved to another pool", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		fk.origins = map[string]origin.Origin{"a": {Pool: "plain", Version: ""}}
		outcome, _ := serve(t, fk, "/query/1", takenUp("a"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionGone})
	})
	t.Run("it is refused at once where nobody knows the version, although there is only one now", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		outcome, _ := serve(t, fk, "/query/1", takenUp("unknown"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionUnknown})
	})
	t.Run("its caller is asked to come back if an instance that may know the version did not answer", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		fk.notFound = streamdirectory.NotFound{MayBeFound: true}
		outcome, _ := serve(t, fk, "/query/1", takenUp("unknown"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionUnknown, RetryAfter: 500 * time.Millisecond})
	})
	t.Run("it is refused if the upstream that began it may have had another version", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		fk.origins = map[string]origin.Origin{"a": {Pool: "model", Version: "v1", IsUnknown: true}}
		outcome, _ := serve(t, fk, "/query/1", takenUp("a"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionUnknown})
	})
	t.Run("a caller without the id of its attempt is refused, too", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		outcome, _ := serve(t, fk, "/query/1", takenUp(""))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionUnknown})
	})
	t.Run("an id of bytes that are no text is refused and logged as text", func(t *testing.T) {
		fk := versioned("v1", "v1", "v1")
		outcome, _ := serve(t, fk, "/query/1", takenUp("\xff1"))
		assertRefusedWith(t, fk, outcome, gateway.Refused{Cause: gateway.VersionUnknown})
		for _, event := range fk.log {
			must.True(t, utf8.ValidString(event.GetDetail()), must.Sprintf("%q", event.GetDetail()))
		}
	})
}

func TestRefusedConnectionShowsThatAnUpstreamHasEnded(t *testing.T) {
	fk := versioned("v1", "v1", "v1", response{err: gateway.NotSentError{Cause: errReset, IsRefused: true}}, afterOne)
	serve(t, fk, "/query/1", withoutStages)
	must.True(t, fk.ended[fk.sends[0].Upstream.Incarnation()])
}
