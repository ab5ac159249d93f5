package entry

import (
	"context"
	"errors"
	"time"

	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/watch"
)

// meteredSource passes the calls to the platform's store on to next, and counts them in the metrics by operation and
// outcome.
type meteredSource struct {
	next    watch.Source
	metrics *metric.Set
}

// ReadAll returns all rows of a table.
func (ms meteredSource) ReadAll(ctx context.Context, table string) (replica.Update, error) {
	whole, err := ms.next.ReadAll(ctx, table)
	ms.metrics.RecordTableCall("ReadAll", callOutcome(err))
	return whole, err
}

// ReadChanges waits for rows that changed after a version.
func (ms meteredSource) ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (replica.Update, error) {
	changes, err := ms.next.ReadChanges(ctx, table, after, wait)
	ms.metrics.RecordTableCall("ReadChanges", callOutcome(err))
	return changes, err
}

// callOutcome returns the outcome of a call to the store as a metric label. GivenUp means that the call was cancelled or
// timed out on this side.
func callOutcome(err error) string {
	switch {
	case err == nil:
		return "Answered"
	case errors.Is(err, watch.ErrHistoryGone):
		return "HistoryGone"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "GivenUp"
	}
	return "Failed"
}
