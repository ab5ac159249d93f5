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

// popByOrganisation pops count tickets and returns how many each organisation had among them.
func popByOrganisation(queue *fairqueue.Queue, count int) map[string]int {
	byOrganisation := map[string]int{}
	for range count {
		byOrganisation[queue.Pop().Organisation]++
	}
	return byOrganisation
}

func TestOrder(t *testing.T) {
	t.Run("pops an earlier rank first", func(t *testing.T) {
		queue := fairqueue.New([]int64{0, 0})
		queue.Push(ticket(1, "a", 1, time.Second))
		queue.Push(ticket(2, "a", 0, time.Minute))
		must.Eq(t, 2, queue.Pop().ID)
	})
	t.Run("pops the earliest deadline of an organisation first", func(t *testing.T) {
		queue := fairqueue.New([]int64{0})
		queue.Push(ticket(1, "a", 0, time.Minute))
		queue.Push(ticket(2, "a", 0, time.Second))
		must.Eq(t, 2, queue.Pop().ID)
	})
	t.Run("organisations share a rank equally regardless of their backlog", func(t *testing.T) {
		queue := fairqueue.New([]int64{0})
		for id := range uint64(100) {
			queue.Push(ticket(id, "large", 0, time.Minute))
		}
		for id := range uint64(10) {
			queue.Push(ticket(1000+id, "small", 0, time.Minute))
		}
		must.Eq(t, map[string]int{"large": 10, "small": 10}, popByOrganisation(queue, 20))
	})
	t.Run("an idle organisation gains no credit", func(t *testing.T) {
		queue := fairqueue.New([]int64{0})
		for id := range uint64(100) {
			queue.Push(ticket(id, "large", 0, time.Minute))
		}
		popByOrganisation(queue, 50)
		for id := range uint64(20) {
			queue.Push(ticket(1000+id, "late", 0, time.Minute))
		}
		byOrganisation := popByOrganisation(queue, 20)
		must.Between(t, 9, byOrganisation["late"], 11)
	})
}

// TestFloor checks that a later rank gets its floor, 20 percent, while an earlier rank always has work.
func TestFloor(t *testing.T) {
	queue := fairqueue.New([]int64{0, 20})
	for id := range uint64(1000) {
		queue.Push(ticket(id, "a", 0, time.Minute))
		queue.Push(ticket(5000+id, "a", 1, time.Minute))
	}
	later := 0
	for range 500 {
		later += queue.Pop().Rank
	}
	must.Between(t, 95, later, 105)
}

func TestPopLate(t *testing.T) {
	queue := fairqueue.New([]int64{0})
	queue.Push(ticket(1, "a", 0, time.Second))
	queue.Push(ticket(2, "b", 0, time.Minute))
	must.Nil(t, queue.PopExpired(start))
	must.Eq(t, 1, queue.PopExpired(start.Add(2*time.Second)).ID)
	must.Nil(t, queue.PopExpired(start.Add(2*time.Second)))
	must.Eq(t, 1, queue.Len())
}

func TestAhead(t *testing.T) {
	queue := fairqueue.New([]int64{0, 0})
	for id := range uint64(100) {
		queue.Push(ticket(id, "large", 0, time.Minute))
	}
	t.Run("a small organisation does not wait for the large one's backlog", func(t *testing.T) {
		must.Eq(t, 0, queue.CostAhead(0, "small", 1))
	})
	t.Run("the large organisation waits for its own backlog", func(t *testing.T) {
		must.Eq(t, time.Second, queue.CostAhead(0, "large", 1))
	})
	t.Run("a later rank waits for the whole backlog of the earlier one", func(t *testing.T) {
		must.Eq(t, time.Second, queue.CostAhead(1, "small", 1))
	})
}

// TestCostAheadByOutputShare checks the estimate for an organisation that gets a third of the queue's output.
func TestCostAheadByOutputShare(t *testing.T) {
	queue := fairqueue.New([]int64{0})
	for id := range uint64(300) {
		for at, org := range []string{"a", "b", "c"} {
			queue.Push(ticket(3*id+uint64(at), org, 0, time.Minute))
		}
	}
	before := queue.CostAhead(0, "a", 1)
	popByOrganisation(queue, 300)
	// 200 of its tickets of 10 ms each wait, and for each of them two of others run.
	must.Between(t, 5500*time.Millisecond, queue.CostAhead(0, "a", 1), 6500*time.Millisecond)
	must.Greater(t, queue.CostAhead(0, "a", 1), before)
}

// TestEachTicketOnce pushes and pops at random and checks that each ticket is popped at most once and that Len
// matches the tickets left.
func TestEachTicketOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		queue := fairqueue.New([]int64{0, 10, 5})
		waiting := map[uint64]*fairqueue.Ticket{}
		for id := range uint64(rapid.IntRange(1, 200).Draw(rt, "steps")) {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation")
				fresh := ticket(id, org, rapid.IntRange(0, 2).Draw(rt, "rank"), time.Duration(id)*time.Millisecond)
				waiting[id] = fresh
				queue.Push(fresh)
			case 2:
				deleteWaiting(rt, waiting, queue.Pop())
			case 3:
				deleteWaiting(rt, waiting, queue.PopExpired(start.Add(time.Duration(id/2)*time.Millisecond)))
			}
			must.Eq(rt, len(waiting), queue.Len())
		}
	})
}

func deleteWaiting(rt *rapid.T, waiting map[uint64]*fairqueue.Ticket, popCount *fairqueue.Ticket) {
	if popCount == nil {
		return
	}
	_, known := waiting[popCount.ID]
	must.True(rt, known)
	delete(waiting, popCount.ID)
}
