package fairqueue

import (
	"time"

	"github.com/turmericdoor/turmericdoor/priority"
)

// Ticket is one piece of work that waits; LatestStart is the last moment at which starting it is of use.
type Ticket struct {
	ID           uint64
	Organisation string
	Weight       int64
	Rank         int
	Cost         time.Duration
	Deadline     time.Time
	LatestStart  time.Time

	seat       int
	expirySeat int
}

// Queue is the waiting work of one pool; it is not safe for concurrent use.
type Queue struct {
	ranks    []rankQueue
	expiries *priority.Queue[*Ticket]
	count    int
	popped   uint64
}

// New returns an empty queue with one floor in percent for each rank, first served first.
func New(floorPercents []int64) *Queue {
	qu := &Queue{expiries: newExpiries()}
	qu.SetFloors(floorPercents)
	return qu
}

// SetFloors replaces the floors and adds ranks as needed; waiting work stays.
func (qu *Queue) SetFloors(floorPercents []int64) {
	for len(qu.ranks) < len(floorPercents) {
		qu.ranks = append(qu.ranks, newRankQueue())
	}
	for at := range qu.ranks {
		qu.ranks[at].floor = 0
		if at < len(floorPercents) {
			qu.ranks[at].floor = float64(floorPercents[at]) / percent
		}
	}
}

const percent = 100

// Len returns the number of waiting tickets.
func (qu *Queue) Len() int {
	return qu.count
}

// Push adds a ticket; its rank must be one that New or SetFloors made.
func (qu *Queue) Push(ticket *Ticket) {
	qu.ranks[ticket.Rank].push(ticket, qu.popped)
	qu.expiries.Push(ticket)
	qu.count++
}

// Remove takes out a ticket that is still waiting.
func (qu *Queue) Remove(ticket *Ticket) {
	qu.ranks[ticket.Rank].remove(ticket)
	qu.expiries.Remove(ticket.expirySeat)
	qu.count--
}

// Pop takes out the ticket that runs next, or returns nil when none waits.
func (qu *Queue) Pop() *Ticket {
	if qu.count == 0 {
		return nil
	}
	rank := &qu.ranks[qu.nextRank()]
	qu.popped++
	ticket := rank.pop(qu.popped)
	qu.expiries.Remove(ticket.expirySeat)
	qu.count--
	qu.charge(ticket)
	return ticket
}

// PopExpired takes out a ticket that can no longer be started in time, or returns nil when there is none.
func (qu *Queue) PopExpired(now time.Time) *Ticket {
	if qu.expiries.Len() == 0 || !qu.expiries.First().LatestStart.Before(now) {
		return nil
	}
	ticket := qu.expiries.First()
	qu.Remove(ticket)
	return ticket
}

// NextExpiry returns when the next ticket becomes late, and whether any waits.
func (qu *Queue) NextExpiry() (time.Time, bool) {
	if qu.expiries.Len() == 0 {
		return time.Time{}, false
	}
	return qu.expiries.First().LatestStart, true
}

// nextRank returns the first rank with work, unless a later one is owed its floor.
func (qu *Queue) nextRank() int {
	first := -1
	for at := range qu.ranks {
		rank := &qu.ranks[at]
		if rank.backlog == 0 {
			continue
		}
		if first < 0 {
			first = at
			continue
		}
		if rank.floor > 0 && rank.credit >= 0 {
			return at
		}
	}
	return first
}

// maxCredit bounds how much unused floor a rank may save up.
const maxCredit = float64(time.Second)

// charge books a ticket's cost against its rank's floor and pays every floor its share.
func (qu *Queue) charge(ticket *Ticket) {
	cost := float64(ticket.Cost)
	for at := range qu.ranks {
		rank := &qu.ranks[at]
		if rank.floor == 0 {
			continue
		}
		if rank.backlog == 0 && at != ticket.Rank {
			rank.credit = 0
			continue
		}
		rank.credit = min(rank.credit+rank.floor*cost, maxCredit)
	}
	qu.ranks[ticket.Rank].credit -= cost
	qu.ranks[ticket.Rank].credit = max(qu.ranks[ticket.Rank].credit, -maxCredit)
}

// CorrectCost books the difference between the true cost of a ticket that has run and its estimate.
func (qu *Queue) CorrectCost(ticket *Ticket, actual time.Duration) {
	qu.ranks[ticket.Rank].correct(ticket, actual)
}

// Reserve counts work that is admitted but has not reached this queue yet.
func (qu *Queue) Reserve(ticket *Ticket) {
	qu.ranks[ticket.Rank].reserve(ticket, ticket.Cost)
}

// Unreserve takes back what Reserve counted.
func (qu *Queue) Unreserve(ticket *Ticket) {
	qu.ranks[ticket.Rank].reserve(ticket, -ticket.Cost)
}

// CostAhead returns the cost of the work that would run before a new ticket of the organisation and rank. For an
// organisation that has work waiting, what runs before includes work that is yet to come: its own backlog is
// set against the part of the queue's output that it was given lately.
func (qu *Queue) CostAhead(rank int, organisation string, weight int64) time.Duration {
	if rank < len(qu.ranks) {
		if owner, known := qu.ranks[rank].tenants[organisation]; known {
			if part := owner.part(qu.popped); part > 0 {
				return time.Duration(float64(owner.cost) / part)
			}
		}
	}
	ahead := time.Duration(0)
	for at := range min(rank, len(qu.ranks)) {
		ahead += qu.ranks[at].backlogCost
	}
	if rank >= len(qu.ranks) {
		return ahead
	}
	own := &qu.ranks[rank]
	if own.floor > 0 && ahead > 0 {
		ahead = min(ahead, time.Duration(float64(own.backlogCost)/own.floor))
	}
	return ahead + own.fairAhead(organisation, weight)
}
