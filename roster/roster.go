package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Upstream is one registered incarnation of an upstream.
type Upstream struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it can execute concurrently.
	Slots   int
	Leaving bool
	// SoftwareVersion is the version of its software, not that of the weights of its models.
	SoftwareVersion string
	// StartUnixMs is its start time, or 0 if unknown.
	StartUnixMs int64
	// WarmAt is when it is expected to have warmed up; until then it is slower.
	WarmAt time.Time
}

// Incarnation identifies one start of an upstream; a restart under the same id is another incarnation.
type Incarnation struct {
	ID          string
	StartUnixMs int64
}

// Incarnation returns the upstream's incarnation.
func (up *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: up.ID, StartUnixMs: up.StartUnixMs}
}

// Snapshot is an immutable copy of the upstreams' registrations.
type Snapshot struct {
	byID   map[string]*Upstream
	byPool map[string][]*Upstream
	// evacuatedByPool holds the upstreams of evacuated failure domains that are not leaving.
	evacuatedByPool map[string][]*Upstream
	// evacuated holds the evacuated failure domains, with the time at which this instance learned of each evacuation.
	evacuated map[string]time.Time
	// addresses are those of all registrations; the value is false if all upstreams with the address are in evacuated failure domains.
	addresses map[string]bool
}

// HasAddress reports whether an upstream is registered with an address.
func (sn *Snapshot) HasAddress(address string) bool {
	_, known := sn.addresses[address]
	return known
}

// IsAddressEvacuated reports whether upstreams are registered with an address, all of them in evacuated failure domains.
func (sn *Snapshot) IsAddressEvacuated(address string) bool {
	isInUse, known := sn.addresses[address]
	return known && !isInUse
}

// Roster tracks the registrations of upstreams in the store; it is not safe for concurrent use, its snapshots are.
type Roster struct {
	entries     map[string]*entry
	outageSince time.Time
	graceUntil  time.Time
	// leaving holds the incarnations that have said themselves that they are leaving, whatever is registered.
	leaving map[Incarnation]time.Time
	// evacuated holds the evacuated failure domains, with the time at which this instance learned of each evacuation. The map must not
	// be changed.
	evacuated map[string]time.Time
	// gone holds the incarnations whose registrations were removed, and when.
	gone map[Incarnation]time.Time
}

// entry is an upstream's registration; removedAt is the time of its removal, or zero. Until heldUntil, an upstream whose
// registration came back with an older copy of the store is not used, since it had been removed before.
type entry struct {
	upstream  Upstream
	removedAt time.Time
	heldUntil time.Time
}

const (
	// minLapseOutage is the shortest outage of the store in which upstreams' registrations can lapse.
	minLapseOutage = time.Second
	// reregisterTime is how long upstreams have to register again after the store recovered.
	reregisterTime = 1700 * time.Millisecond
	// reregisterSlack is the delay with which the last of those registrations may arrive here.
	reregisterSlack = 300 * time.Millisecond
	// lapseTime is the longest time until the platform removes the registration of an upstream that has ended.
	lapseTime = 5 * time.Second
	// goneRetention is how long removed incarnations are remembered.
	goneRetention = time.Minute
)

// New returns a roster without registrations.
func New() *Roster {
	return &Roster{entries: map[string]*entry{}, gone: map[Incarnation]time.Time{}}
}

// Put adds or replaces an upstream's registration unless a newer incarnation of the upstream is registered.
func (rs *Roster) Put(upstream Upstream) {
	if known, found := rs.entries[upstream.ID]; found && known.upstream.StartUnixMs > upstream.StartUnixMs && known.removedAt.IsZero() {
		return
	}
	delete(rs.gone, upstream.Incarnation())
	rs.entries[upstream.ID] = &entry{upstream: upstream}
}

// PutRestored adds an upstream's registration from an older copy of the store. An incarnation that is known to be leaving still
// is, and one that was removed is not used until the platform would have removed it again. wasRead is set if all changes of the store
// were known up to one after the registration: if there is none under its id now, it has been removed since, seen or not.
func (rs *Roster) PutRestored(now time.Time, upstream Upstream, wasRead bool) {
	known, found := rs.entries[upstream.ID]
	if found && known.upstream.StartUnixMs > upstream.StartUnixMs && known.removedAt.IsZero() {
		return
	}
	if found && known.upstream.Incarnation() == upstream.Incarnation() {
		upstream.Leaving = upstream.Leaving || known.upstream.Leaving
		// The copy states the cold time as of the registration. That time is over, or its end is known.
		upstream.WarmAt = known.upstream.WarmAt
	}
	fresh := &entry{upstream: upstream}
	if _, isGone := rs.gone[upstream.Incarnation()]; isGone || wasRead && !found {
		fresh.heldUntil = now.Add(lapseTime)
	}
	rs.entries[upstream.ID] = fresh
}

// StoreRestored starts the grace period for upstreams that registered after the copy was taken from which the store has come back.
func (rs *Roster) StoreRestored(now time.Time) {
	rs.ExtendGrace(now.Add(reregisterTime))
}

// Remove removes an upstream's registration. During an outage of the store and the grace period after it, the upstream
// stays in use until Expire drops it, so that it can register again; a leaving upstream is removed at once.
func (rs *Roster) Remove(now time.Time, id string) {
	known, found := rs.entries[id]
	if !found || !known.removedAt.IsZero() {
		return
	}
	isHeld := !known.heldUntil.IsZero()
	if isHeld || rs.isLeaving(&known.upstream) || !now.Before(rs.graceUntil) && rs.outageSince.IsZero() {
		rs.drop(now, known)
		return
	}
	known.removedAt = now
}

// drop removes a registration and remembers its incarnation.
func (rs *Roster) drop(now time.Time, known *entry) {
	delete(rs.entries, known.upstream.ID)
	rs.gone[known.upstream.Incarnation()] = now
	for incarnation, since := range rs.gone {
		if now.Sub(since) > goneRetention {
			delete(rs.gone, incarnation)
		}
	}
}

// SetLeaving sets the incarnations that have said themselves that they are leaving, whatever is registered.
func (rs *Roster) SetLeaving(since map[Incarnation]time.Time) {
	rs.leaving = since
}

// SetEvacuated sets the evacuated failure domains, with the time at which this instance learned of each evacuation. Their upstreams stay
// registered and get no new requests. The map must not be changed afterwards.
func (rs *Roster) SetEvacuated(domains map[string]time.Time) {
	rs.evacuated = domains
}

// isLeaving reports whether an upstream is registered as leaving, or has said so itself.
func (rs *Roster) isLeaving(up *Upstream) bool {
	_, said := rs.leaving[up.Incarnation()]
	return up.Leaving || said
}

// StoreUnavailable records the start of an outage of the store.
func (rs *Roster) StoreUnavailable(now time.Time) {
	if rs.outageSince.IsZero() {
		rs.outageSince = now
	}
}

// StoreRecovered records the end of an outage and starts the grace period for registrations that lapsed in it.
func (rs *Roster) StoreRecovered(now time.Time) {
	if rs.outageSince.IsZero() {
		return
	}
	if now.Sub(rs.outageSince) >= minLapseOutage {
		rs.graceUntil = now.Add(reregisterTime)
	}
	rs.outageSince = time.Time{}
}

// GraceLeft returns the remaining grace period for removed registrations.
func (rs *Roster) GraceLeft(now time.Time) time.Duration {
	return max(rs.graceUntil.Sub(now), 0)
}

// ExtendGrace extends the grace period to a time; it never shortens it.
func (rs *Roster) ExtendGrace(until time.Time) {
	if until.After(rs.graceUntil) {
		rs.graceUntil = until
	}
}

// NextExpiry returns when Expire must be called next, or the zero time.
func (rs *Roster) NextExpiry() time.Time {
	next := time.Time{}
	for _, known := range rs.entries {
		deadline := known.heldUntil
		if !known.removedAt.IsZero() {
			deadline = rs.reregisterDeadline(known)
		}
		if !deadline.IsZero() && (next.IsZero() || deadline.Before(next)) {
			next = deadline
		}
	}
	return next
}

// reregisterDeadline returns when a removed registration expires. The time counts from its own removal, however long
// the grace period is extended: an upstream that leaves must be out of use by then. A registration that is removed late
// in the grace period has only the rest of it.
func (rs *Roster) reregisterDeadline(known *entry) time.Time {
	deadline := known.removedAt.Add(reregisterTime)
	if end := rs.graceUntil.Add(reregisterSlack); end.After(known.removedAt) && end.Before(deadline) {
		return end
	}
	return deadline
}

// Expire drops the removed registrations whose grace period is over, and releases the held ones that the platform has not removed.
// It returns the ids of both.
func (rs *Roster) Expire(now time.Time) []string {
	changed := []string{}
	for id, known := range rs.entries {
		switch {
		case !known.removedAt.IsZero() && !now.Before(rs.reregisterDeadline(known)):
			rs.drop(now, known)
			changed = append(changed, id)
		case !known.heldUntil.IsZero() && !now.Before(known.heldUntil):
			known.heldUntil = time.Time{}
			delete(rs.gone, known.upstream.Incarnation())
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// Snapshot returns the current state.
func (rs *Roster) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		byID: map[string]*Upstream{}, byPool: map[string][]*Upstream{}, evacuatedByPool: map[string][]*Upstream{}, evacuated: rs.evacuated,
		addresses: map[string]bool{},
	}
	for id, known := range rs.entries {
		if !known.heldUntil.IsZero() {
			continue
		}
		upstream := known.upstream
		upstream.Leaving = rs.isLeaving(&upstream)
		snapshot.byID[id] = &upstream
		_, isEvacuated := rs.evacuated[upstream.FailureDomain]
		snapshot.addresses[upstream.Address] = snapshot.addresses[upstream.Address] || !isEvacuated
		switch {
		case upstream.Leaving:
		case isEvacuated:
			snapshot.evacuatedByPool[upstream.Pool] = append(snapshot.evacuatedByPool[upstream.Pool], &upstream)
		default:
			snapshot.byPool[upstream.Pool] = append(snapshot.byPool[upstream.Pool], &upstream)
		}
	}
	sortUpstreams(snapshot.byPool)
	sortUpstreams(snapshot.evacuatedByPool)
	return snapshot
}

func sortUpstreams(byPool map[string][]*Upstream) {
	for _, each := range byPool {
		slices.SortFunc(each, func(left, right *Upstream) int { return cmp.Compare(left.ID, right.ID) })
	}
}

// Usable returns the upstreams of a pool that may receive new requests, ordered by id.
func (sn *Snapshot) Usable(pool string) []*Upstream {
	return sn.byPool[pool]
}

// Evacuated returns the upstreams of a pool that get no new requests because their failure domain is evacuated, ordered by id.
// They are registered and not leaving.
func (sn *Snapshot) Evacuated(pool string) []*Upstream {
	return sn.evacuatedByPool[pool]
}

// EvacuatedDomains returns the evacuated failure domains, with the time at which this instance learned of each evacuation. The map must
// not be changed.
func (sn *Snapshot) EvacuatedDomains() map[string]time.Time {
	return sn.evacuated
}

// Find returns the registered upstream with an id, or nil. The upstream may be leaving, or in an evacuated failure domain.
func (sn *Snapshot) Find(id string) *Upstream {
	return sn.byID[id]
}

// IsUsable reports whether an incarnation may receive new requests: it is registered, not leaving, and not in an evacuated failure domain.
func (sn *Snapshot) IsUsable(incarnation Incarnation) bool {
	return sn.IsStaying(incarnation) && !sn.IsEvacuated(incarnation)
}

// IsStaying reports whether an incarnation is registered and not leaving; its failure domain may be evacuated.
func (sn *Snapshot) IsStaying(incarnation Incarnation) bool {
	known := sn.byID[incarnation.ID]
	return known != nil && !known.Leaving && known.StartUnixMs == incarnation.StartUnixMs
}

// IsEvacuated reports whether the failure domain of a registered upstream is evacuated.
func (sn *Snapshot) IsEvacuated(incarnation Incarnation) bool {
	known := sn.byID[incarnation.ID]
	if known == nil {
		return false
	}
	_, isEvacuated := sn.evacuated[known.FailureDomain]
	return isEvacuated
}

// CountIn returns the number of registered upstreams in a failure domain.
func (sn *Snapshot) CountIn(failureDomain string) int {
	count := 0
	for _, up := range sn.byID {
		if up.FailureDomain == failureDomain {
			count++
		}
	}
	return count
}

// IDs returns the ids of all registrations, sorted.
func (sn *Snapshot) IDs() []string {
	return slices.Sorted(maps.Keys(sn.byID))
}
