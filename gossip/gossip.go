package gossip

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/quarantine"
)

// LeavingUpstream marks an upstream as leaving: this incarnation and all earlier ones receive no new work.
type LeavingUpstream struct {
	Upstream    string
	Incarnation int64
}

// State holds the items that one instance knows; it is not safe for concurrent use.
type State struct {
	leaving map[string]*leavingItem
	crashes map[string]*crashItem
	digest  uint64

	partCrashes   partQueue[poison.Crash]
	partSuccesses partQueue[poison.Success]
}

// leavingItem is a leaving upstream; transmitsLeft is the number of further messages that will carry it.
type leavingItem struct {
	leaving       LeavingUpstream
	transmitsLeft int
}

// crashItem is the crash of an upstream; transmitsLeft is the number of further messages that will carry it.
type crashItem struct {
	crash         quarantine.Crash
	transmitsLeft int
}

// transmitLimit is the number of messages that carry an item; instances that miss them receive it in a full exchange.
const transmitLimit = 16

// New returns a state without items.
func New() *State {
	return &State{leaving: map[string]*leavingItem{}, crashes: map[string]*crashItem{}}
}

// AddLeaving adds a leaving upstream; it returns false if that incarnation or a later one was known.
func (st *State) AddLeaving(item LeavingUpstream) bool {
	known, found := st.leaving[item.Upstream]
	if found && known.leaving.Incarnation >= item.Incarnation {
		return false
	}
	if found {
		st.digest ^= hashLeaving(known.leaving)
	}
	st.digest ^= hashLeaving(item)
	st.leaving[item.Upstream] = &leavingItem{leaving: item, transmitsLeft: transmitLimit}
	return true
}

// AddCrash adds a crash; it returns false if the crash was known or has expired.
func (st *State) AddCrash(now time.Time, crash quarantine.Crash) bool {
	if _, found := st.crashes[crash.ID]; found || now.Sub(crash.At) > quarantine.CrashTTL {
		return false
	}
	st.digest ^= xxhash.Sum64String(crash.ID)
	st.crashes[crash.ID] = &crashItem{crash: crash, transmitsLeft: transmitLimit}
	return true
}

// Expire removes expired crashes.
func (st *State) Expire(now time.Time) {
	for id, item := range st.crashes {
		if now.Sub(item.crash.At) > quarantine.CrashTTL {
			st.digest ^= xxhash.Sum64String(id)
			delete(st.crashes, id)
		}
	}
}

func hashLeaving(item LeavingUpstream) uint64 {
	encoded := binary.LittleEndian.AppendUint64([]byte(item.Upstream+"\x00"), uint64(item.Incarnation))
	return xxhash.Sum64(encoded)
}

// Digest returns a hash of the items; it is equal for states with the same items.
func (st *State) Digest() uint64 {
	return st.digest
}

// LeavingUpstreams returns all leaving upstreams in the order of their names.
func (st *State) LeavingUpstreams() []LeavingUpstream {
	list := []LeavingUpstream{}
	for _, item := range st.leaving {
		list = append(list, item.leaving)
	}
	sortLeaving(list)
	return list
}

// Crashes returns all crashes, oldest first.
func (st *State) Crashes() []quarantine.Crash {
	list := []quarantine.Crash{}
	for _, item := range st.crashes {
		list = append(list, item.crash)
	}
	sortCrashes(list)
	return list
}

func sortLeaving(list []LeavingUpstream) {
	sort.Slice(list, func(left, right int) bool { return list[left].Upstream < list[right].Upstream })
}

func sortCrashes(list []quarantine.Crash) {
	sort.Slice(list, func(left, right int) bool {
		if list[left].At.Equal(list[right].At) {
			return list[left].ID < list[right].ID
		}
		return list[left].At.Before(list[right].At)
	})
}

// TakeUpdates returns the leaving upstreams and the crashes for the next message: those with transmissions left. It uses up
// one transmission of each; the items themselves stay in the state.
func (st *State) TakeUpdates() ([]LeavingUpstream, []quarantine.Crash) {
	leaving := []LeavingUpstream{}
	for _, item := range st.leaving {
		if item.transmitsLeft > 0 {
			item.transmitsLeft--
			leaving = append(leaving, item.leaving)
		}
	}
	sortLeaving(leaving)
	crashes := []quarantine.Crash{}
	for _, item := range st.crashes {
		if item.transmitsLeft > 0 {
			item.transmitsLeft--
			crashes = append(crashes, item.crash)
		}
	}
	sortCrashes(crashes)
	return leaving, crashes
}
