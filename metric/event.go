package metric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
)

// eventKey tells apart what is counted of events.
type eventKey struct {
	kind    wire.EventKind
	stage   string
	outcome string
	cause   string
}

// eventFigures are the figures of one key; seconds and items are nil where events of the kind have none.
type eventFigures struct {
	count   *metrics.Counter
	seconds *metrics.Histogram
	items   *metrics.Histogram
}

// RecordEvent books an event of the time line: how many there were of each kind and outcome, how long they took, and how
// many items calls held.
func (st *Set) RecordEvent(event *wire.Event) {
	figures := st.figures(eventKey{
		kind: event.GetKind(), stage: event.GetStage(), outcome: event.GetOutcome(), cause: event.GetCause(),
	})
	figures.count.Inc()
	if figures.seconds != nil && event.GetDurationMicros() > 0 {
		figures.seconds.Update(float64(event.GetDurationMicros()) / 1e6)
	}
	if figures.items != nil {
		figures.items.Update(float64(event.GetAttempt()))
	}
}

func (st *Set) figures(key eventKey) *eventFigures {
	if known, found := st.events.Load(key); found {
		return known.(*eventFigures)
	}
	kind := timeline.KindName(key.kind)
	figures := &eventFigures{count: st.set.GetOrCreateCounter(fmt.Sprintf(
		"turmericdoor_decisions_total{kind=%q,stage=%q,outcome=%q,cause=%q}", kind, key.stage, key.outcome, key.cause))}
	switch key.kind {
	case wire.EventKind_EventBatchEnded:
		figures.items = st.set.GetOrCreateHistogram(fmt.Sprintf("turmericdoor_batch_items{stage=%q}", key.stage))
		fallthrough
	case wire.EventKind_EventItemsHanded, wire.EventKind_EventAttemptEnded, wire.EventKind_EventAnswerBegan:
		figures.seconds = st.set.GetOrCreateHistogram(fmt.Sprintf("turmericdoor_decision_seconds{kind=%q,stage=%q}", kind, key.stage))
	}
	known, _ := st.events.LoadOrStore(key, figures)
	return known.(*eventFigures)
}

// SetRetryBudgetLeft tells how many repeated sends a pool may still get from this instance.
func (st *Set) SetRetryBudgetLeft(pool string, left int) {
	st.set.GetOrCreateGauge(fmt.Sprintf("turmericdoor_repeats_left{pool=%q}", pool), nil).Set(float64(left))
}
