package memorybudget

import (
	"slices"
	"time"
)

// BodySpec describes a body before it is read.
type BodySpec struct {
	Organisation string
	// Length is the stated length, or -1 if it is unknown; Longest is the limit for a body of unknown length.
	Length  int64
	Longest int64
	// Deadline is the end of the time in which the body may wait for memory.
	Deadline time.Time
}

// bodyState is the state of a body.
type bodyState int

const (
	// reading: it has the memory that it asked for; waiting: it waits for memory; refused, yielded: it is no longer read, its request must not
	// run; complete: it was read to its end; released: it holds no memory.
	reading bodyState = iota
	waiting
	refused
	yielded
	complete
	released
)

// Body is a request's body and the memory that it holds.
type Body struct {
	spec  BodySpec
	state bodyState
	// isLong is set if it takes the memory for long bodies; taken is the memory that it holds, in bytes.
	isLong bool
	taken  int64
	// wanted is the memory that it waits for, since waitingSince.
	wanted       int64
	waitingSince time.Time
	// received counts its bytes; at progressAt, when it last made progress, there were counted ones.
	received, counted int64
	progressAt        time.Time
}

const (
	// stallTime is how long a body may make no progress while others need its memory. Only each further progressBytes are progress: a caller
	// that sends single bytes would keep its memory otherwise.
	stallTime     = time.Second
	progressBytes = 4 << 10
	// maxWaiting is the maximum number of bodies that wait: each decision goes through all of them.
	maxWaiting = 256
	// maxWait is how long a body waits for memory each time that it grows.
	maxWait = 2 * time.Second
	// At most reservedParts in allParts of the memory for long bodies are reserved, so that callers who send just enough not to stall don't
	// reserve all of it.
	reservedParts = 3
	allParts      = 4
	// A refused caller is asked to retry after refusedRetryAfter, plus retryStep for each other body that waits, so that not all retry at once.
	refusedRetryAfter = time.Second
	retryStep         = 25 * time.Millisecond
)

// Begin adds a new body, which holds no memory yet.
func (bu *Budget) Begin(now time.Time, bd *Body, spec BodySpec) {
	bd.spec, bd.isLong, bd.progressAt = spec, spec.Length > ShortBody, now
	bu.incomplete = append(bu.incomplete, bd)
}

// Grow asks for memory for a body that is being read, and reports whether the body has got it. Otherwise the body waits, and one of the
// actions of this or a later call grants or refuses it; a refused or yielded body gets nothing.
func (bu *Budget) Grow(now time.Time, bd *Body, size int64) (bool, []Action) {
	if bd.state != reading {
		return false, nil
	}
	bd.wanted, bd.waitingSince = size, now
	if len(bu.waiting) == 0 && bu.missing(bd, bu.reservationHolders(now)) <= 0 {
		bu.grant(now, bd)
		return true, nil
	}
	if len(bu.waiting) >= maxWaiting {
		return false, []Action{bu.refuse(bd, NoMemory)}
	}
	bu.enqueue(bd)
	actions := bu.decideWaiting(now)
	if bd.state != reading {
		return false, actions
	}
	return true, slices.DeleteFunc(actions, func(each Action) bool { return each == Action(GrantBody{Body: bd}) })
}

// Receive counts bytes that have arrived of a body.
func (bu *Budget) Receive(now time.Time, bd *Body, count int) {
	bd.received += int64(count)
	if bd.received-bd.counted >= progressBytes {
		bd.counted, bd.progressAt = bd.received, now
	}
}

// Complete records that a body was read to its end, and reports whether its request may run; its memory is then never taken from it.
func (bu *Budget) Complete(now time.Time, bd *Body) (bool, []Action) {
	if bd.state != reading {
		return false, nil
	}
	bd.state = complete
	bu.incomplete = remove(bu.incomplete, bd)
	return true, bu.decideWaiting(now)
}

// Release frees the memory of a body; a second call does nothing.
func (bu *Budget) Release(now time.Time, bd *Body) []Action {
	if bd.state == released {
		return nil
	}
	if bd.state == yielded || bd.state == refused {
		bu.stoppedBytes -= bd.taken
	}
	bd.state = released
	bu.incomplete = remove(bu.incomplete, bd)
	bu.dequeue(bd)
	bu.addTaken(bd, -bd.taken)
	return bu.decideWaiting(now)
}

func remove(list []*Body, bd *Body) []*Body {
	if at := slices.Index(list, bd); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// addTaken adds to the memory that a body holds; size may be negative.
func (bu *Budget) addTaken(bd *Body, size int64) {
	bd.taken += size
	if bd.isLong {
		bu.long += size
	} else {
		bu.short += size
	}
	name := bd.spec.Organisation
	bu.organisations[name] += size
	if bu.organisations[name] == 0 {
		delete(bu.organisations, name)
	}
}

// longCapacity returns the memory for long bodies.
func (bu *Budget) longCapacity() int64 {
	return max(bu.limits.BodyBytes-bu.limits.ShortBytes, minLongestBodies*bu.caller.BodyBytes)
}

// maxLength returns the stated length of a body, or the limit if it is unknown.
func (bd *Body) maxLength() int64 {
	if bd.spec.Length >= 0 {
		return bd.spec.Length
	}
	return bd.spec.Longest
}

// isStalled reports whether a body has made no progress for stallTime although it has memory to be read into.
func (bd *Body) isStalled(now time.Time) bool {
	return bd.state == reading && now.Sub(bd.progressAt) >= stallTime
}

// reservationHolders returns the bodies for which all memory is reserved that they may still take: the long ones that began first and have not
// stalled, as many as fit into three quarters of the memory, but at least one. Without reservations, bodies that each hold a part would wait
// for each other for ever. Bodies whose organisation exceeds its share while others wait get one only if there are no others.
func (bu *Budget) reservationHolders(now time.Time) []*Body {
	chosen, reserved, first := []*Body(nil), int64(0), (*Body)(nil)
	for _, bd := range bu.incomplete {
		if !bd.isLong && !bd.becomesLong() || bd.state == reading && bd.isStalled(now) {
			continue
		}
		if first == nil {
			first = bd
		}
		if bu.exceedsContestedShare(bd) {
			continue
		}
		reserved += bd.remaining()
		if len(chosen) > 0 && reserved > bu.longCapacity()*reservedParts/allParts {
			break
		}
		chosen = append(chosen, bd)
	}
	if len(chosen) == 0 && first != nil {
		chosen = append(chosen, first)
	}
	return chosen
}

// remaining returns how much more memory a body may take.
func (bd *Body) remaining() int64 {
	return max(bd.maxLength()-bd.taken, 0)
}

// becomesLong reports whether a body of unknown length takes the memory for long bodies once it gets what it waits for.
func (bd *Body) becomesLong() bool {
	return !bd.isLong && bd.wanted > 0 && bd.spec.Length < 0 && bd.taken+bd.wanted > FirstBytes
}

// missing returns how much memory must become free before a body can get what it waits for; it can get it now if that is not positive.
// A holder of a reservation leaves only the reservations before its own.
func (bu *Budget) missing(bd *Body, holders []*Body) int64 {
	long, short := bu.long, bu.short
	switch {
	case bd.becomesLong():
		long, short = long+bd.taken+bd.wanted, short-bd.taken
	case bd.isLong:
		long += bd.wanted
	case short+bd.wanted <= bu.limits.ShortBytes:
		return 0
	default:
		short += bd.wanted
	}
	reserved := int64(0)
	for _, holder := range holders {
		if holder == bd {
			break
		}
		reserved += holder.remaining()
	}
	return long + max(short-bu.limits.ShortBytes, 0) + reserved - bu.longCapacity()
}

// isOverShare reports whether an organisation would hold more than half of the memory for long bodies if it took more bytes.
func (bu *Budget) isOverShare(name string, more int64) bool {
	return bu.organisations[name]+more > bu.longCapacity()/2
}

// othersWait reports whether a body of another organisation waits.
func (bu *Budget) othersWait(name string) bool {
	return len(bu.waiting) > bu.waitingOf[name]
}

// enqueue appends a body to those that wait.
func (bu *Budget) enqueue(bd *Body) {
	bd.state = waiting
	bu.waiting = append(bu.waiting, bd)
	bu.waitingOf[bd.spec.Organisation]++
}

// dequeue removes a body from those that wait, if it is one of them.
func (bu *Budget) dequeue(bd *Body) {
	at := slices.Index(bu.waiting, bd)
	if at < 0 {
		return
	}
	bu.waiting = slices.Delete(bu.waiting, at, at+1)
	name := bd.spec.Organisation
	bu.waitingOf[name]--
	if bu.waitingOf[name] == 0 {
		delete(bu.waitingOf, name)
	}
}

// exceedsContestedShare reports whether another organisation waits while that of a body is over its share, or would be with what the body waits for.
func (bu *Budget) exceedsContestedShare(bd *Body) bool {
	more := int64(0)
	if bd.state == waiting {
		more = bd.wanted
	}
	return bu.othersWait(bd.spec.Organisation) && bu.isOverShare(bd.spec.Organisation, more)
}

// mustWaitForOthers reports whether a long body without a reservation gets nothing while others wait: its organisation exceeds its share, or the
// body holds nothing yet, since many bodies that each hold a small part would leave too little for each other.
func (bu *Budget) mustWaitForOthers(bd *Body, holders []*Body) bool {
	if slices.Contains(holders, bd) || !bd.isLong && !bd.becomesLong() {
		return false
	}
	return bu.exceedsContestedShare(bd) || bd.taken == 0 && len(bu.waiting) > 1
}

// decideWaiting refuses the bodies that have waited too long, grants memory to the others in their order, and takes memory from stalled
// bodies for those that still wait.
func (bu *Budget) decideWaiting(now time.Time) []Action {
	if len(bu.waiting) == 0 {
		return nil
	}
	actions := bu.refuseOverdue(now)
	actions = append(actions, bu.grantAll(now)...)
	return append(actions, bu.reclaim(now)...)
}

// grantAll grants memory to all waiting bodies that can get it. It repeats until none can: after a grant, the organisation of a body that was
// passed over may no longer exceed a share that others wait for.
func (bu *Budget) grantAll(now time.Time) []Action {
	actions := []Action(nil)
	for before := -1; before < len(actions); {
		before = len(actions)
		for _, bd := range slices.Clone(bu.waiting) {
			holders := bu.reservationHolders(now)
			if bu.missing(bd, holders) > 0 || bu.mustWaitForOthers(bd, holders) {
				continue
			}
			bu.dequeue(bd)
			bu.grant(now, bd)
			actions = append(actions, GrantBody{Body: bd})
		}
	}
	return actions
}

// grant gives a body the memory that it asked for.
func (bu *Budget) grant(now time.Time, bd *Body) {
	if bd.becomesLong() {
		held := bd.taken
		bu.addTaken(bd, -held)
		bd.isLong = true
		bu.addTaken(bd, held)
	}
	bu.addTaken(bd, bd.wanted)
	bd.wanted = 0
	if bd.state == waiting {
		bd.state, bd.progressAt = reading, now
	}
}

// refuseOverdue refuses the bodies that have waited for maxWait or up to their deadline.
func (bu *Budget) refuseOverdue(now time.Time) []Action {
	actions := []Action(nil)
	for _, bd := range slices.Clone(bu.waiting) {
		if now.Sub(bd.waitingSince) >= maxWait || !bd.spec.Deadline.IsZero() && !now.Before(bd.spec.Deadline) {
			actions = append(actions, bu.refuse(bd, NoMemory))
		}
	}
	return actions
}

func (bu *Budget) refuse(bd *Body, cause Cause) Action {
	retryAfter := refusedRetryAfter + time.Duration(len(bu.waiting)-1)*retryStep
	bu.stopReading(bd, refused)
	return RefuseBody{Body: bd, Cause: cause, RetryAfter: retryAfter}
}

// reclaim takes memory from other bodies for the short and the long one that have waited longest.
func (bu *Budget) reclaim(now time.Time) []Action {
	actions := []Action(nil)
	for _, isLong := range []bool{false, true} {
		holders := bu.reservationHolders(now)
		first := slices.IndexFunc(bu.waiting, func(bd *Body) bool {
			return (bd.isLong || bd.becomesLong()) == isLong && !bu.mustWaitForOthers(bd, holders)
		})
		if first >= 0 {
			actions = append(actions, bu.reclaimFor(now, bu.waiting[first])...)
		}
	}
	return actions
}

// reclaimFor takes memory for a waiting body from stalled ones, the one that has stalled longest first. If these hold too little, it refuses
// a waiting body whose organisation is over its share.
func (bu *Budget) reclaimFor(now time.Time, bd *Body) []Action {
	actions := []Action(nil)
	needsLong := bd.isLong || bd.becomesLong()
	for bu.missing(bd, bu.reservationHolders(now)) > bu.stoppedBytes {
		stalled := bu.stalledLongest(now, func(other *Body) bool {
			return !needsLong || other.isLong || bu.short > bu.limits.ShortBytes
		})
		if stalled == nil {
			return append(actions, bu.reclaimShare(bd)...)
		}
		actions = append(actions, bu.yield(stalled))
	}
	return actions
}

// reclaimShare refuses the waiting body that came last of those that hold memory and whose organisation is over its share, unless that of bd is too.
func (bu *Budget) reclaimShare(bd *Body) []Action {
	if bu.isOverShare(bd.spec.Organisation, bd.wanted) {
		return nil
	}
	for _, other := range slices.Backward(bu.waiting) {
		name := other.spec.Organisation
		if name != bd.spec.Organisation && other.taken > 0 && bu.isOverShare(name, 0) {
			return []Action{bu.refuse(other, OverShare)}
		}
	}
	return nil
}

// stalledLongest returns the body that has made no progress for longest among those that are eligible, or nil.
func (bu *Budget) stalledLongest(now time.Time, isEligible func(bd *Body) bool) *Body {
	longest := (*Body)(nil)
	for _, bd := range bu.incomplete {
		if bd.isStalled(now) && isEligible(bd) && (longest == nil || bd.progressAt.Before(longest.progressAt)) {
			longest = bd
		}
	}
	return longest
}

func (bu *Budget) yield(bd *Body) Action {
	bu.stopReading(bd, yielded)
	return YieldBody{Body: bd, Cause: Stalled}
}

// stopReading records that a body is no longer read; its memory becomes free once it is released.
func (bu *Budget) stopReading(bd *Body, state bodyState) {
	bd.state = state
	bu.stoppedBytes += bd.taken
	bu.incomplete = remove(bu.incomplete, bd)
	bu.dequeue(bd)
}
