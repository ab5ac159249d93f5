package storereader

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/member"
)

// Rotation passes the reading of the store round the live instances, in the order of a hash of their IDs. The instance after the
// one whose turn ended last reads the tables next and waits for changes for a turn; the one after it does the same, so that one may be
// lost. When a confirmation is overdue, the following instances read at once, one after the other, and soon all of them. It is safe
// for concurrent use.
type Rotation struct {
	self  uint64
	bound time.Duration

	mu sync.Mutex
	// confirmed is when each table was last known to be up to date, by this instance or another one.
	confirmed map[string]time.Time
	ended     Ended
	// begun is the turn that had ended last when this instance began or ended its own for a table, and failedAt is when its last call failed.
	begun    map[string]Ended
	failedAt map[string]time.Time
	live     []member.Member
	places   []uint64
}

// Ended is the turn that ended last: its number, the place of its instance, and how many turns have failed since the last confirmation.
type Ended struct {
	Number   int64
	Reader   uint64
	Failures int32
}

// isBefore reports whether another turn counts instead; of two turns side by side only one does.
func (en Ended) isBefore(other Ended) bool {
	return cmp.Or(cmp.Compare(en.Number, other.Number), cmp.Compare(en.Reader, other.Reader)) < 0
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
	// maxFailures is how many turns are passed on at once although they failed; a store that fails for all of them is left alone for
	// a while.
	maxFailures = 3
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
		self: place(self), bound: bound, confirmed: map[string]time.Time{}, begun: map[string]Ended{}, failedAt: map[string]time.Time{},
	}
	for _, table := range tables {
		rt.confirmed[table], rt.begun[table] = time.Time{}, noTurn
	}
	return rt
}

// noTurn is before all turns.
var noTurn = Ended{Number: -1}

// place returns the place of an instance in the order; it is never 0.
func place(instance string) uint64 {
	return max(1, xxhash.Sum64String(instance))
}

// Ended returns the turn that ended last, as far as this instance knows.
func (rt *Rotation) Ended() Ended {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.ended
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
	case rank > 1 || rt.begun[table] == rt.ended || rt.ended.Failures > maxFailures:
	case rt.ended.Failures > 0:
		return Turn{}
	case rank == 1:
		// It stands by, and goes over into its own turn without another call: if the one before ends without a word, no change is missed.
		return Turn{Wait: 2 * rt.turn()}
	default:
		return Turn{Wait: rt.turn()}
	}
	return Turn{Delay: overdueAfter - staleness}
}

// rank returns how many instances come between the one whose turn ended last and this one. The caller holds the lock.
func (rt *Rotation) rank(live []member.Member) int {
	if len(rt.live) != len(live) || len(live) > 0 && &rt.live[0] != &live[0] {
		rt.live, rt.places = live, rt.places[:0]
		for _, mb := range live {
			rt.places = append(rt.places, place(mb.ID))
		}
		slices.Sort(rt.places)
	}
	return rt.knownRank()
}

// knownRank is the rank among the instances that were live when it was last asked for. The caller holds the lock.
func (rt *Rotation) knownRank() int {
	if len(rt.places) == 0 {
		return 0
	}
	own, _ := slices.BinarySearch(rt.places, rt.self)
	first, isLive := slices.BinarySearch(rt.places, rt.ended.Reader)
	if isLive {
		first++
	}
	return (own - first + len(rt.places)) % len(rt.places)
}

// Begin records that this instance begins to read a table.
func (rt *Rotation) Begin(table string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.begun[table] = rt.ended
}

// Fail records that this instance could not read a table. It reports whether that ends its turn, so that the next one begins.
func (rt *Rotation) Fail(now time.Time, table string) (isNextTurn bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.failedAt[table] = now
	isNextTurn = rt.begun[table] == rt.ended && rt.ended.Failures <= maxFailures
	if isNextTurn {
		rt.ended = Ended{Number: rt.ended.Number + 1, Reader: rt.self, Failures: rt.ended.Failures + 1}
	}
	rt.begun[table] = noTurn
	return isNextTurn
}

// Confirm records that this instance has found a table up to date at a time. It reports whether that is news for other instances, and
// whether it ends a turn, so that the next one begins.
func (rt *Rotation) Confirm(table string, at time.Time) (isNews, isNextTurn bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	before := rt.oldest()
	isNews = rt.confirm(table, at)
	// An instance that stood by ends its own turn, also if the one before has not ended its.
	isNextTurn = rt.oldest().After(before) && (rt.begun[table] == rt.ended || rt.knownRank() <= 1)
	rt.begun[table] = rt.ended
	if isNextTurn {
		rt.ended = Ended{Number: rt.ended.Number + 1, Reader: rt.self}
	}
	return isNews, isNextTurn
}

// Learn records that a table was up to date at a time, as another instance has found. It reports whether that is news for other instances.
func (rt *Rotation) Learn(table string, at time.Time) (isNews bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.confirm(table, at)
}

// confirm records when a table was up to date and reports whether other instances should learn of it now. The caller holds the lock.
func (rt *Rotation) confirm(table string, at time.Time) bool {
	gain := at.Sub(rt.confirmed[table])
	if gain > 0 {
		rt.confirmed[table] = at
	}
	return gain >= rt.turn()/2
}

// LearnEnded records a turn that ended elsewhere. It reports whether that is the last one, so that the next one begins.
func (rt *Rotation) LearnEnded(other Ended) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if !rt.ended.isBefore(other) {
		return false
	}
	rt.ended = other
	return true
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
