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
	// reading: it has the memory that it asked for; waiting: it waits for memory; refused, yielded: its request must not run;
	// complete: it was read to its end; released: it holds nothing.
	reading bodyState = iota
	waiting
	refused
	yielded
	complete
	released
)

// Body is the memory of one request's body.
type Body struct {
	spec  BodySpec
	state bodyState
	// isLong is set if it takes the memory for long bodies.
	isLong bool
	taken  int64
	// wanted is the memory that it waits for, since waitingSince.
	wanted       int64
	waitingSince time.Time
	// received counts its bytes; counted is what of them had been received at progressAt, when it last made progress.
	received, counted int64
	progressAt        time.Time
}

const (
	// stallTime is how long a body may make no progress while others need its memory; progress is progressBytes: a caller that sends
	// single bytes would keep its place otherwise.
	stallTime     = time.Second
	progressBytes = 4 << 10
	// maxWait is how long a body waits for memory.
	maxWait = 2 * time.Second
	// The leaders reserve at most 3 in 4 parts of the memory, so that callers who send just enough not to stall don't reserve all of it.
	leaderParts = 3
	allParts    = 4
	// refusedRetryAfter is the delay after which a caller is asked to retry, and retryStep how much later each further one that waits is.
	refusedRetryAfter = time.Second
	retryStep         = 25 * time.Millisecond
)

// Begin counts a new body, which takes nothing yet.
func (bu *Budget) Begin(now time.Time, bd *Body, spec BodySpec) {
	bd.spec, bd.isLong, bd.progressAt = spec, spec.Length > ShortBody, now
	bu.incomplete = append(bu.incomplete, bd)
}

// Grow asks for memory for a body that is being read, and reports whether it may use it now. Otherwise it waits, and a later action
// grants or refuses it; a refused or yielded body gets nothing.
func (bu *Budget) Grow(now time.Time, bd *Body, size int64) (bool, []Action) {
	if bd.state != reading {
		return false, nil
	}
	bd.wanted, bd.waitingSince = size, now
	if len(bu.waiting) == 0 && bu.missing(bd, bu.leaders(now)) <= 0 {
		bu.grant(now, bd)
		return true, nil
	}
	bu.enqueue(bd)
	actions := bu.settle(now)
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

// Complete tells that a body was read to its end, and reports whether its request may run: its memory is then never taken from it.
func (bu *Budget) Complete(now time.Time, bd *Body) (bool, []Action) {
	if bd.state != reading {
		return false, nil
	}
	bd.state = complete
	bu.incomplete = remove(bu.incomplete, bd)
	return true, bu.settle(now)
}

// Release gives back the memory of a body; a second call does nothing.
func (bu *Budget) Release(now time.Time, bd *Body) []Action {
	if bd.state == released {
		return nil
	}
	if bd.state == yielded || bd.state == refused {
		bu.leaving -= bd.taken
	}
	bd.state = released
	bu.incomplete = remove(bu.incomplete, bd)
	bu.dequeue(bd)
	bu.take(bd, -bd.taken)
	return bu.settle(now)
}

func remove(list []*Body, bd *Body) []*Body {
	if at := slices.Index(list, bd); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// take changes the memory of a body.
func (bu *Budget) take(bd *Body, size int64) {
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
	return max(bu.limits.BodyBytes-bu.limits.ShortBytes, longestBodies*bu.caller.BodyBytes)
}

// longest returns how much memory a body may take.
func (bd *Body) longest() int64 {
	if bd.spec.Length >= 0 {
		return bd.spec.Length
	}
	return bd.spec.Longest
}

// isStalled reports whether a body makes no progress though it has memory to be read into.
func (bd *Body) isStalled(now time.Time) bool {
	return bd.state == reading && now.Sub(bd.progressAt) >= stallTime
}

// leaders returns the long bodies that began first and make progress, as many as may still take three quarters of the memory, but at least
// one. If possible their organisations need not make way. All others leave what they may still take, so that bodies that each hold a part don't wait for each other.
func (bu *Budget) leaders(now time.Time) []*Body {
	chosen, reserved, first := []*Body(nil), int64(0), (*Body)(nil)
	for _, bd := range bu.incomplete {
		if !bd.isLong && !bd.becomesLong() || bd.state == reading && bd.isStalled(now) {
			continue
		}
		if first == nil {
			first = bd
		}
		if bu.holdsTooMuch(bd) {
			continue
		}
		reserved += bd.remaining()
		if len(chosen) > 0 && reserved > bu.longCapacity()*leaderParts/allParts {
			break
		}
		chosen = append(chosen, bd)
	}
	if len(chosen) == 0 && first != nil {
		chosen = append(chosen, first)
	}
	return chosen
}

// remaining returns how much memory a body may still take.
func (bd *Body) remaining() int64 {
	return max(bd.longest()-bd.taken, 0)
}

// becomesLong reports whether a body of unknown length takes the memory for long bodies once it gets what it waits for.
func (bd *Body) becomesLong() bool {
	return !bd.isLong && bd.wanted > 0 && bd.spec.Length < 0 && bd.taken+bd.wanted > FirstBytes
}

// missing returns how much memory must become free before a body gets what it waits for; it has it if that is not positive.
func (bu *Budget) missing(bd *Body, leaders []*Body) int64 {
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
	for _, leader := range leaders {
		if leader == bd {
			break
		}
		reserved += leader.remaining()
	}
	return long + max(short-bu.limits.ShortBytes, 0) + reserved - bu.longCapacity()
}

// isOverShare reports whether an organisation would hold more than half of the memory for long bodies with more bytes.
func (bu *Budget) isOverShare(name string, more int64) bool {
	return bu.organisations[name]+more > bu.longCapacity()/2
}

// othersWait reports whether a body of another organisation waits.
func (bu *Budget) othersWait(name string) bool {
	return len(bu.waiting) > bu.waitingOf[name]
}

// enqueue makes a body wait.
func (bu *Budget) enqueue(bd *Body) {
	bd.state = waiting
	bu.waiting = append(bu.waiting, bd)
	bu.waitingOf[bd.spec.Organisation]++
}

// dequeue ends the wait of a body, if it waits.
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

// holdsTooMuch reports whether the organisation of a long body holds too much to take more while others wait.
func (bu *Budget) holdsTooMuch(bd *Body) bool {
	more := int64(0)
	if bd.state == waiting {
		more = bd.wanted
	}
	return bu.othersWait(bd.spec.Organisation) && bu.isOverShare(bd.spec.Organisation, more)
}

// mustMakeWay reports whether a body that does not lead gets nothing while others wait: its organisation holds too much, or nothing of it was read,
// as many bodies that each hold a small part would leave too little for each other.
func (bu *Budget) mustMakeWay(bd *Body, leaders []*Body) bool {
	if slices.Contains(leaders, bd) || !bd.isLong && !bd.becomesLong() {
		return false
	}
	return bu.holdsTooMuch(bd) || bd.taken == 0 && len(bu.waiting) > 1
}

// settle grants memory to the bodies that wait, in their order, refuses those that have waited too long, and takes memory from bodies that
// stall while others wait.
func (bu *Budget) settle(now time.Time) []Action {
	if len(bu.waiting) == 0 {
		return nil
	}
	actions := bu.refuseOverdue(now)
	actions = append(actions, bu.grantAll(now)...)
	return append(actions, bu.reclaim(now)...)
}

// grantAll grants memory to all bodies that can get it. A grant may let another one pass, whose organisation had to make way.
func (bu *Budget) grantAll(now time.Time) []Action {
	actions := []Action(nil)
	for before := -1; before < len(actions); {
		before = len(actions)
		for _, bd := range slices.Clone(bu.waiting) {
			leaders := bu.leaders(now)
			if bu.missing(bd, leaders) > 0 || bu.mustMakeWay(bd, leaders) {
				continue
			}
			bu.dequeue(bd)
			bu.grant(now, bd)
			actions = append(actions, GrantBody{Body: bd})
		}
	}
	return actions
}

// grant gives a body what it asked for.
func (bu *Budget) grant(now time.Time, bd *Body) {
	if bd.becomesLong() {
		held := bd.taken
		bu.take(bd, -held)
		bd.isLong = true
		bu.take(bd, held)
	}
	bu.take(bd, bd.wanted)
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
	bu.leave(bd, refused)
	return RefuseBody{Body: bd, Cause: cause, RetryAfter: retryAfter}
}

// reclaim takes memory from others for the long and the short body that have waited longest.
func (bu *Budget) reclaim(now time.Time) []Action {
	actions := []Action(nil)
	for _, isLong := range []bool{false, true} {
		leaders := bu.leaders(now)
		first := slices.IndexFunc(bu.waiting, func(bd *Body) bool {
			return (bd.isLong || bd.becomesLong()) == isLong && !bu.mustMakeWay(bd, leaders)
		})
		if first >= 0 {
			actions = append(actions, bu.reclaimFor(now, bu.waiting[first])...)
		}
	}
	return actions
}

// reclaimFor takes memory for a body that waits from the bodies that stall, the one that has stalled longest first, and else from a body that
// waits itself and whose organisation holds too much.
func (bu *Budget) reclaimFor(now time.Time, bd *Body) []Action {
	actions := []Action(nil)
	needsLong := bd.isLong || bd.becomesLong()
	for bu.missing(bd, bu.leaders(now)) > bu.leaving {
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

// reclaimShare refuses the newest waiting body of another organisation that holds more than its share, if the organisation of bd does not.
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
	bu.leave(bd, yielded)
	return YieldBody{Body: bd, Cause: Stalled}
}

// leave ends the reading of a body, whose memory is free once it is released.
func (bu *Budget) leave(bd *Body, state bodyState) {
	bd.state = state
	bu.leaving += bd.taken
	bu.incomplete = remove(bu.incomplete, bd)
	bu.dequeue(bd)
}
