package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/quarantine"
)

var errReset = errors.New("connection reset")

func TestAccess(t *testing.T) {
	cases := []struct {
		name, path, want string
		change           func(*gateway.Request)
	}{
		{"an unknown path", "/nowhere/", "NotFound", nil},
		{"an unknown key", "/once/1", "Unauthorised", func(rq *gateway.Request) { rq.APIKey = "other" }},
		{"a public pipeline without a key", "/open/1", "Answered", func(rq *gateway.Request) { rq.APIKey = "" }},
		{"a known key", "/once/1", "Answered", nil},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			outcome, _ := serve(t, &fakes{}, each.path, each.change)
			assertOutcome(t, each.want, outcome)
		})
	}
	t.Run("a request whose content crashed upstreams is refused before it is sent", func(t *testing.T) {
		fk := &fakes{status: quarantine.Blocked}
		outcome, _ := serve(t, fk, "/once/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
}

// TestAtMostOnce guards against a second execution of a non-idempotent request, for each way in which a send can fail.
func TestAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		first response
		want  string
		sends int
	}{
		{"a reset after the request was sent", response{err: errReset}, "Failed", 1},
		{"no connection", response{err: gateway.NotSentError{Cause: errReset}}, "Answered", 2},
		{"a rejection", response{status: 503, notExecuted: true}, "Answered", 2},
		{"an error response", response{status: 500, body: "no"}, "Answered", 1},
		{"an interrupted response", response{status: 200, body: "par", interrupted: true}, "Failed", 1},
		{"an unsigned success", response{status: 200, unsigned: true}, "Failed", 1},
		{"no response before the deadline", response{after: time.Minute}, "TimedOut", 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			fk := &fakes{responses: []response{each.first}}
			outcome, out := serve(t, fk, "/once/1", nil)
			assertOutcome(t, each.want, outcome)
			must.SliceLen(t, each.sends, fk.sends)
			if each.want != "Answered" {
				must.Zero(t, out.status, must.Sprint("no part of a broken response may reach the caller"))
			}
		})
	}
	t.Run("a request that was only rejected is refused", func(t *testing.T) {
		no := response{status: 503, notExecuted: true}
		outcome, _ := serve(t, &fakes{responses: []response{no, no, no, no}}, "/once/1", nil)
		assertOutcome(t, "Refused", outcome)
	})
}

func TestIdempotentRetry(t *testing.T) {
	cases := map[string]response{
		"a reset": {err: errReset}, "an error": {status: 500, body: "no"}, "an interrupted response": {status: 200, body: "p", interrupted: true},
		"no response": {after: time.Minute},
	}
	for name, first := range cases {
		t.Run(name+" is retried at another upstream", func(t *testing.T) {
			fk := &fakes{responses: []response{first}}
			outcome, out := serve(t, fk, "/lookup/1", nil)
			assertOutcome(t, "Answered", outcome)
			must.Eq(t, "whole", out.body)
			must.SliceLen(t, 2, fk.sends)
			must.NotEq(t, fk.sends[0].Upstream.ID, fk.sends[1].Upstream.ID)
		})
	}
	t.Run("at most as many upstreams as the pipeline allows", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset}, {err: errReset}, {err: errReset}}}
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertOutcome(t, "Failed", outcome)
		must.SliceLen(t, 2, fk.sends)
	})
}

func TestStages(t *testing.T) {
	t.Run("stages run in order, and the request reads the last results", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "ik", fk.jobs[0].Key)
		must.Eq(t, []string{"s0.0", "s0.1"}, fk.jobs[1].Inputs)
		must.Eq(t, "", fk.jobs[1].Key)
		must.Eq(t, []string{"s1.0"}, fk.sends[0].Inputs)
		must.SliceContainsAll(t, fk.released, []string{"s0.0", "s0.1", "s1.0"})
	})
	t.Run("a stage without items is skipped", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/draft/1", func(rq *gateway.Request) { rq.ItemCounts = []int{0, 1} })
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 1, fk.jobs)
		must.SliceEmpty(t, fk.jobs[0].Inputs)
	})
	t.Run("a refused stage refuses the request, and earlier results are released", func(t *testing.T) {
		made := gather.Finished{Results: []gather.ItemResult{{Handle: "x"}, {Handle: "y"}}}
		fk := &fakes{results: []gather.Result{made, gather.Refused{Wait: time.Second, Cause: "full"}}}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
		must.SliceContainsAll(t, fk.released, []string{"x", "y"})
	})
	t.Run("stages run once more if the engine no longer finds their results", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 409, notExecuted: true, inputMissing: true}}}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 4, fk.jobs)
	})
	t.Run("a request that can't meet its deadline is refused before its first stage", func(t *testing.T) {
		fk := &fakes{wait: 5 * time.Second}
		outcome, _ := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "Refused", outcome)
		must.Greater(t, time.Second, outcome.(gateway.Refused).RetryAfter)
		must.SliceEmpty(t, fk.jobs)
	})
}

func TestStreams(t *testing.T) {
	t.Run("a stream that is interrupted after its start never looks complete", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, body: "id: 1\n\n", interrupted: true}}}
		outcome, out := serve(t, fk, "/draft/1", nil)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("a stream that is interrupted before its first event is not started", func(t *testing.T) {
		outcome, out := serve(t, &fakes{responses: []response{{status: 200, interrupted: true}}}, "/draft/1", nil)
		assertOutcome(t, "Failed", outcome)
		must.Zero(t, out.status)
	})
}

func TestResumedStreams(t *testing.T) {
	query := func(rq *gateway.Request) { rq.ItemCounts = nil }
	t.Run("another upstream resumes after the last complete event", func(t *testing.T) {
		fk := &fakes{responses: []response{{status: 200, body: "id: 1\n\nid: 2\nda", interrupted: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}}
		outcome, out := serve(t, fk, "/query/1", query)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, "id: 1\n\nid: 2\ndata: b\n\n", out.body)
		must.Eq(t, "1", fk.sends[1].LastEventID)
	})
	t.Run("the response is cut off if no other upstream resumes it", func(t *testing.T) {
		cutStream := response{status: 200, body: "id: 1\n\n", interrupted: true}
		outcome, out := serve(t, &fakes{responses: []response{cutStream, {err: errReset}}}, "/query/1", query)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, "id: 1\n\n", out.body)
	})
	t.Run("a rejection by the second upstream does not reach a caller with a partial response", func(t *testing.T) {
		cutStream := response{status: 200, body: "id: 1\n\n", interrupted: true}
		no := response{status: 503, notExecuted: true}
		outcome, out := serve(t, &fakes{responses: []response{cutStream, no, no, no}}, "/query/1", query)
		assertOutcome(t, "CutOff", outcome)
		must.Eq(t, 200, out.status)
	})
}

func TestDeadline(t *testing.T) {
	t.Run("the remaining time counts from the shorter of both timeouts", func(t *testing.T) {
		fk := &fakes{}
		_, _ = serve(t, fk, "/once/1", func(rq *gateway.Request) { rq.Arrived = rq.Arrived.Add(-500 * time.Millisecond) })
		must.Eq(t, 1500*time.Millisecond, fk.sends[0].Remaining)
	})
	t.Run("a request whose deadline has passed before it is sent is refused", func(t *testing.T) {
		fk := &fakes{}
		outcome, _ := serve(t, fk, "/once/1", func(rq *gateway.Request) { rq.Arrived = rq.Arrived.Add(-3 * time.Second) })
		assertOutcome(t, "Refused", outcome)
		must.SliceEmpty(t, fk.sends)
	})
}

func TestCrashes(t *testing.T) {
	t.Run("an upstream that died while executing a request is reported", func(t *testing.T) {
		fk := &fakes{dead: true, responses: []response{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		must.SliceLen(t, 1, fk.crashes)
	})
	t.Run("an upstream that still accepts connections is not reported", func(t *testing.T) {
		fk := &fakes{responses: []response{{err: errReset}}}
		_, _ = serve(t, fk, "/once/1", nil)
		must.SliceEmpty(t, fk.crashes)
	})
}

func TestLeavingUpstreamIsSkipped(t *testing.T) {
	fk := &fakes{responses: []response{{err: gateway.NotSentError{Cause: errReset}}, {err: gateway.NotSentError{Cause: errReset}}}}
	outcome, _ := serve(t, fk, "/once/1", nil)
	assertOutcome(t, "Refused", outcome)
	for _, each := range fk.sends {
		must.NotEq(t, "p3", each.Upstream.ID)
	}
}

// notRunStatuses promise the caller that its request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// assertNoPromise checks that the request failed and that no part of an upstream's answer reached the caller.
func assertNoPromise(t *testing.T, outcome gateway.Outcome, out *sink) {
	t.Helper()
	assertOutcome(t, "Failed", outcome)
	must.Zero(t, out.heads)
	must.Eq(t, "", out.body)
}

// TestUnmarkedStatusPromisesNotRun guards against a status that promises the caller that its request has not run, taken from
// an upstream that did not say so.
func TestUnmarkedStatusPromisesNotRun(t *testing.T) {
	for _, status := range notRunStatuses {
		unmarked := response{status: status, body: "full"}
		for _, path := range []string{"/once/1", "/draft/1"} {
			t.Run(fmt.Sprintf("a request to %s that must not be sent again fails after %d", path, status), func(t *testing.T) {
				fk := &fakes{responses: []response{unmarked}}
				outcome, out := serve(t, fk, path, nil)
				assertNoPromise(t, outcome, out)
				must.SliceLen(t, 1, fk.sends)
			})
		}
		t.Run(fmt.Sprintf("an idempotent request is retried after %d", status), func(t *testing.T) {
			fk := &fakes{responses: []response{unmarked}}
			outcome, out := serve(t, fk, "/lookup/1", nil)
			assertOutcome(t, "Answered", outcome)
			must.Eq(t, "whole", out.body)
			must.SliceLen(t, 2, fk.sends)
		})
		t.Run(fmt.Sprintf("an idempotent request without a retry left fails after %d", status), func(t *testing.T) {
			fk := &fakes{responses: []response{unmarked, unmarked}}
			outcome, out := serve(t, fk, "/lookup/1", nil)
			assertNoPromise(t, outcome, out)
			must.SliceLen(t, 2, fk.sends)
		})
		t.Run(fmt.Sprintf("a resumable stream without a retry left fails after %d", status), func(t *testing.T) {
			fk := &fakes{responses: []response{unmarked, unmarked}}
			outcome, out := serve(t, fk, "/query/1", withoutStages)
			assertNoPromise(t, outcome, out)
		})
	}
	t.Run("other errors of an upstream are forwarded", func(t *testing.T) {
		outcome, out := serve(t, &fakes{responses: []response{{status: http.StatusBadGateway, body: "no"}}}, "/once/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, http.StatusBadGateway, out.status)
	})
}
