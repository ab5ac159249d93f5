package fairqueue

import (
	"time"

	"github.com/turmericdoor/turmericdoor/priority"
)

// tenant is one organisation's waiting work inside a rank; start and finish are virtual times.
type tenant struct {
	name    string
	waiting *priority.Queue[*Ticket]
	weight  int64
	cost    time.Duration
	start   float64
	finish  float64
	seat    int
	// pops is how many tickets of the whole queue were taken out since the organisation last had none waiting,
	// and served how many of them were its own.
	popsAt uint64
	served float64
	pops   float64
}

const (
	// minPops is how many tickets must have been taken out for an organisation's part of them to be believed.
	minPops = 20
	// maxPops is after how many the older half of them is forgotten.
	maxPops = 200
)

// observe takes note of the tickets taken out of the queue so far.
func (tn *tenant) observe(popped uint64) {
	tn.pops += float64(popped - tn.popsAt)
	tn.popsAt = popped
	if tn.pops > maxPops {
		tn.pops /= 2
		tn.served /= 2
	}
}

// part is the organisation's part of the tickets taken out while it had some waiting; it is 0 while unknown.
func (tn *tenant) part(popped uint64) float64 {
	tn.observe(popped)
	if tn.waiting.Len() == 0 || tn.pops < minPops {
		return 0
	}
	return max(tn.served, 1) / tn.pops
}

// rankQueue shares one rank among organisations by start-time fair queueing.
type rankQueue struct {
	tenants     map[string]*tenant
	active      *priority.Queue[*tenant]
	virtual     float64
	backlog     int
	backlogCost time.Duration
	activeShare int64
	floor       float64
	credit      float64
}

// idleTenants bounds how many organisations without waiting work are remembered.
const idleTenants = 4096

func newRankQueue() rankQueue {
	return rankQueue{tenants: map[string]*tenant{}, active: newActive()}
}

func (rq *rankQueue) push(ticket *Ticket, popped uint64) {
	owner := rq.tenant(ticket)
	owner.waiting.Push(ticket)
	owner.cost += ticket.Cost
	rq.backlog++
	rq.backlogCost += ticket.Cost
	if owner.waiting.Len() == 1 {
		rq.activate(owner)
		owner.popsAt, owner.pops, owner.served = popped, 0, 0
	}
}

// tenant finds or makes the record of the ticket's organisation.
func (rq *rankQueue) tenant(ticket *Ticket) *tenant {
	owner, known := rq.tenants[ticket.Organisation]
	if !known {
		rq.forgetIdle()
		owner = &tenant{name: ticket.Organisation, waiting: newWaiting()}
		rq.tenants[ticket.Organisation] = owner
	}
	if owner.waiting.Len() == 0 {
		owner.weight = max(ticket.Weight, 1)
	}
	return owner
}

// forgetIdle drops organisations whose past use no longer counts once too many are remembered.
func (rq *rankQueue) forgetIdle() {
	if len(rq.tenants) < idleTenants {
		return
	}
	for name, owner := range rq.tenants {
		if owner.waiting.Len() == 0 && owner.cost == 0 && owner.finish <= rq.virtual {
			delete(rq.tenants, name)
		}
	}
}

// activate enters an organisation that had nothing waiting; what it did not use before is not owed to it.
func (rq *rankQueue) activate(owner *tenant) {
	owner.start = max(rq.virtual, owner.finish)
	rq.activeShare += owner.weight
	rq.active.Push(owner)
}

func (rq *rankQueue) pop(popped uint64) *Ticket {
	owner := rq.active.First()
	ticket := owner.waiting.Pop()
	owner.served++
	owner.observe(popped)
	rq.virtual = max(rq.virtual, owner.start)
	owner.finish = owner.start + float64(ticket.Cost)/float64(owner.weight)
	owner.start = owner.finish
	rq.settle(owner, ticket)
	return ticket
}

func (rq *rankQueue) remove(ticket *Ticket) {
	owner := rq.tenants[ticket.Organisation]
	owner.waiting.Remove(ticket.seat)
	rq.settle(owner, ticket)
}

// settle books a ticket out and re-sorts its organisation.
func (rq *rankQueue) settle(owner *tenant, ticket *Ticket) {
	owner.cost -= ticket.Cost
	rq.backlog--
	rq.backlogCost -= ticket.Cost
	if owner.waiting.Len() > 0 {
		rq.active.Fix(owner.seat)
		return
	}
	rq.active.Remove(owner.seat)
	rq.activeShare -= owner.weight
}

// correct shifts the organisation's virtual time by what its ticket cost beyond the estimate.
func (rq *rankQueue) correct(ticket *Ticket, actual time.Duration) {
	owner, known := rq.tenants[ticket.Organisation]
	if !known {
		return
	}
	owner.finish += float64(actual-ticket.Cost) / float64(max(ticket.Weight, 1))
	if owner.waiting.Len() > 0 {
		owner.start = max(owner.finish, rq.virtual)
		rq.active.Fix(owner.seat)
	}
}

// reserve adds a cost that is not waiting yet to the organisation's share of the backlog.
func (rq *rankQueue) reserve(ticket *Ticket, cost time.Duration) {
	rq.tenant(ticket).cost += cost
	rq.backlogCost += cost
}

// fairAhead returns the cost inside the rank that runs before a new ticket of the organisation.
func (rq *rankQueue) fairAhead(organisation string, weight int64) time.Duration {
	weight = max(weight, 1)
	share := rq.activeShare
	own := time.Duration(0)
	if owner, known := rq.tenants[organisation]; known {
		own = owner.cost
		if owner.waiting.Len() > 0 {
			share -= owner.weight
		}
	}
	others := rq.backlogCost - own
	fair := time.Duration(float64(own) * float64(share) / float64(weight))
	return own + min(others, fair)
}

// newWaiting orders an organisation's tickets by deadline.
func newWaiting() *priority.Queue[*Ticket] {
	return priority.New(sooner, func(ticket *Ticket, seat int) { ticket.seat = seat })
}

func sooner(left, right *Ticket) bool {
	if left.Deadline.Equal(right.Deadline) {
		return left.ID < right.ID
	}
	return left.Deadline.Before(right.Deadline)
}

// newExpiries orders tickets by the last moment at which they are of use.
func newExpiries() *priority.Queue[*Ticket] {
	return priority.New(
		func(left, right *Ticket) bool { return left.LatestStart.Before(right.LatestStart) },
		func(ticket *Ticket, seat int) { ticket.expirySeat = seat },
	)
}

// newActive orders organisations by virtual start time.
func newActive() *priority.Queue[*tenant] {
	return priority.New(
		func(left, right *tenant) bool {
			if left.start == right.start {
				return left.name < right.name
			}
			return left.start < right.start
		},
		func(owner *tenant, seat int) { owner.seat = seat },
	)
}
