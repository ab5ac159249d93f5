package fairqueue_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericdoor/turmericdoor/fairqueue"
)

var start = time.Unix(1000, 0)

func ticket(id uint64, organisation string, rank int, deadline time.Duration) *fairqueue.Ticket {
	return &fairqueue.Ticket{
		ID: id, Organisation: organisation, Weight: 1, Rank: rank, Cost: 10 * time.Millisecond,
		Deadline: start.Add(deadline), LatestStart: start.Add(deadline),
	}
}

// popOwners pops count tickets and counts them by organisation.
func popOwners(qu *fairqueue.Queue, count int) map[string]int {
	owners := map[string]int{}
	for range count {
		owners[qu.Pop().Organisation]++
	}
	return owners
}

func TestOrder(t *testing.T) {
	t.Run("an earlier rank goes first", func(t *testing.T) {
		qu := fairqueue.New([]int64{0, 0})
		qu.Push(ticket(1, "a", 1, time.Second))
		qu.Push(ticket(2, "a", 0, time.Minute))
		must.Eq(t, 2, qu.Pop().ID)
	})
	t.Run("inside an organisation the nearest deadline goes first", func(t *testing.T) {
		qu := fairqueue.New([]int64{0})
		qu.Push(ticket(1, "a", 0, time.Minute))
		qu.Push(ticket(2, "a", 0, time.Second))
		must.Eq(t, 2, qu.Pop().ID)
	})
	t.Run("organisations share a rank whatever they ask for", func(t *testing.T) {
		qu := fairqueue.New([]int64{0})
		for id := range uint64(100) {
			qu.Push(ticket(id, "large", 0, time.Minute))
		}
		for id := range uint64(10) {
			qu.Push(ticket(1000+id, "small", 0, time.Minute))
		}
		must.Eq(t, map[string]int{"large": 10, "small": 10}, popOwners(qu, 20))
	})
	t.Run("an organisation that was idle is not owed the past", func(t *testing.T) {
		qu := fairqueue.New([]int64{0})
		for id := range uint64(100) {
			qu.Push(ticket(id, "large", 0, time.Minute))
		}
		popOwners(qu, 50)
		for id := range uint64(20) {
			qu.Push(ticket(1000+id, "late", 0, time.Minute))
		}
		owners := popOwners(qu, 20)
		must.Between(t, 9, owners["late"], 11)
	})
}

func TestFloor(t *testing.T) {
	qu := fairqueue.New([]int64{0, 20})
	for id := range uint64(1000) {
		qu.Push(ticket(id, "a", 0, time.Minute))
		qu.Push(ticket(5000+id, "a", 1, time.Minute))
	}
	later := 0
	for range 500 {
		later += qu.Pop().Rank
	}
	must.Between(t, 95, later, 105)
}

func TestPopLate(t *testing.T) {
	qu := fairqueue.New([]int64{0})
	qu.Push(ticket(1, "a", 0, time.Second))
	qu.Push(ticket(2, "b", 0, time.Minute))
	must.Nil(t, qu.PopExpired(start))
	must.Eq(t, 1, qu.PopExpired(start.Add(2*time.Second)).ID)
	must.Nil(t, qu.PopExpired(start.Add(2*time.Second)))
	must.Eq(t, 1, qu.Len())
}

func TestAhead(t *testing.T) {
	qu := fairqueue.New([]int64{0, 0})
	for id := range uint64(100) {
		qu.Push(ticket(id, "large", 0, time.Minute))
	}
	t.Run("a small organisation does not wait for the large one's backlog", func(t *testing.T) {
		must.Eq(t, 0, qu.CostAhead(0, "small", 1))
	})
	t.Run("the large one waits for its own", func(t *testing.T) {
		must.Eq(t, time.Second, qu.CostAhead(0, "large", 1))
	})
	t.Run("a later rank waits for all of the earlier one", func(t *testing.T) {
		must.Eq(t, time.Second, qu.CostAhead(1, "small", 1))
	})
}

// TestAheadOfWhatIsGiven has an organisation that is given a third of the queue's output.
func TestAheadOfWhatIsGiven(t *testing.T) {
	qu := fairqueue.New([]int64{0})
	for id := range uint64(300) {
		for at, owner := range []string{"a", "b", "c"} {
			qu.Push(ticket(3*id+uint64(at), owner, 0, time.Minute))
		}
	}
	before := qu.CostAhead(0, "a", 1)
	popOwners(qu, 300)
	// 200 tickets of 10 ms are left, and two of others run beside each.
	must.Between(t, 5500*time.Millisecond, qu.CostAhead(0, "a", 1), 6500*time.Millisecond)
	must.Greater(t, qu.CostAhead(0, "a", 1), before)
}

// TestNothingLost pushes, removes and pops at random: every ticket comes out exactly once.
func TestNothingLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu := fairqueue.New([]int64{0, 10, 5})
		waiting := map[uint64]*fairqueue.Ticket{}
		for id := range uint64(rapid.IntRange(1, 200).Draw(rt, "steps")) {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				owner := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation")
				fresh := ticket(id, owner, rapid.IntRange(0, 2).Draw(rt, "rank"), time.Duration(id)*time.Millisecond)
				waiting[id] = fresh
				qu.Push(fresh)
			case 2:
				takeOut(rt, waiting, qu.Pop())
			case 3:
				takeOut(rt, waiting, qu.PopExpired(start.Add(time.Duration(id/2)*time.Millisecond)))
			}
			must.Eq(rt, len(waiting), qu.Len())
		}
	})
}

func takeOut(rt *rapid.T, waiting map[uint64]*fairqueue.Ticket, popped *fairqueue.Ticket) {
	if popped == nil {
		return
	}
	_, known := waiting[popped.ID]
	must.True(rt, known)
	delete(waiting, popped.ID)
}
