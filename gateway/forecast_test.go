package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// expectedLatencies returns the forecast of each request that was admitted, as the log tells it.
func expectedLatencies(fk *fakes) []string {
	list := []string{}
	for _, event := range fk.log {
		if event.GetKind() == wire.EventKind_EventAdmitted {
			first, _, _ := strings.Cut(event.GetDetail(), " ")
			list = append(list, first)
		}
	}
	return list
}

// TestResumedAttemptRaisesForecast guards against a forecast of the time until a response begins that counts the first byte
// of a later attempt, which resumes the response.
func TestResumedAttemptRaisesForecast(t *testing.T) {
	onTime, late := begun, begun
	onTime.after, late.after = 60*time.Millisecond, 600*time.Millisecond
	resumed := response{status: 200, body: rest, contentType: eventStream, after: 600 * time.Millisecond}
	next := response{status: 200, body: rest}
	t.Run("a response that began on time and was resumed later", func(t *testing.T) {
		fk := &fakes{earlier: 1, responses: []response{onTime, resumed, next}}
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		must.Eq(t, []string{"expected=60ms", "expected=60ms"}, expectedLatencies(fk))
	})
	t.Run("a response that began late", func(t *testing.T) {
		fk := &fakes{earlier: 1, responses: []response{late, resumed, next}}
		outcome, _ := serve(t, fk, "/query/1", withoutStages)
		assertOutcome(t, "Answered", outcome)
		must.NotEq(t, "expected=60ms", expectedLatencies(fk)[1])
	})
}
