package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Liveness is the presumed state of a member; at the same incarnation the higher value overrides the lower one.
type Liveness int

// The states of a member: Dead members failed, Left members stopped on purpose.
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
	// MilliCores is the processor time available to the member, in thousandths of a core, or 0 if it is not known.
	MilliCores int64
}

// Config configures the failure detector; it has no defaults. SuspectAfter is the silence after which a partner is
// suspected, DeadAfter the time after which a suspected member is declared dead, and Partners the number of members
// that receive this instance's heartbeats.
type Config struct {
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	Partners     int
}

// View is one instance's view of the membership; it is not safe for concurrent use.
type View struct {
	config Config
	self   Member
	random *rand.Rand
	// records holds the other members by ID, lastHeard the time of the last message from each monitored one.
	records map[string]*record
	// due holds the records that messages still carry.
	due map[string]*record
	// all and live are the sorted lists of members, or nil after a change.
	all, live []Member
	lastHeard map[string]time.Time
	// partners are the IDs of the members to which this instance sends heartbeats. partnersStale is set when a member was
	// added or changed, so that they are computed again before the next use.
	partners      []string
	partnersStale bool
	// lastTick is the time of the last call of Tick; a long gap since then shows that this process was paused.
	lastTick time.Time
	// digest is the hash of the live members without this instance.
	digest uint64
}

// record is the state of one other member; transmitsLeft is the number of messages that still carry it.
type record struct {
	member        Member
	since         time.Time
	transmitsLeft int
}

// Change is a change of a member's state. Previous is the liveness before the change. It has no meaning if Added is set,
// which marks a member that was not known before.
type Change struct {
	Member   Member
	Previous Liveness
	Added    bool
}

// New returns a view that holds only the instance itself. The incarnation must be higher than that of any earlier
// process with the same id, such as the time of the start.
func New(self Member, config Config, random *rand.Rand, now time.Time) *View {
	self.Liveness = Alive
	return &View{
		config: config, self: self, random: random, lastTick: now,
		records: map[string]*record{}, due: map[string]*record{}, lastHeard: map[string]time.Time{}, partnersStale: true,
	}
}

// Self returns the state of this instance.
func (vw *View) Self() Member {
	return vw.self
}

// Leave marks this instance as left.
func (vw *View) Leave() {
	vw.self.Liveness = Left
	vw.invalidate()
}

// overrides reports whether one state of a member overrides another.
func overrides(fresh, known Member) bool {
	if fresh.Incarnation != known.Incarnation {
		return fresh.Incarnation > known.Incarnation
	}
	return fresh.Liveness > known.Liveness
}

// Merge applies the states that override the known ones and returns the changes.
func (vw *View) Merge(now time.Time, list []Member) []Change {
	changes := []Change{}
	for _, fresh := range list {
		if fresh.ID == vw.self.ID {
			vw.refute(fresh)
			continue
		}
		known, found := vw.records[fresh.ID]
		switch {
		case !found:
			vw.setState(now, fresh)
			changes = append(changes, Change{Member: fresh, Added: true})
		case overrides(fresh, known.member):
			was := known.member.Liveness
			vw.setState(now, fresh)
			changes = append(changes, Change{Member: fresh, Previous: was})
		}
	}
	return changes
}

// refute raises the incarnation of this instance if the received state says that it isn't alive.
func (vw *View) refute(claimed Member) {
	if vw.self.Liveness == Left || claimed.Incarnation < vw.self.Incarnation {
		return
	}
	if claimed.Liveness != Alive || claimed.Incarnation > vw.self.Incarnation {
		vw.self.Incarnation = claimed.Incarnation + 1
		vw.invalidate()
	}
}

// setState replaces a member's state and schedules it for the next messages.
func (vw *View) setState(now time.Time, fresh Member) {
	known, found := vw.records[fresh.ID]
	if found {
		vw.digest ^= memberHash(known.member)
	}
	vw.digest ^= memberHash(fresh)
	vw.records[fresh.ID] = &record{member: fresh, since: now, transmitsLeft: vw.transmitLimit()}
	vw.due[fresh.ID] = vw.records[fresh.ID]
	vw.invalidate()
	vw.partnersStale = true
}

// memberHash returns a member's part of the digest. It is 0 for dead and left members, which views forget at different
// times.
func memberHash(mb Member) uint64 {
	if mb.Liveness >= Dead {
		return 0
	}
	var number [8]byte
	for at := range number {
		number[at] = byte(mb.Incarnation >> (8 * at))
	}
	return xxhash.Sum64String(mb.ID + "\x00" + mb.Address + "\x00" + string(number[:]))
}

// Digest returns a hash of the live members, including this instance; it is equal in views with the same live members.
func (vw *View) Digest() uint64 {
	return vw.digest ^ memberHash(vw.self)
}

// transmitLimit returns the number of messages that carry a change: the logarithm of the number of members, plus a
// margin.
func (vw *View) transmitLimit() int {
	budget := 4
	for size := len(vw.records); size > 1; size /= 2 {
		budget++
	}
	return budget
}

// TakeUpdates returns at most limit states for the next message, those with the most transmissions left first.
func (vw *View) TakeUpdates(limit int) []Member {
	if len(vw.due) == 0 {
		return nil
	}
	due := slices.Collect(maps.Values(vw.due))
	slices.SortFunc(due, func(left, right *record) int {
		return cmp.Or(cmp.Compare(right.transmitsLeft, left.transmitsLeft), cmp.Compare(left.member.ID, right.member.ID))
	})
	list := []Member{}
	for _, rc := range due[:min(len(due), limit)] {
		rc.transmitsLeft--
		if rc.transmitsLeft == 0 {
			delete(vw.due, rc.member.ID)
		}
		list = append(list, rc.member)
	}
	return list
}

// All returns the states of all members, including this instance, for a full exchange. The list must not be changed; it is the
// same one until a state changes.
func (vw *View) All() []Member {
	vw.sort()
	return vw.all
}

// Live returns the members that are neither dead nor left, including this instance. The list must not be changed; it is the same one
// until a state changes.
func (vw *View) Live() []Member {
	vw.sort()
	return vw.live
}

// sort makes the lists of members anew after a change.
func (vw *View) sort() {
	if vw.all != nil {
		return
	}
	vw.all = make([]Member, 0, len(vw.records)+1)
	vw.all = append(vw.all, vw.self)
	for _, rc := range vw.records {
		vw.all = append(vw.all, rc.member)
	}
	slices.SortFunc(vw.all, func(left, right Member) int { return cmp.Compare(left.ID, right.ID) })
	vw.live = make([]Member, 0, len(vw.all))
	for _, mb := range vw.all {
		if mb.Liveness <= Suspect {
			vw.live = append(vw.live, mb)
		}
	}
}

// invalidate drops the lists of members after a change.
func (vw *View) invalidate() {
	vw.all, vw.live = nil, nil
}

// StateToRefute returns the state of a member that is not Alive; sent to the member itself, it lets the member refute it.
func (vw *View) StateToRefute(id string) (Member, bool) {
	rc, found := vw.records[id]
	if !found || rc.member.Liveness == Alive {
		return Member{}, false
	}
	return rc.member, true
}
