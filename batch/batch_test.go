package batch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/batch"
)

func submit(scheduler *batch.Scheduler, id uint64, count int, bytes int64) {
	scheduler.Submit(batch.Group{
		ID: id, Count: count, Due: start.Add(time.Second), Expires: start.Add(4 * time.Second), ResultBytes: bytes,
	})
}

// sends returns the Send actions.
func sends(actions []batch.Action) []batch.Send {
	list := []batch.Send{}
	for _, action := range actions {
		if send, is := action.(batch.Send); is {
			list = append(list, send)
		}
	}
	return list
}

func newScheduler(config batch.Config) *batch.Scheduler {
	scheduler := batch.New(config)
	scheduler.SetUpstreams([]batch.Upstream{{Name: "a"}})
	return scheduler
}

func results(send batch.Send, handles ...string) map[batch.Item]string {
	byItem := map[batch.Item]string{}
	for index, handle := range handles {
		byItem[send.Items[index]] = handle
	}
	return byItem
}

func TestResultMemory(t *testing.T) {
	t.Run("no more items are sent than their results have memory", func(t *testing.T) {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 8, 3e6)
		first := sends(scheduler.Step(start, 0))
		must.SliceLen(t, 8, first[0].Items)
		handles := []string{"1", "2", "3", "4", "5", "6", "7", "8"}
		scheduler.CallEnded(start, batch.CallResult{CallID: first[0].CallID, Results: results(first[0], handles...)})
		submit(scheduler, 2, 6, 3e6)
		must.SliceEmpty(t, sends(scheduler.Step(start, 0)))
		for _, handle := range handles {
			scheduler.ResultReleased(start, handle)
		}
		must.SliceLen(t, 6, sends(scheduler.Step(start, 0))[0].Items)
	})
	t.Run("results of other instances count after a report of the upstream", func(t *testing.T) {
		scheduler := newScheduler(config)
		scheduler.SetAvailableResultBytes(start, "a", 4e6)
		submit(scheduler, 1, 3, 3e6)
		must.SliceEmpty(t, sends(scheduler.Step(start, 0)))
		must.SliceLen(t, 3, sends(scheduler.Step(start.Add(time.Second), 0))[0].Items)
	})
	t.Run("results that the upstream dropped after their TTL take no memory", func(t *testing.T) {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 8, 3e6)
		send := sends(scheduler.Step(start, 0))[0]
		scheduler.CallEnded(start, batch.CallResult{CallID: send.CallID, Results: results(send, "1", "2", "3", "4", "5", "6", "7", "8")})
		scheduler.Submit(batch.Group{ID: 2, Count: 8, Due: start.Add(9 * time.Second), Expires: start.Add(9 * time.Second), ResultBytes: 3e6})
		must.SliceLen(t, 8, sends(scheduler.Step(start.Add(5*time.Second), 0))[0].Items)
	})
}

func TestRemoved(t *testing.T) {
	scheduler := newScheduler(config)
	submit(scheduler, 1, 2, 10)
	scheduler.Remove(1)
	must.SliceEmpty(t, sends(scheduler.Step(start, 0)))
}

func TestRetries(t *testing.T) {
	fail := func(outcome batch.Outcome, end func(*batch.CallResult, []batch.Item)) *batch.Scheduler {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 2, 10)
		send := sends(scheduler.Step(start, 0))[0]
		ended := batch.CallResult{CallID: send.CallID, Outcome: outcome}
		end(&ended, send.Items)
		scheduler.CallEnded(start, ended)
		return scheduler
	}
	later := start.Add(time.Second)
	t.Run("items of a failed call are sent again only as far as the retry budget allows", func(t *testing.T) {
		lost := func(end *batch.CallResult, items []batch.Item) { end.Failed = items }
		must.SliceEmpty(t, sends(fail(batch.OutcomeFailed, lost).Step(later, 0)))
		again := sends(fail(batch.OutcomeFailed, lost).Step(later, 1))
		must.SliceLen(t, 1, again[0].Items)
		must.Eq(t, 1, again[0].RetriedItems)
	})
	t.Run("items of a call that was never sent do not count as retries", func(t *testing.T) {
		again := sends(fail(batch.OutcomeUnreachable, func(end *batch.CallResult, items []batch.Item) { end.Unsent = items }).Step(later, 0))
		must.SliceLen(t, 2, again[0].Items)
		must.Zero(t, again[0].RetriedItems)
	})
	t.Run("items of a call that the upstream refused count as retries", func(t *testing.T) {
		refused := func(end *batch.CallResult, items []batch.Item) { end.Unsent = items }
		must.SliceEmpty(t, sends(fail(batch.OutcomeFull, refused).Step(later, 0)))
	})
}

// TestOldSlowdownLimitsCalls guards against small calls to an upstream that was slow long ago.
func TestOldSlowdownLimitsCalls(t *testing.T) {
	for after, want := range map[time.Duration]int{time.Millisecond: config.MaxBatch / 4, time.Minute: config.MaxBatch} {
		t.Run(after.String()+" after a slow call", func(t *testing.T) {
			scheduler := newScheduler(config)
			submit(scheduler, 1, 1, 10)
			send := sends(scheduler.Step(start, 0))[0]
			slow := start.Add(10 * send.ExpectedDuration)
			scheduler.CallEnded(slow, batch.CallResult{CallID: send.CallID, Results: results(send, "h")})
			now := slow.Add(after)
			scheduler.Submit(batch.Group{ID: 2, Count: config.MaxBatch, Due: now.Add(5 * time.Second), Expires: now.Add(9 * time.Second), ResultBytes: 10})
			again := sends(scheduler.Step(now, 0))
			must.SliceLen(t, 1, again)
			must.SliceLen(t, want, again[0].Items)
		})
	}
}

func TestExpired(t *testing.T) {
	scheduler := newScheduler(config)
	submit(scheduler, 1, 1, 10)
	actions := scheduler.Step(start.Add(4*time.Second), 0)
	must.Eq(t, batch.Action(batch.Drop{GroupID: 1}), actions[0])
}

func TestExpectedWait(t *testing.T) {
	group := batch.Group{Count: 1, Due: start.Add(time.Second), Expires: start.Add(4 * time.Second)}
	t.Run("is NoUpstreamWait without an upstream", func(t *testing.T) {
		must.Eq(t, batch.NoUpstreamWait, batch.New(config).ExpectedWait(start, group))
	})
	t.Run("grows with the items ahead and does not change the queue", func(t *testing.T) {
		scheduler := newScheduler(config)
		idle := scheduler.ExpectedWait(start, group)
		submit(scheduler, 1, 40, 10)
		must.Greater(t, idle+time.Second, scheduler.ExpectedWait(start, group))
		must.SliceLen(t, 8, sends(scheduler.Step(start, 0))[0].Items)
	})
	t.Run("is longer for large results if the memory is used", func(t *testing.T) {
		scheduler := newScheduler(config)
		submit(scheduler, 1, 8, 3e6)
		scheduler.Step(start, 0)
		large := group
		large.Count, large.ResultBytes = 8, 3e6
		small := group
		small.Count = 8
		must.Greater(t, scheduler.ExpectedWait(start, small), scheduler.ExpectedWait(start, large))
	})
}

// TestInfeasibleGroup: a late group that the length of the queue makes expire before its turn must be dropped at once.
func TestInfeasibleGroup(t *testing.T) {
	scheduler := newScheduler(config)
	for id := range uint64(40) {
		scheduler.Submit(batch.Group{ID: id + 1, Count: 8, Due: start.Add(20 * time.Second), Expires: start.Add(30 * time.Second)})
	}
	scheduler.Submit(batch.Group{ID: 100, Count: 1, Due: start.Add(-time.Second), Expires: start.Add(3 * time.Second)})
	scheduler.Submit(batch.Group{ID: 101, Count: 1, Due: start.Add(-time.Second), Expires: start.Add(30 * time.Second)})
	dropped := []uint64{}
	for _, action := range scheduler.Step(start, 0) {
		if drop, is := action.(batch.Drop); is {
			dropped = append(dropped, drop.GroupID)
		}
	}
	must.Eq(t, []uint64{100}, dropped)
}

// TestGroupsBehindARateLimit guards against groups that a rate limit denies and that are held until they expire.
func TestGroupsBehindARateLimit(t *testing.T) {
	late := start.Add(1500 * time.Millisecond)
	// deny submits group 1, whose call a rate limit denies.
	deny := func(limited bool) *batch.Scheduler {
		scheduler := batch.New(config)
		scheduler.SetUpstreams([]batch.Upstream{{Name: "a", IsLimited: limited, CallsPerSecond: 1}})
		submit(scheduler, 1, 2, 1)
		denied := sends(scheduler.Step(start, 0))[0]
		scheduler.CallEnded(start, batch.CallResult{CallID: denied.CallID, Outcome: batch.OutcomeLimited, RetryAfter: 10 * time.Second, Unsent: denied.Items})
		return scheduler
	}
	t.Run("a late group whose call was denied is dropped once it can't be served in time", func(t *testing.T) {
		must.SliceContains(t, deny(false).Step(late, 0), batch.Action(batch.Drop{GroupID: 1}))
	})
	t.Run("it waits while it is on time", func(t *testing.T) {
		must.SliceNotContains(t, deny(false).Step(start, 0), batch.Action(batch.Drop{GroupID: 1}))
	})
	t.Run("a late group is dropped where others that are on time take all calls that the limit allows", func(t *testing.T) {
		scheduler := batch.New(config)
		scheduler.SetUpstreams([]batch.Upstream{{Name: "a", IsLimited: true, CallsPerSecond: 1}})
		submit(scheduler, 1, 2, 1)
		scheduler.Submit(batch.Group{ID: 2, Count: 2, Due: late.Add(time.Second), Expires: late.Add(4 * time.Second), ResultBytes: 1})
		must.SliceContains(t, scheduler.Step(late, 0), batch.Action(batch.Drop{GroupID: 1}))
	})
	t.Run("a late group whose call was denied is dropped at once where all upstreams have a limit", func(t *testing.T) {
		must.SliceContains(t, deny(true).Step(late, 0), batch.Action(batch.Drop{GroupID: 1}))
	})
	t.Run("it is served if there are no others", func(t *testing.T) {
		scheduler := batch.New(config)
		scheduler.SetUpstreams([]batch.Upstream{{Name: "a", IsLimited: true, CallsPerSecond: 1}})
		submit(scheduler, 1, 2, 1)
		must.SliceLen(t, 1, sends(scheduler.Step(late, 0)))
	})
}
