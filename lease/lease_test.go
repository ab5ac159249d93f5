package lease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/lease"
	"github.com/turmericdoor/turmericdoor/table"
)

var start = time.Unix(1000, 0)

const (
	duration = 15 * time.Second
	margin   = 3 * time.Second
)

// commit observes a row, requires a Commit step, records its outcome and returns the row as written.
func commit(t *testing.T, ls *lease.Lease, now time.Time, row table.Row, outcome table.Outcome) table.Row {
	t.Helper()
	step, isCommit := ls.Observe(now, row).(lease.Commit)
	must.True(t, isCommit)
	ls.RecordCommit(step, outcome)
	return table.Row{Key: ls.Key(), Version: row.Version + 1, Value: step.Transaction.Writes[0].Value}
}

func TestLease(t *testing.T) {
	t.Run("a lease is held for its duration minus the margin", func(t *testing.T) {
		ls := lease.New("x", "a", duration, margin)
		commit(t, ls, start, table.Row{}, table.Committed{})
		must.Eq(t, 1, ls.FencingToken())
		must.True(t, ls.IsHeld(start.Add(duration-margin-time.Millisecond)))
		must.False(t, ls.IsHeld(start.Add(duration-margin)))
	})
	t.Run("another instance waits until the row is unchanged for the duration, then takes the next token", func(t *testing.T) {
		first, second := lease.New("x", "a", duration, margin), lease.New("x", "b", duration, margin)
		row := commit(t, first, start, table.Row{}, table.Committed{})
		must.Eq(t, lease.Step(lease.Wait{For: duration}), second.Observe(start, row))
		row = commit(t, first, start.Add(10*time.Second), row, table.Committed{})
		must.Eq(t, lease.Step(lease.Wait{For: duration}), second.Observe(start.Add(14*time.Second), row))
		commit(t, second, start.Add(29*time.Second), row, table.Committed{})
		must.Eq(t, 2, second.FencingToken())
		must.False(t, first.IsHeld(start.Add(29*time.Second)))
	})
	t.Run("a renewal with an unknown outcome does not extend the lease", func(t *testing.T) {
		ls := lease.New("x", "a", duration, margin)
		row := commit(t, ls, start, table.Row{}, table.Committed{})
		commit(t, ls, start.Add(10*time.Second), row, table.Unknown{})
		must.False(t, ls.IsHeld(start.Add(13*time.Second)))
	})
	t.Run("a restarted instance waits for its previous lease to expire", func(t *testing.T) {
		row := commit(t, lease.New("x", "a", duration, margin), start, table.Row{}, table.Committed{})
		_, isWait := lease.New("x", "a", duration, margin).Observe(start, row).(lease.Wait)
		must.True(t, isWait)
	})
	t.Run("the lease expires by the wall clock if the monotonic clock was stopped", func(t *testing.T) {
		ls := lease.New("x", "a", duration, margin)
		now := time.Now()
		commit(t, ls, now, table.Row{}, table.Committed{})
		must.True(t, ls.IsHeld(now))
		// Round strips the monotonic reading, so that only the wall clock shows the minute, as after a suspension.
		must.False(t, ls.IsHeld(now.Add(time.Minute).Round(0)))
	})
}
