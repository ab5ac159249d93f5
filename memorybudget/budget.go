package memorybudget

import "time"

// Budget divides the memory; it is not safe for concurrent use. After each call its owner executes the actions in their order.
type Budget struct {
	limits Limits
	caller CallerLimits

	// connections counts the connections, headBytes the weighed bytes of the heads whose requests are not complete.
	connections int
	headBytes   int64
	// idle are the connections between two requests, heads those that are reading a head, bodies those whose head is complete and
	// whose request is not; each in the order in which they began.
	idle, heads, unread list

	// long and short are the bytes of bodies of either kind, organisations those of each organisation.
	long, short   int64
	organisations map[string]int64
	// incomplete are the bodies that are being read, in the order in which they began; waiting are those of them that wait for memory.
	incomplete []*Body
	waiting    []*Body
	// waitingOf counts the waiting bodies of each organisation.
	waitingOf map[string]int
	// leaving is the memory of the bodies that were refused or asked to yield and are not released.
	leaving int64
}

// New returns a budget that nothing is taken from.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, organisations: map[string]int64{}, waitingOf: map[string]int{}}
}

// Configure sets the limits of single callers. Two bodies of the greatest legal length always fit.
func (bu *Budget) Configure(limits CallerLimits) {
	bu.caller = limits
}

// Usage is what callers hold of a budget.
type Usage struct {
	Connections int
	// HeadBytes is the weighed memory of heads, BodyBytes the memory of bodies; WaitingBodies counts the bodies that wait for memory.
	HeadBytes     int64
	BodyBytes     int64
	WaitingBodies int
}

// Usage returns what callers hold.
func (bu *Budget) Usage() Usage {
	return Usage{Connections: bu.connections, HeadBytes: bu.headBytes, BodyBytes: bu.long + bu.short, WaitingBodies: len(bu.waiting)}
}

// Tick decides what is due at a time: connections and bodies that have taken too long.
func (bu *Budget) Tick(now time.Time) []Action {
	return append(bu.closeOverdue(now), bu.settle(now)...)
}

const (
	// MinTick is the time between two ticks while bodies wait: a wait for memory may last that much longer than its limit.
	MinTick = 100 * time.Millisecond
	// MaxTick is the longest time between two ticks. A timeout of less than that which begins in between is enforced that much later.
	MaxTick = time.Second
)

// NextTick returns how long after a time the next tick is due, if no body begins to wait before. Bodies are refused, and asked to yield, by
// a tick only while one waits; without one, only the timeouts of connections matter.
func (bu *Budget) NextTick(now time.Time) time.Duration {
	if len(bu.waiting) > 0 {
		return MinTick
	}
	next := MaxTick
	for _, each := range bu.timedLists() {
		if each.allowed > 0 && each.list.first != nil {
			next = min(next, each.list.first.since.Add(each.allowed).Sub(now))
		}
	}
	return max(next, MinTick)
}
