package batch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/batch"
)

func submit(pool *batch.Scheduler, ticket uint64, count int, bytes int64) {
	pool.Submit(batch.Group{
		ID: ticket, Count: count, Due: start.Add(time.Second), Expires: start.Add(4 * time.Second), ResultBytes: bytes,
	})
}

// sends returns the calls among the actions.
func sends(actions []batch.Action) []batch.Send {
	list := []batch.Send{}
	for _, action := range actions {
		if send, is := action.(batch.Send); is {
			list = append(list, send)
		}
	}
	return list
}

func one(terms batch.Config) *batch.Scheduler {
	pool := batch.New(terms)
	pool.SetUpstreams([]batch.Upstream{{Name: "a"}})
	return pool
}

func results(send batch.Send, handles ...string) map[batch.Item]string {
	made := map[batch.Item]string{}
	for at, handle := range handles {
		made[send.Items[at]] = handle
	}
	return made
}

func TestRoom(t *testing.T) {
	t.Run("no more results are asked for than have room", func(t *testing.T) {
		pool := one(terms)
		submit(pool, 1, 8, 3e6)
		first := sends(pool.Step(start, 0))
		must.SliceLen(t, 8, first[0].Items)
		handles := []string{"1", "2", "3", "4", "5", "6", "7", "8"}
		pool.CallEnded(start, batch.CallResult{CallID: first[0].CallID, Results: results(first[0], handles...)})
		submit(pool, 2, 6, 3e6)
		must.SliceEmpty(t, sends(pool.Step(start, 0)))
		for _, handle := range handles {
			pool.ResultReleased(start, handle)
		}
		must.SliceLen(t, 6, sends(pool.Step(start, 0))[0].Items)
	})
	t.Run("what other instances had made counts after a report", func(t *testing.T) {
		pool := one(terms)
		pool.SetAvailableResultBytes(start, "a", 4e6)
		submit(pool, 1, 3, 3e6)
		must.SliceEmpty(t, sends(pool.Step(start, 0)))
		must.SliceLen(t, 3, sends(pool.Step(start.Add(time.Second), 0))[0].Items)
	})
	t.Run("results that the upstream has dropped by itself take no room", func(t *testing.T) {
		pool := one(terms)
		submit(pool, 1, 8, 3e6)
		send := sends(pool.Step(start, 0))[0]
		pool.CallEnded(start, batch.CallResult{CallID: send.CallID, Results: results(send, "1", "2", "3", "4", "5", "6", "7", "8")})
		pool.Submit(batch.Group{ID: 2, Count: 8, Due: start.Add(9 * time.Second), Expires: start.Add(9 * time.Second), ResultBytes: 3e6})
		must.SliceLen(t, 8, sends(pool.Step(start.Add(5*time.Second), 0))[0].Items)
	})
}

func TestWithdrawn(t *testing.T) {
	pool := one(terms)
	submit(pool, 1, 2, 10)
	pool.Remove(1)
	must.SliceEmpty(t, sends(pool.Step(start, 0)))
}

func TestRepeats(t *testing.T) {
	fail := func(outcome batch.Outcome, end func(*batch.CallResult, []batch.Item)) *batch.Scheduler {
		pool := one(terms)
		submit(pool, 1, 2, 10)
		send := sends(pool.Step(start, 0))[0]
		ended := batch.CallResult{CallID: send.CallID, Outcome: outcome}
		end(&ended, send.Items)
		pool.CallEnded(start, ended)
		return pool
	}
	later := start.Add(time.Second)
	t.Run("a lost call is repeated only as far as the budget allows", func(t *testing.T) {
		lost := func(end *batch.CallResult, items []batch.Item) { end.Failed = items }
		must.SliceEmpty(t, sends(fail(batch.OutcomeFailed, lost).Step(later, 0)))
		again := sends(fail(batch.OutcomeFailed, lost).Step(later, 1))
		must.SliceLen(t, 1, again[0].Items)
		must.Eq(t, 1, again[0].RetriedItems)
	})
	t.Run("a call that was never sent is no repeat", func(t *testing.T) {
		again := sends(fail(batch.OutcomeUnreachable, func(end *batch.CallResult, items []batch.Item) { end.Unsent = items }).Step(later, 0))
		must.SliceLen(t, 2, again[0].Items)
		must.Zero(t, again[0].RetriedItems)
	})
}

func TestExpired(t *testing.T) {
	pool := one(terms)
	submit(pool, 1, 1, 10)
	actions := pool.Step(start.Add(4*time.Second), 0)
	must.Eq(t, batch.Action(batch.Drop{GroupID: 1}), actions[0])
}

func TestWait(t *testing.T) {
	group := batch.Group{Count: 1, Due: start.Add(time.Second), Expires: start.Add(4 * time.Second)}
	t.Run("without an upstream it is beyond any deadline", func(t *testing.T) {
		must.Eq(t, batch.NoUpstreamWait, batch.New(terms).ExpectedWait(start, group))
	})
	t.Run("it grows with the items ahead and leaves the queue as it was", func(t *testing.T) {
		pool := one(terms)
		idle := pool.ExpectedWait(start, group)
		submit(pool, 1, 40, 10)
		must.Greater(t, idle+time.Second, pool.ExpectedWait(start, group))
		must.SliceLen(t, 8, sends(pool.Step(start, 0))[0].Items)
	})
	t.Run("large results wait for room", func(t *testing.T) {
		pool := one(terms)
		submit(pool, 1, 8, 3e6)
		pool.Step(start, 0)
		large := group
		large.Count, large.ResultBytes = 8, 3e6
		small := group
		small.Count = 8
		must.Greater(t, pool.ExpectedWait(start, small), pool.ExpectedWait(start, large))
	})
}

// TestHopeless replays a queue that has become too long for a group that is late already: its caller is told at once.
func TestHopeless(t *testing.T) {
	pool := one(terms)
	for ticket := range uint64(40) {
		pool.Submit(batch.Group{ID: ticket + 1, Count: 8, Due: start.Add(20 * time.Second), Expires: start.Add(30 * time.Second)})
	}
	pool.Submit(batch.Group{ID: 100, Count: 1, Due: start.Add(-time.Second), Expires: start.Add(3 * time.Second)})
	pool.Submit(batch.Group{ID: 101, Count: 1, Due: start.Add(-time.Second), Expires: start.Add(30 * time.Second)})
	dropped := []uint64{}
	for _, action := range pool.Step(start, 0) {
		if drop, is := action.(batch.Drop); is {
			dropped = append(dropped, drop.GroupID)
		}
	}
	must.Eq(t, []uint64{100}, dropped)
}
