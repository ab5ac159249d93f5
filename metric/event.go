package metric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
)

// eventKey identifies the metrics of an event by its labels.
type eventKey struct {
	kind    wire.EventKind
	stage   string
	outcome string
	cause   string
}

// eventMetrics holds the metrics of one eventKey; seconds and items are nil for kinds without them.
type eventMetrics struct {
	count   *metrics.Counter
	seconds *metrics.Histogram
	items   *metrics.Histogram
}

// RecordEvent counts an event of the time line by its labels, and records its duration and the number of items in a
// batch.
func (st *Set) RecordEvent(event *wire.Event) {
	em := st.metricsFor(eventKey{
		kind: event.GetKind(), stage: event.GetStage(), outcome: event.GetOutcome(), cause: event.GetCause(),
	})
	em.count.Inc()
	if em.seconds != nil && event.GetDurationMicros() > 0 {
		em.seconds.Update(float64(event.GetDurationMicros()) / 1e6)
	}
	if em.items != nil {
		em.items.Update(float64(event.GetAttempt()))
	}
}

func (st *Set) metricsFor(key eventKey) *eventMetrics {
	if known, found := st.events.Load(key); found {
		return known.(*eventMetrics)
	}
	kind := timeline.KindName(key.kind)
	em := &eventMetrics{count: st.set.GetOrCreateCounter(fmt.Sprintf(
		"turmericdoor_decisions_total{kind=%q,stage=%q,outcome=%q,cause=%q}", kind, key.stage, key.outcome, key.cause))}
	switch key.kind {
	case wire.EventKind_EventBatchEnded:
		em.items = st.set.GetOrCreateHistogram(fmt.Sprintf("turmericdoor_batch_items{stage=%q}", key.stage))
		fallthrough
	case wire.EventKind_EventItemsHanded, wire.EventKind_EventAttemptEnded, wire.EventKind_EventAnswerBegan:
		em.seconds = st.set.GetOrCreateHistogram(fmt.Sprintf("turmericdoor_decision_seconds{kind=%q,stage=%q}", kind, key.stage))
	}
	known, _ := st.events.LoadOrStore(key, em)
	return known.(*eventMetrics)
}

// SetRetryBudgetLeft sets the number of retries that this instance may still send to a pool.
func (st *Set) SetRetryBudgetLeft(pool string, left int) {
	st.set.GetOrCreateGauge(fmt.Sprintf("turmericdoor_repeats_left{pool=%q}", pool), nil).Set(float64(left))
}
