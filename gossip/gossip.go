package gossip

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/quarantine"
)

// LeavingUpstream says that an upstream's incarnation, and any before it, gets no new work.
type LeavingUpstream struct {
	Upstream    string
	Incarnation int64
}

// State is the news that one instance knows; it is not safe for concurrent use.
type State struct {
	leaving map[string]*leavingItem
	crashes map[string]*crashItem
	digest  uint64
}

type leavingItem struct {
	leaving LeavingUpstream
	sends   int
}

type crashItem struct {
	crash quarantine.Crash
	sends int
}

// sendBudget is how many messages carry an item; a full exchange reaches whom these missed.
const sendBudget = 16

// New returns an empty board.
func New() *State {
	return &State{leaving: map[string]*leavingItem{}, crashes: map[string]*crashItem{}}
}

// AddLeaving enters a leaving upstream and reports whether that was news.
func (bd *State) AddLeaving(item LeavingUpstream) bool {
	known, found := bd.leaving[item.Upstream]
	if found && known.leaving.Incarnation >= item.Incarnation {
		return false
	}
	if found {
		bd.digest ^= hashLeaving(known.leaving)
	}
	bd.digest ^= hashLeaving(item)
	bd.leaving[item.Upstream] = &leavingItem{leaving: item, sends: sendBudget}
	return true
}

// AddCrash enters a crash and reports whether that was news.
func (bd *State) AddCrash(now time.Time, crash quarantine.Crash) bool {
	if _, found := bd.crashes[crash.ID]; found || now.Sub(crash.At) > quarantine.CrashTTL {
		return false
	}
	bd.digest ^= xxhash.Sum64String(crash.ID)
	bd.crashes[crash.ID] = &crashItem{crash: crash, sends: sendBudget}
	return true
}

// Expire drops crashes that no longer count.
func (bd *State) Expire(now time.Time) {
	for id, item := range bd.crashes {
		if now.Sub(item.crash.At) > quarantine.CrashTTL {
			bd.digest ^= xxhash.Sum64String(id)
			delete(bd.crashes, id)
		}
	}
}

func hashLeaving(item LeavingUpstream) uint64 {
	encoded := binary.LittleEndian.AppendUint64([]byte(item.Upstream+"\x00"), uint64(item.Incarnation))
	return xxhash.Sum64(encoded)
}

// Digest is equal for two boards with the same items.
func (bd *State) Digest() uint64 {
	return bd.digest
}

// LeavingUpstreams returns all leaving upstreams by name.
func (bd *State) LeavingUpstreams() []LeavingUpstream {
	list := []LeavingUpstream{}
	for _, item := range bd.leaving {
		list = append(list, item.leaving)
	}
	sortLeaving(list)
	return list
}

// Crashes returns all crashes, oldest first.
func (bd *State) Crashes() []quarantine.Crash {
	list := []quarantine.Crash{}
	for _, item := range bd.crashes {
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

// TakeUpdates returns the items that the next message carries.
func (bd *State) TakeUpdates() ([]LeavingUpstream, []quarantine.Crash) {
	leaving := []LeavingUpstream{}
	for _, item := range bd.leaving {
		if item.sends > 0 {
			item.sends--
			leaving = append(leaving, item.leaving)
		}
	}
	sortLeaving(leaving)
	crashes := []quarantine.Crash{}
	for _, item := range bd.crashes {
		if item.sends > 0 {
			item.sends--
			crashes = append(crashes, item.crash)
		}
	}
	sortCrashes(crashes)
	return leaving, crashes
}
