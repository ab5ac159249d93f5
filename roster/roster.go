package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Upstream is one registered incarnation of a back end; Born is the Unix millisecond of its start, or 0.
type Upstream struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	StartUnixMs   int64
	WarmAt        time.Time
}

// Incarnation tells one start of an upstream from the next under the same id.
type Incarnation struct {
	ID          string
	StartUnixMs int64
}

// Incarnation returns the upstream's incarnation.
func (up *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: up.ID, StartUnixMs: up.StartUnixMs}
}

// Snapshot is one state of the registrations; it is never changed once it is published.
type Snapshot struct {
	byID   map[string]*Upstream
	byPool map[string][]*Upstream
}

// Roster follows the registrations; it is not safe for concurrent use, its lists are.
type Roster struct {
	entries     map[string]*entry
	outageSince time.Time
	graceUntil  time.Time
}

// entry is a registration; vanished is when it was removed, or zero.
type entry struct {
	upstream Upstream
	vanished time.Time
}

const (
	// lapseOutage is how long the store must have been away for registrations to have lapsed meanwhile.
	lapseOutage = time.Second
	// returnTime is how long upstreams have to register again after the store's return.
	returnTime = 1700 * time.Millisecond
	// returnSlack is how much later than that the last of them may be heard of.
	returnSlack = 300 * time.Millisecond
)

// New returns a roster without registrations.
func New() *Roster {
	return &Roster{entries: map[string]*entry{}}
}

// Put enters a registration or replaces it; one of an earlier start than the known one changes nothing.
func (rs *Roster) Put(upstream Upstream) {
	if known, found := rs.entries[upstream.ID]; found && known.upstream.StartUnixMs > upstream.StartUnixMs && known.vanished.IsZero() {
		return
	}
	rs.entries[upstream.ID] = &entry{upstream: upstream}
}

// Remove takes a registration out: at once, or after the time in which upstreams come back when the store has
// just returned from an outage.
func (rs *Roster) Remove(now time.Time, id string) {
	known, found := rs.entries[id]
	if !found || !known.vanished.IsZero() {
		return
	}
	if known.upstream.Leaving || !now.Before(rs.graceUntil) && rs.outageSince.IsZero() {
		delete(rs.entries, id)
		return
	}
	known.vanished = now
}

// StoreUnavailable notes that the store stopped answering.
func (rs *Roster) StoreUnavailable(now time.Time) {
	if rs.outageSince.IsZero() {
		rs.outageSince = now
	}
}

// StoreRecovered notes that the store answers again; registrations that are missing have until Due to come back.
func (rs *Roster) StoreRecovered(now time.Time) {
	if rs.outageSince.IsZero() {
		return
	}
	if now.Sub(rs.outageSince) >= lapseOutage {
		rs.graceUntil = now.Add(returnTime)
	}
	rs.outageSince = time.Time{}
}

// GraceLeft returns how much longer missing registrations may come back.
func (rs *Roster) GraceLeft(now time.Time) time.Duration {
	return max(rs.graceUntil.Sub(now), 0)
}

// ExtendGrace lets missing registrations come back until a time; it never shortens it.
func (rs *Roster) ExtendGrace(until time.Time) {
	if until.After(rs.graceUntil) {
		rs.graceUntil = until
	}
}

// NextExpiry returns when Expire has something to do, or the zero time.
func (rs *Roster) NextExpiry() time.Time {
	due := time.Time{}
	for _, known := range rs.entries {
		if known.vanished.IsZero() {
			continue
		}
		if last := rs.lastReturn(known); due.IsZero() || last.Before(due) {
			due = last
		}
	}
	return due
}

// lastReturn is when a missing registration must be back. The time counts from its removal, however long others may
// still come back: an upstream that leaves must be out of use by then. One that is removed late in the time after an
// outage has only what is left of that.
func (rs *Roster) lastReturn(known *entry) time.Time {
	last := known.vanished.Add(returnTime)
	if end := rs.graceUntil.Add(returnSlack); end.After(known.vanished) && end.Before(last) {
		return end
	}
	return last
}

// Expire drops the registrations that did not come back in time and returns their ids.
func (rs *Roster) Expire(now time.Time) []string {
	dropped := []string{}
	for id, known := range rs.entries {
		if !known.vanished.IsZero() && !now.Before(rs.lastReturn(known)) {
			delete(rs.entries, id)
			dropped = append(dropped, id)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// Snapshot returns the current state for readers.
func (rs *Roster) Snapshot() *Snapshot {
	list := &Snapshot{byID: map[string]*Upstream{}, byPool: map[string][]*Upstream{}}
	for id, known := range rs.entries {
		upstream := known.upstream
		list.byID[id] = &upstream
		if !upstream.Leaving {
			list.byPool[upstream.Pool] = append(list.byPool[upstream.Pool], &upstream)
		}
	}
	for _, each := range list.byPool {
		slices.SortFunc(each, func(left, right *Upstream) int { return cmp.Compare(left.ID, right.ID) })
	}
	return list
}

// Usable returns the upstreams of a pool that may get new work, ordered by id.
func (ls *Snapshot) Usable(pool string) []*Upstream {
	return ls.byPool[pool]
}

// Find returns a registered upstream by id, or nil.
func (ls *Snapshot) Find(id string) *Upstream {
	return ls.byID[id]
}

// IsUsable reports whether an incarnation is registered and not leaving.
func (ls *Snapshot) IsUsable(incarnation Incarnation) bool {
	known := ls.byID[incarnation.ID]
	return known != nil && !known.Leaving && known.StartUnixMs == incarnation.StartUnixMs
}

// IDs returns the ids of all registrations in order.
func (ls *Snapshot) IDs() []string {
	return slices.Sorted(maps.Keys(ls.byID))
}
