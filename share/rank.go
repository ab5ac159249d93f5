package share

import (
	"container/heap"
	"time"
)

// tenant is one organisation's waiting work inside a rank; start and finish are virtual times.
type tenant struct {
	name    string
	waiting deadlineHeap
	weight  int64
	cost    time.Duration
	start   float64
	finish  float64
	seat    int
}

// rankQueue shares one rank among organisations by start-time fair queueing.
type rankQueue struct {
	tenants     map[string]*tenant
	active      tenantHeap
	virtual     float64
	backlog     int
	backlogCost time.Duration
	activeShare int64
	floor       float64
	credit      float64
}

// idleTenants bounds how many organisations without waiting work are remembered.
const idleTenants = 4096

func (rq *rankQueue) push(ticket *Ticket) {
	owner := rq.tenant(ticket)
	heap.Push(&owner.waiting, ticket)
	owner.cost += ticket.Cost
	rq.backlog++
	rq.backlogCost += ticket.Cost
	if len(owner.waiting) == 1 {
		rq.activate(owner)
	}
}

// tenant finds or makes the record of the ticket's organisation.
func (rq *rankQueue) tenant(ticket *Ticket) *tenant {
	owner, known := rq.tenants[ticket.Organisation]
	if !known {
		rq.forgetIdle()
		owner = &tenant{name: ticket.Organisation}
		rq.tenants[ticket.Organisation] = owner
	}
	if len(owner.waiting) == 0 {
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
		if len(owner.waiting) == 0 && owner.cost == 0 && owner.finish <= rq.virtual {
			delete(rq.tenants, name)
		}
	}
}

// activate enters an organisation that had nothing waiting; what it did not use before is not owed to it.
func (rq *rankQueue) activate(owner *tenant) {
	owner.start = max(rq.virtual, owner.finish)
	rq.activeShare += owner.weight
	heap.Push(&rq.active, owner)
}

func (rq *rankQueue) pop() *Ticket {
	owner := rq.active[0]
	ticket, _ := heap.Pop(&owner.waiting).(*Ticket)
	rq.virtual = max(rq.virtual, owner.start)
	owner.finish = owner.start + float64(ticket.Cost)/float64(owner.weight)
	owner.start = owner.finish
	rq.settle(owner, ticket)
	return ticket
}

func (rq *rankQueue) remove(ticket *Ticket) {
	owner := rq.tenants[ticket.Organisation]
	heap.Remove(&owner.waiting, ticket.seat)
	rq.settle(owner, ticket)
}

// settle books a ticket out and re-sorts its organisation.
func (rq *rankQueue) settle(owner *tenant, ticket *Ticket) {
	owner.cost -= ticket.Cost
	rq.backlog--
	rq.backlogCost -= ticket.Cost
	if len(owner.waiting) > 0 {
		heap.Fix(&rq.active, owner.seat)
		return
	}
	heap.Remove(&rq.active, owner.seat)
	rq.activeShare -= owner.weight
}

// correct shifts the organisation's virtual time by what its ticket cost beyond the estimate.
func (rq *rankQueue) correct(ticket *Ticket, actual time.Duration) {
	owner, known := rq.tenants[ticket.Organisation]
	if !known {
		return
	}
	owner.finish += float64(actual-ticket.Cost) / float64(max(ticket.Weight, 1))
	if len(owner.waiting) > 0 {
		owner.start = max(owner.finish, rq.virtual)
		heap.Fix(&rq.active, owner.seat)
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
		if len(owner.waiting) > 0 {
			share -= owner.weight
		}
	}
	others := rq.backlogCost - own
	fair := time.Duration(float64(own) * float64(share) / float64(weight))
	return own + min(others, fair)
}

// deadlineHeap orders tickets by deadline.
type deadlineHeap []*Ticket

func (hp deadlineHeap) Len() int { return len(hp) }

func (hp deadlineHeap) Less(left, right int) bool {
	if hp[left].Deadline.Equal(hp[right].Deadline) {
		return hp[left].ID < hp[right].ID
	}
	return hp[left].Deadline.Before(hp[right].Deadline)
}

func (hp deadlineHeap) Swap(left, right int) {
	hp[left], hp[right] = hp[right], hp[left]
	hp[left].seat, hp[right].seat = left, right
}

func (hp *deadlineHeap) Push(value any) {
	ticket, _ := value.(*Ticket)
	ticket.seat = len(*hp)
	*hp = append(*hp, ticket)
}

func (hp *deadlineHeap) Pop() any {
	old := *hp
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*hp = old[:len(old)-1]
	return last
}

// expiryHeap orders tickets by the last moment at which they are of use.
type expiryHeap []*Ticket

func (hp expiryHeap) Len() int { return len(hp) }

func (hp expiryHeap) Less(left, right int) bool {
	return hp[left].LatestStart.Before(hp[right].LatestStart)
}

func (hp expiryHeap) Swap(left, right int) {
	hp[left], hp[right] = hp[right], hp[left]
	hp[left].expirySeat, hp[right].expirySeat = left, right
}

func (hp *expiryHeap) Push(value any) {
	ticket, _ := value.(*Ticket)
	ticket.expirySeat = len(*hp)
	*hp = append(*hp, ticket)
}

func (hp *expiryHeap) Pop() any {
	old := *hp
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*hp = old[:len(old)-1]
	return last
}

// tenantHeap orders organisations by virtual start time.
type tenantHeap []*tenant

func (hp tenantHeap) Len() int { return len(hp) }

func (hp tenantHeap) Less(left, right int) bool {
	if hp[left].start == hp[right].start {
		return hp[left].name < hp[right].name
	}
	return hp[left].start < hp[right].start
}

func (hp tenantHeap) Swap(left, right int) {
	hp[left], hp[right] = hp[right], hp[left]
	hp[left].seat, hp[right].seat = left, right
}

func (hp *tenantHeap) Push(value any) {
	owner, _ := value.(*tenant)
	owner.seat = len(*hp)
	*hp = append(*hp, owner)
}

func (hp *tenantHeap) Pop() any {
	old := *hp
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*hp = old[:len(old)-1]
	return last
}
