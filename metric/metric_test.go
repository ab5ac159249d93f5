package metric_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// assertLines checks that the metrics in text format contain each line.
func assertLines(t *testing.T, set *metric.Set, lines ...string) {
	t.Helper()
	page := &strings.Builder{}
	set.Write(page)
	for _, line := range lines {
		must.StrContains(t, page.String(), line+"\n")
	}
}

func TestEvent(t *testing.T) {
	set := metric.New()
	for range 2 {
		set.RecordEvent(&wire.Event{Kind: wire.EventKind_EventBatchEnded, Stage: "encode", Outcome: "Ran", Attempt: 6, DurationMicros: 250000})
	}
	set.RecordEvent(&wire.Event{Kind: wire.EventKind_EventRequestEnded, Outcome: "Refused", Cause: "Overload", DurationMicros: 900})
	set.RecordEvent(&wire.Event{Kind: wire.EventKind_EventPlatformUnavailable, Stage: "op"})
	t.Run("events are counted by kind, stage, outcome and cause", func(t *testing.T) {
		assertLines(t, set,
			`turmericdoor_decisions_total{kind="BatchEnded",stage="encode",outcome="Ran",cause=""} 2`,
			`turmericdoor_decisions_total{kind="RequestEnded",stage="",outcome="Refused",cause="Overload"} 1`,
			`turmericdoor_decisions_total{kind="PlatformUnavailable",stage="op",outcome="",cause=""} 1`)
	})
	t.Run("batches have histograms of their items and duration", func(t *testing.T) {
		assertLines(t, set, `turmericdoor_batch_items_sum{stage="encode"} 12`, `turmericdoor_decision_seconds_sum{kind="BatchEnded",stage="encode"} 0.5`)
	})
	t.Run("the gauge of the retry budget shows the last value", func(t *testing.T) {
		set.SetRetryBudgetLeft("model", 9)
		set.SetRetryBudgetLeft("model", 8)
		assertLines(t, set, `turmericdoor_repeats_left{pool="model"} 8`)
	})
}

func TestResponse(t *testing.T) {
	t.Run("begun responses are counted by pipeline, resumption and end", func(t *testing.T) {
		set := metric.New()
		set.RecordResponse(metric.Response{Pipeline: "query", Resumed: true, End: "CutOff"})
		set.RecordResponse(metric.Response{Pipeline: "query", End: "Complete"})
		assertLines(t, set, `turmericdoor_responses_total{pipeline="query",resumed="true",end="CutOff"} 1`,
			`turmericdoor_responses_total{pipeline="query",resumed="false",end="Complete"} 1`)
	})
}
