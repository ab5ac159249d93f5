package memorybudget

import "time"

// Budget divides the memory among callers; it is not safe for concurrent use. Whoever calls it must execute the returned actions in order.
type Budget struct {
	limits Limits
	caller CallerLimits

	// connections counts the connections. headBytes is the memory of the heads whose requests are not complete: HeadWeight times their bytes until they are parsed.
	connections int
	headBytes   int64
	// idle holds the connections between two requests, heads those whose head is incomplete, and unread those whose head is complete and whose
	// body is not; each in the order in which they reached that state. Other connections are in no list: their requests are being served.
	idle, heads, unread list

	// long and short are the memory of long and of short bodies, in bytes; organisations is that of each organisation.
	long, short   int64
	organisations map[string]int64
	// incomplete holds the bodies that are reading or waiting, in the order in which they began; waiting holds those that wait for memory.
	incomplete []*Body
	waiting    []*Body
	// waitingOf counts the waiting bodies of each organisation.
	waitingOf map[string]int
	// stoppedBytes is the memory of bodies that were refused or have yielded, and are not released yet.
	stoppedBytes int64
}

// New returns a budget of which nothing is in use.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, organisations: map[string]int64{}, waitingOf: map[string]int{}}
}

// Configure sets the limits of single callers. The memory for bodies is raised if two of the greatest legal length would not fit.
func (bu *Budget) Configure(limits CallerLimits) {
	bu.caller = limits
}

// Usage is the part of a budget that is in use.
type Usage struct {
	Connections int
	// HeadBytes is the memory of heads, HeadWeight times their bytes; BodyBytes is that of bodies. WaitingBodies counts the bodies that wait for memory.
	HeadBytes     int64
	BodyBytes     int64
	WaitingBodies int
}

// Usage returns the part of the budget that is in use.
func (bu *Budget) Usage() Usage {
	return Usage{Connections: bu.connections, HeadBytes: bu.headBytes, BodyBytes: bu.long + bu.short, WaitingBodies: len(bu.waiting)}
}

// Tick closes connections that have exceeded a timeout, refuses bodies that have waited too long, and takes memory from stalled ones.
func (bu *Budget) Tick(now time.Time) []Action {
	return append(bu.closeOverdue(now), bu.decideWaiting(now)...)
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
