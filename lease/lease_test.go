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

// commit observes a row, expects a commit, settles it and returns the row as it is then.
func commit(t *testing.T, ls *lease.Lease, now time.Time, row table.Row, outcome table.Outcome) table.Row {
	t.Helper()
	step, commits := ls.Observe(now, row).(lease.Commit)
	must.True(t, commits)
	ls.RecordCommit(step, outcome)
	return table.Row{Key: ls.Key(), Version: row.Version + 1, Value: step.Transaction.Writes[0].Value}
}

func TestLease(t *testing.T) {
	t.Run("a free lease is held for its duration less the margin", func(t *testing.T) {
		ls := lease.New("x", "a", duration, margin)
		commit(t, ls, start, table.Row{}, table.Committed{})
		must.Eq(t, 1, ls.FencingToken())
		must.True(t, ls.IsHeld(start.Add(duration-margin-time.Millisecond)))
		must.False(t, ls.IsHeld(start.Add(duration-margin)))
	})
	t.Run("another waits until the row has stood still, and counts on", func(t *testing.T) {
		first, second := lease.New("x", "a", duration, margin), lease.New("x", "b", duration, margin)
		row := commit(t, first, start, table.Row{}, table.Committed{})
		must.Eq(t, lease.Step(lease.Wait{For: duration}), second.Observe(start, row))
		row = commit(t, first, start.Add(10*time.Second), row, table.Committed{})
		must.Eq(t, lease.Step(lease.Wait{For: duration}), second.Observe(start.Add(14*time.Second), row))
		commit(t, second, start.Add(29*time.Second), row, table.Committed{})
		must.Eq(t, 2, second.FencingToken())
		must.False(t, first.IsHeld(start.Add(29*time.Second)))
	})
	t.Run("a renewal whose answer is lost does not count", func(t *testing.T) {
		ls := lease.New("x", "a", duration, margin)
		row := commit(t, ls, start, table.Row{}, table.Committed{})
		commit(t, ls, start.Add(10*time.Second), row, table.Unknown{})
		must.False(t, ls.IsHeld(start.Add(13*time.Second)))
	})
	t.Run("an instance that restarted waits for its own former lease", func(t *testing.T) {
		row := commit(t, lease.New("x", "a", duration, margin), start, table.Row{}, table.Committed{})
		_, waits := lease.New("x", "a", duration, margin).Observe(start, row).(lease.Wait)
		must.True(t, waits)
	})
	t.Run("a wall clock that jumped ahead of the monotonic one ends the lease", func(t *testing.T) {
		ls := lease.New("x", "a", duration, margin)
		now := time.Now()
		commit(t, ls, now, table.Row{}, table.Committed{})
		must.True(t, ls.IsHeld(now))
		// Round strips the monotonic reading, as a time from a machine that was suspended differs in it.
		must.False(t, ls.IsHeld(now.Add(time.Minute).Round(0)))
	})
}
