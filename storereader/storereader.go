package storereader

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/member"
)

// Rotation passes the reading of the store round the live instances, in the order of a hash of their IDs. The instance after the
// one that last confirmed the tables reads them next and waits for changes for a turn. When a confirmation is overdue, the following
// instances read at once, one after the other, and soon all of them. It is safe for concurrent use.
type Rotation struct {
	self  uint64
	bound time.Duration

	mu sync.Mutex
	// confirmed is when each table was last known to be up to date, by this instance or another one.
	confirmed map[string]time.Time
	// reader is the place of the instance that last confirmed all tables, or 0 before the first time. round counts how often that
	// has changed.
	reader uint64
	round  int64
	// begun is the round in which this instance last began a turn for a table, and failedAt is when its last call failed.
	begun    map[string]int64
	failedAt map[string]time.Time
	live     []member.Member
	places   []uint64
}

// Turn is when an instance reads a table next, and how long that call may wait for a change. Overdue is set if the turn of another
// instance has brought no confirmation.
type Turn struct {
	Delay   time.Duration
	Wait    time.Duration
	Overdue bool
}

const (
	// DefaultBound is the time within which changes must be known, unless the platform states another one.
	DefaultBound = 2 * time.Second
	// maxTurn bounds a turn.
	maxTurn = time.Second
	// nearRanks is the number of instances that keep trying to reach a store that fails; the others pause for retryPause.
	nearRanks  = 6
	retryPause = 2 * time.Second
)

// New returns a rotation in which all tables are unconfirmed. bound is the time after its acknowledgement within which a change must be
// known to all instances, or 0 for DefaultBound.
func New(self string, bound time.Duration, tables ...string) *Rotation {
	if bound <= 0 {
		bound = DefaultBound
	}
	rt := &Rotation{
		self: place(self), bound: bound, confirmed: map[string]time.Time{}, begun: map[string]int64{}, failedAt: map[string]time.Time{},
	}
	for _, table := range tables {
		rt.confirmed[table], rt.begun[table] = time.Time{}, -1
	}
	return rt
}

// place returns the place of an instance in the order; it is never 0.
func place(instance string) uint64 {
	return max(1, xxhash.Sum64String(instance))
}

// Self returns the place of this instance.
func (rt *Rotation) Self() uint64 {
	return rt.self
}

// Reader returns the place of the instance that last confirmed all tables, or 0 if that is unknown.
func (rt *Rotation) Reader() uint64 {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.reader
}

// turn returns how long an instance waits for changes in its turn.
func (rt *Rotation) turn() time.Duration {
	return min(rt.bound*2/5, maxTurn)
}

// overdueAfter returns the staleness at which the instance with a rank reads, although it is the turn of one before it.
func (rt *Rotation) overdueAfter(rank, instances int) time.Duration {
	if rank < 3 {
		return rt.turn() + rt.bound*time.Duration(2+rank)/20
	}
	return rt.turn() + rt.bound/4 + rt.bound*time.Duration(rank)/time.Duration(20*instances)
}

// Next returns when this instance reads a table next, as far as is known now.
func (rt *Rotation) Next(now time.Time, table string, staleness time.Duration, live []member.Member) Turn {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rank := rt.rank(live)
	if pause := retryPause - now.Sub(rt.failedAt[table]); rank >= nearRanks && pause > 0 {
		return Turn{Delay: pause}
	}
	overdueAfter := rt.overdueAfter(rank, len(live))
	switch {
	case staleness >= overdueAfter:
		return Turn{Overdue: rank > 0}
	case rank == 0 && rt.begun[table] != rt.round:
		return Turn{Wait: rt.turn()}
	}
	return Turn{Delay: overdueAfter - staleness}
}

// rank returns how many instances come between the last reader and this one. The caller holds the lock.
func (rt *Rotation) rank(live []member.Member) int {
	if len(live) == 0 {
		return 0
	}
	if len(rt.live) != len(live) || &rt.live[0] != &live[0] {
		rt.live, rt.places = live, rt.places[:0]
		for _, mb := range live {
			rt.places = append(rt.places, place(mb.ID))
		}
		slices.Sort(rt.places)
	}
	own, _ := slices.BinarySearch(rt.places, rt.self)
	first, isLive := slices.BinarySearch(rt.places, rt.reader)
	if isLive {
		first++
	}
	return (own - first + len(live)) % len(live)
}

// Begin records that this instance begins to read a table.
func (rt *Rotation) Begin(table string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.begun[table] = rt.round
}

// Fail records that this instance could not read a table.
func (rt *Rotation) Fail(now time.Time, table string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.begun[table], rt.failedAt[table] = -1, now
}

// Confirm records that a table was up to date at a time, as an instance with a place, or 0 if it is unknown, has found. It reports
// whether other instances should learn of it now, and whether the next turn begins.
func (rt *Rotation) Confirm(table string, at time.Time, reader uint64) (isNews, isNextTurn bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	gain, before := at.Sub(rt.confirmed[table]), rt.oldest()
	if gain <= 0 {
		return false, false
	}
	rt.confirmed[table] = at
	isNextTurn = rt.oldest().After(before) && rt.passesOn(table, reader)
	if isNextTurn {
		rt.reader = reader
		rt.round++
	}
	return gain >= rt.turn()/2, isNextTurn
}

// passesOn reports whether a confirmation begins the next round: it is one of this instance in the round in which its turn began, or
// of another instance that has not begun the present one. Of several rounds that run side by side, all but the last thus end. The caller
// holds the lock.
func (rt *Rotation) passesOn(table string, reader uint64) bool {
	if reader == rt.self {
		return rt.begun[table] == rt.round
	}
	return reader != 0 && reader != rt.reader
}

// oldest returns when all tables were last known to be up to date. The caller holds the lock.
func (rt *Rotation) oldest() time.Time {
	oldest := time.Time{}
	first := true
	for _, at := range rt.confirmed {
		if first || at.Before(oldest) {
			oldest, first = at, false
		}
	}
	return oldest
}
