package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Liveness is what a member is believed to be; a higher value wins at the same incarnation.
type Liveness int

// The states of a member.
const (
	Alive Liveness = iota
	Suspect
	Dead
	Left
)

// Member is one entry instance.
type Member struct {
	ID            string
	Address       string
	FailureDomain string
	Incarnation   uint64
	Liveness      Liveness
	// MilliCores is what the member's machine gives it, in thousandths of a processor, or 0 if that is not known.
	MilliCores int64
}

// Config sets how members are watched; it has no defaults.
type Config struct {
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	Partners     int
}

// View is the view; it is not safe for concurrent use.
type View struct {
	config   Config
	self     Member
	random   *rand.Rand
	records  map[string]*record
	watched  map[string]time.Time
	partners []string
	stale    bool
	ticked   time.Time
	digest   uint64
}

// record is what is known of one other member; sends is how often its state is still to be passed on.
type record struct {
	member Member
	since  time.Time
	sends  int
}

// Change is a member whose state is now different.
type Change struct {
	Member   Member
	Previous Liveness
	Added    bool
}

// New returns a view that holds only the instance itself. The incarnation must be higher than any that an
// earlier process of the same id used; the time of the start serves.
func New(self Member, config Config, random *rand.Rand, now time.Time) *View {
	self.Liveness = Alive
	return &View{
		config: config, self: self, random: random, ticked: now,
		records: map[string]*record{}, watched: map[string]time.Time{}, stale: true,
	}
}

// Self returns the instance itself, with its current incarnation.
func (tb *View) Self() Member {
	return tb.self
}

// Leave marks the instance itself as gone on purpose.
func (tb *View) Leave() {
	tb.self.Liveness = Left
}

// newer reports whether a state overrides another of the same member.
func newer(fresh, known Member) bool {
	if fresh.Incarnation != known.Incarnation {
		return fresh.Incarnation > known.Incarnation
	}
	return fresh.Liveness > known.Liveness
}

// Merge takes over states that are newer than the known ones and returns what changed.
func (tb *View) Merge(now time.Time, list []Member) []Change {
	changes := []Change{}
	for _, fresh := range list {
		if fresh.ID == tb.self.ID {
			tb.refute(fresh)
			continue
		}
		known, found := tb.records[fresh.ID]
		switch {
		case !found:
			tb.set(now, fresh)
			changes = append(changes, Change{Member: fresh, Added: true})
		case newer(fresh, known.member):
			was := known.member.Liveness
			tb.set(now, fresh)
			changes = append(changes, Change{Member: fresh, Previous: was})
		}
	}
	return changes
}

// refute answers a claim that this instance is gone by a higher incarnation.
func (tb *View) refute(claimed Member) {
	if tb.self.Liveness == Left || claimed.Incarnation < tb.self.Incarnation {
		return
	}
	if claimed.Liveness != Alive || claimed.Incarnation > tb.self.Incarnation {
		tb.self.Incarnation = claimed.Incarnation + 1
	}
}

// set replaces a member's state and starts passing it on.
func (tb *View) set(now time.Time, fresh Member) {
	known, found := tb.records[fresh.ID]
	if found {
		tb.digest ^= hashOf(known.member)
	}
	tb.digest ^= hashOf(fresh)
	tb.records[fresh.ID] = &record{member: fresh, since: now, sends: tb.sendBudget()}
	tb.stale = true
}

// hashOf is a member's part of the digest; members that are gone have none, since views drop them at
// different times.
func hashOf(mb Member) uint64 {
	if mb.Liveness >= Dead {
		return 0
	}
	var number [8]byte
	for at := range number {
		number[at] = byte(mb.Incarnation >> (8 * at))
	}
	return xxhash.Sum64String(mb.ID + "\x00" + mb.Address + "\x00" + string(number[:]))
}

// Digest is equal in two views that hold the same live members, the own one included.
func (tb *View) Digest() uint64 {
	return tb.digest ^ hashOf(tb.self)
}

// sendBudget is how often a change is passed on: a little over the logarithm of the number of members.
func (tb *View) sendBudget() int {
	budget := 4
	for size := len(tb.records); size > 1; size /= 2 {
		budget++
	}
	return budget
}

// TakeUpdates returns the states to pass on with the next message, at most limit, least sent first.
func (tb *View) TakeUpdates(limit int) []Member {
	due := []*record{}
	for _, rc := range tb.records {
		if rc.sends > 0 {
			due = append(due, rc)
		}
	}
	sort.Slice(due, func(left, right int) bool {
		if due[left].sends == due[right].sends {
			return due[left].member.ID < due[right].member.ID
		}
		return due[left].sends > due[right].sends
	})
	list := []Member{}
	for _, rc := range due[:min(len(due), limit)] {
		rc.sends--
		list = append(list, rc.member)
	}
	return list
}

// All returns every known state, the own one included, for a full exchange.
func (tb *View) All() []Member {
	list := []Member{tb.self}
	for _, rc := range tb.records {
		list = append(list, rc.member)
	}
	sort.Slice(list, func(left, right int) bool { return list[left].ID < list[right].ID })
	return list
}

// Live returns the members that are not known to be gone, the own one included.
func (tb *View) Live() []Member {
	list := []Member{}
	for _, mb := range tb.All() {
		if mb.Liveness <= Suspect {
			list = append(list, mb)
		}
	}
	return list
}

// StateToRefute returns a member's state if there is something that its owner should hear about it.
func (tb *View) StateToRefute(id string) (Member, bool) {
	rc, found := tb.records[id]
	if !found || rc.member.Liveness == Alive {
		return Member{}, false
	}
	return rc.member, true
}
