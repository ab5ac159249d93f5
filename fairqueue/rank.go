package fairqueue

import (
	"time"

	"github.com/turmericdoor/turmericdoor/priority"
)

// organisationQueue holds one organisation's waiting tickets of one rank.
type organisationQueue struct {
	name    string
	waiting *priority.Queue[*Ticket]
	weight  int64
	// queuedCost is the cost of the waiting and the reserved tickets.
	queuedCost time.Duration
	// virtualStart is the virtual start time of the next ticket, and virtualFinish the virtual finish time of the
	// last one that was popped.
	virtualStart  float64
	virtualFinish float64
	// index is the position in rankQueue.active.
	index int
	// totalPops counts the tickets of all organisations that were popped since this one last had none waiting,
	// and ownPops those of this organisation; both are halved at maxSampledPops. lastPopCount is the queue's
	// popCount at the last update.
	lastPopCount uint64
	ownPops      float64
	totalPops    float64
}

const (
	// minSampledPops is the number of pops from which on outputShare is considered known.
	minSampledPops = 20
	// maxSampledPops is the number of pops above which both counts are halved, so that recent pops weigh more.
	maxSampledPops = 200
)

// observe updates totalPops; popCount is the number of tickets popped from the whole queue so far.
func (oq *organisationQueue) observe(popCount uint64) {
	oq.totalPops += float64(popCount - oq.lastPopCount)
	oq.lastPopCount = popCount
	if oq.totalPops > maxSampledPops {
		oq.totalPops /= 2
		oq.ownPops /= 2
	}
}

// outputShare returns the organisation's fraction of the tickets popped while it had some waiting, or 0 while that
// is unknown.
func (oq *organisationQueue) outputShare(popCount uint64) float64 {
	oq.observe(popCount)
	if oq.waiting.Len() == 0 || oq.totalPops < minSampledPops {
		return 0
	}
	return max(oq.ownPops, 1) / oq.totalPops
}

// rankQueue schedules the tickets of one rank by start-time fair queueing among organisations.
type rankQueue struct {
	organisations map[string]*organisationQueue
	// active holds the organisations with waiting tickets, and activeWeight is the sum of their weights.
	active       *priority.Queue[*organisationQueue]
	virtualTime  float64
	backlog      int
	backlogCost  time.Duration
	activeWeight int64
	// floorFraction is the fraction of the output that the rank is guaranteed while it has work. floorCredit is
	// the cost, in nanoseconds, that it may still run before the earlier ranks under that guarantee.
	floorFraction float64
	floorCredit   float64
}

// pruneThreshold is the number of organisations from which on idle ones are dropped.
const pruneThreshold = 4096

func newRankQueue() rankQueue {
	return rankQueue{organisations: map[string]*organisationQueue{}, active: newActiveQueue()}
}

func (rq *rankQueue) push(ticket *Ticket, popCount uint64) {
	org := rq.organisation(ticket)
	org.waiting.Push(ticket)
	org.queuedCost += ticket.Cost
	rq.backlog++
	rq.backlogCost += ticket.Cost
	if org.waiting.Len() == 1 {
		rq.activate(org)
		org.lastPopCount, org.totalPops, org.ownPops = popCount, 0, 0
	}
}

// organisation returns the queue of the ticket's organisation and creates it if needed.
func (rq *rankQueue) organisation(ticket *Ticket) *organisationQueue {
	org, known := rq.organisations[ticket.Organisation]
	if !known {
		rq.pruneIdle()
		org = &organisationQueue{name: ticket.Organisation, waiting: newTicketQueue()}
		rq.organisations[ticket.Organisation] = org
	}
	if org.waiting.Len() == 0 {
		org.weight = max(ticket.Weight, 1)
	}
	return org
}

// pruneIdle deletes organisations without tickets whose last virtual finish time has passed; these would restart
// at the current virtual time anyway.
func (rq *rankQueue) pruneIdle() {
	if len(rq.organisations) < pruneThreshold {
		return
	}
	for name, org := range rq.organisations {
		if org.waiting.Len() == 0 && org.queuedCost == 0 && org.virtualFinish <= rq.virtualTime {
			delete(rq.organisations, name)
		}
	}
}

// activate adds an organisation that had no waiting tickets. It starts at the current virtual time at the
// earliest, so it gets no credit for the time in which it was idle.
func (rq *rankQueue) activate(org *organisationQueue) {
	org.virtualStart = max(rq.virtualTime, org.virtualFinish)
	rq.activeWeight += org.weight
	rq.active.Push(org)
}

func (rq *rankQueue) pop(popCount uint64) *Ticket {
	org := rq.active.First()
	ticket := org.waiting.Pop()
	org.ownPops++
	org.observe(popCount)
	rq.virtualTime = max(rq.virtualTime, org.virtualStart)
	org.virtualFinish = org.virtualStart + float64(ticket.Cost)/float64(org.weight)
	org.virtualStart = org.virtualFinish
	rq.updateAfterRemoval(org, ticket)
	return ticket
}

func (rq *rankQueue) remove(ticket *Ticket) {
	org := rq.organisations[ticket.Organisation]
	org.waiting.Remove(ticket.index)
	rq.updateAfterRemoval(org, ticket)
}

// updateAfterRemoval updates the counts and costs after a ticket has been removed from org, and the position of org in
// active.
func (rq *rankQueue) updateAfterRemoval(org *organisationQueue, ticket *Ticket) {
	org.queuedCost -= ticket.Cost
	rq.backlog--
	rq.backlogCost -= ticket.Cost
	if org.waiting.Len() > 0 {
		rq.active.Fix(org.index)
		return
	}
	rq.active.Remove(org.index)
	rq.activeWeight -= org.weight
}

// correctCost shifts the organisation's virtual finish time by the difference between a ticket's actual cost and
// its estimate.
func (rq *rankQueue) correctCost(ticket *Ticket, actual time.Duration) {
	org, known := rq.organisations[ticket.Organisation]
	if !known {
		return
	}
	org.virtualFinish += float64(actual-ticket.Cost) / float64(max(ticket.Weight, 1))
	if org.waiting.Len() > 0 {
		org.virtualStart = max(org.virtualFinish, rq.virtualTime)
		rq.active.Fix(org.index)
	}
}

// reserve adds the cost of a ticket that is not in the queue yet to the backlog; a negative cost removes it.
func (rq *rankQueue) reserve(ticket *Ticket, cost time.Duration) {
	rq.organisation(ticket).queuedCost += cost
	rq.backlogCost += cost
}

// costAhead returns the cost within the rank that runs before a new ticket of the organisation: its own queued
// cost, and that of the others as far as fair queueing schedules it before the organisation's last ticket.
func (rq *rankQueue) costAhead(organisation string, weight int64) time.Duration {
	weight = max(weight, 1)
	otherWeight := rq.activeWeight
	own := time.Duration(0)
	if org, known := rq.organisations[organisation]; known {
		own = org.queuedCost
		if org.waiting.Len() > 0 {
			otherWeight -= org.weight
		}
	}
	others := rq.backlogCost - own
	fair := time.Duration(float64(own) * float64(otherWeight) / float64(weight))
	return own + min(others, fair)
}

// newTicketQueue returns a queue that orders an organisation's tickets by deadline.
func newTicketQueue() *priority.Queue[*Ticket] {
	return priority.New(earlierDeadline, func(ticket *Ticket, index int) { ticket.index = index })
}

func earlierDeadline(left, right *Ticket) bool {
	if left.Deadline.Equal(right.Deadline) {
		return left.ID < right.ID
	}
	return left.Deadline.Before(right.Deadline)
}

// newExpiryQueue returns a queue that orders tickets by LatestStart.
func newExpiryQueue() *priority.Queue[*Ticket] {
	return priority.New(
		func(left, right *Ticket) bool { return left.LatestStart.Before(right.LatestStart) },
		func(ticket *Ticket, index int) { ticket.expiryIndex = index },
	)
}

// newActiveQueue returns a queue that orders organisations by virtual start time.
func newActiveQueue() *priority.Queue[*organisationQueue] {
	return priority.New(
		func(left, right *organisationQueue) bool {
			if left.virtualStart == right.virtualStart {
				return left.name < right.name
			}
			return left.virtualStart < right.virtualStart
		},
		func(org *organisationQueue, index int) { org.index = index },
	)
}
