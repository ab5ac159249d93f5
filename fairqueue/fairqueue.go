package fairqueue

import (
	"time"

	"github.com/turmericdoor/turmericdoor/priority"
)

// Ticket is the place of one request in the queue. ID is the request's id, which is unique among the waiting requests; a
// ticket that is only passed to Reserve and Unreserve needs none.
type Ticket struct {
	ID           uint64
	Organisation string
	// Weight is the organisation's weight in its rank; values below 1 count as 1.
	Weight int64
	// Rank is the index of the rank; rank 0 is served first.
	Rank int
	// Cost is the estimated service time.
	Cost     time.Duration
	Deadline time.Time
	// LatestStart is the last time at which the request can start and still meet its deadline.
	LatestStart time.Time

	// index is the position in organisationQueue.waiting, expiryIndex that in Queue.expiries.
	index       int
	expiryIndex int
}

// Queue holds the waiting requests of one pool; it is not safe for concurrent use.
type Queue struct {
	ranks    []rankQueue
	expiries *priority.Queue[*Ticket]
	count    int
	popCount uint64
}

// New returns an empty queue. floorPercents holds, for each rank from the first served to the last, the percentage
// of the output that the rank is guaranteed while it has work.
func New(floorPercents []int64) *Queue {
	queue := &Queue{expiries: newExpiryQueue()}
	queue.SetFloors(floorPercents)
	return queue
}

// SetFloors replaces the floors and adds ranks as needed; waiting tickets stay. Ranks without a new floor get 0.
func (queue *Queue) SetFloors(floorPercents []int64) {
	for len(queue.ranks) < len(floorPercents) {
		queue.ranks = append(queue.ranks, newRankQueue())
	}
	for at := range queue.ranks {
		queue.ranks[at].floorFraction = 0
		if at < len(floorPercents) {
			queue.ranks[at].floorFraction = float64(floorPercents[at]) / percent
		}
	}
}

const percent = 100

// Len returns the number of waiting tickets.
func (queue *Queue) Len() int {
	return queue.count
}

// Push adds a ticket; its rank must have been created by New or SetFloors.
func (queue *Queue) Push(ticket *Ticket) {
	queue.ranks[ticket.Rank].push(ticket, queue.popCount)
	queue.expiries.Push(ticket)
	queue.count++
}

// Remove removes a ticket, which must be waiting.
func (queue *Queue) Remove(ticket *Ticket) {
	queue.ranks[ticket.Rank].remove(ticket)
	queue.expiries.Remove(ticket.expiryIndex)
	queue.count--
}

// Pop removes and returns the ticket to run next, or returns nil if none waits.
func (queue *Queue) Pop() *Ticket {
	if queue.count == 0 {
		return nil
	}
	rank := &queue.ranks[queue.nextRank()]
	queue.popCount++
	ticket := rank.pop(queue.popCount)
	queue.expiries.Remove(ticket.expiryIndex)
	queue.count--
	queue.charge(ticket)
	return ticket
}

// PopExpired removes and returns a ticket whose LatestStart is before now, or returns nil if there is none.
func (queue *Queue) PopExpired(now time.Time) *Ticket {
	if queue.expiries.Len() == 0 || !queue.expiries.First().LatestStart.Before(now) {
		return nil
	}
	ticket := queue.expiries.First()
	queue.Remove(ticket)
	return ticket
}

// NextExpiry returns the earliest LatestStart, and whether any ticket waits.
func (queue *Queue) NextExpiry() (time.Time, bool) {
	if queue.expiries.Len() == 0 {
		return time.Time{}, false
	}
	return queue.expiries.First().LatestStart, true
}

// nextRank returns the first rank with work, or instead the first later one that has work, a floor and a floor
// credit that isn't negative. It returns -1 if no rank has work.
func (queue *Queue) nextRank() int {
	first := -1
	for at := range queue.ranks {
		rank := &queue.ranks[at]
		if rank.backlog == 0 {
			continue
		}
		if first < 0 {
			first = at
			continue
		}
		if rank.floorFraction > 0 && rank.floorCredit >= 0 {
			return at
		}
	}
	return first
}

// maxFloorCredit limits a rank's floor credit and debt, as cost in nanoseconds.
const maxFloorCredit = float64(time.Second)

// charge subtracts a popped ticket's cost from its rank's floor credit and adds to each rank the part of that cost
// that its floor guarantees. A rank without work loses its credit.
func (queue *Queue) charge(ticket *Ticket) {
	cost := float64(ticket.Cost)
	for at := range queue.ranks {
		rank := &queue.ranks[at]
		if rank.floorFraction == 0 {
			continue
		}
		if rank.backlog == 0 && at != ticket.Rank {
			rank.floorCredit = 0
			continue
		}
		rank.floorCredit = min(rank.floorCredit+rank.floorFraction*cost, maxFloorCredit)
	}
	queue.ranks[ticket.Rank].floorCredit -= cost
	queue.ranks[ticket.Rank].floorCredit = max(queue.ranks[ticket.Rank].floorCredit, -maxFloorCredit)
}

// CorrectCost replaces the estimated cost of a ticket that has run by its actual cost.
func (queue *Queue) CorrectCost(ticket *Ticket, actual time.Duration) {
	queue.ranks[ticket.Rank].correctCost(ticket, actual)
}

// Reserve adds a ticket's cost to the backlog before the ticket itself is pushed: its request is admitted but
// still in an earlier stage.
func (queue *Queue) Reserve(ticket *Ticket) {
	queue.ranks[ticket.Rank].reserve(ticket, ticket.Cost)
}

// Unreserve removes the cost that Reserve added.
func (queue *Queue) Unreserve(ticket *Ticket) {
	queue.ranks[ticket.Rank].reserve(ticket, -ticket.Cost)
}

// CostAhead returns the cost of the work that would run before a new ticket of the organisation and rank. For an
// organisation with waiting tickets whose share of the recent output is known, that is its queued cost divided by
// this share, which includes tickets of others that have yet to arrive.
func (queue *Queue) CostAhead(rank int, organisation string, weight int64) time.Duration {
	if rank < len(queue.ranks) {
		if org, known := queue.ranks[rank].organisations[organisation]; known {
			if outputShare := org.outputShare(queue.popCount); outputShare > 0 {
				return time.Duration(float64(org.queuedCost) / outputShare)
			}
		}
	}
	ahead := time.Duration(0)
	for at := range min(rank, len(queue.ranks)) {
		ahead += queue.ranks[at].backlogCost
	}
	if rank >= len(queue.ranks) {
		return ahead
	}
	own := &queue.ranks[rank]
	if own.floorFraction > 0 && ahead > 0 {
		ahead = min(ahead, time.Duration(float64(own.backlogCost)/own.floorFraction))
	}
	return ahead + own.costAhead(organisation, weight)
}
