package replica

import (
	"cmp"
	"slices"
	"time"
)

// Row is a row of the table; Deleted marks a tombstone of a row removed at Version. Revision orders the contents of rows that
// their writer numbers, and is 0 for others.
type Row struct {
	Key      string
	Value    []byte
	Version  int64
	Revision int64
	Deleted  bool
}

// Position is a point in the history of the store. Eras come before versions, since a store that comes back from an older copy
// gives out versions again. Revision is the highest revision of a row.
type Position struct {
	Era      int64
	Version  int64
	Revision int64
}

// IsBefore reports whether a position is older than another one, whatever their revisions.
func (ps Position) IsBefore(other Position) bool {
	return cmp.Or(cmp.Compare(ps.Era, other.Era), cmp.Compare(ps.Version, other.Version)) < 0
}

// EraUnknown is the era of an answer that does not state it.
const EraUnknown = -1

// Update holds the rows of the full table, or those changed since an earlier version, up to Version. Era is the era of the
// store in which they were read, or EraUnknown: the era rises each time the store comes back from an older copy.
//
// StoreTime is the reading of the store's steady clock in the answer, or 0 if it states none.
type Update struct {
	Rows      []Row
	Era       int64
	Version   int64
	Full      bool
	StoreTime time.Duration
}

// Position returns the position up to which the update brings a replica; it has no revision.
func (up Update) Position() Position {
	return Position{Era: up.Era, Version: up.Version}
}

// Replica is a copy of the table; it is not safe for concurrent use.
type Replica struct {
	rows         map[string]Row
	era          int64
	version      int64
	newestChange int64
	hasSnapshot  bool
	tombstones   map[string]time.Time
	// prunedVersion is the version up to which deletions may be unknown, since their tombstones have been pruned or the full
	// table was read after them.
	prunedVersion int64
	// numbered are the keys of the rows that have had a revision.
	numbered []string
	// unseen is the number of rows that were deleted before the replica had them.
	unseen int
}

// tombstoneTTL is how long deleted rows are kept for replicas that have not seen the deletion.
const tombstoneTTL = time.Minute

// New returns an empty replica.
func New() *Replica {
	return &Replica{rows: map[string]Row{}, tombstones: map[string]time.Time{}}
}

// Version returns the version up to which updates have been applied.
func (rp *Replica) Version() int64 {
	return rp.version
}

// Position returns the position up to which updates have been applied.
func (rp *Replica) Position() Position {
	return Position{Era: rp.era, Version: rp.version, Revision: rp.revision()}
}

// NewestChange returns the position of the newest row, which is at most Position.
func (rp *Replica) NewestChange() Position {
	return Position{Era: rp.era, Version: rp.newestChange, Revision: rp.revision()}
}

// revision returns the highest revision of a row.
func (rp *Replica) revision() int64 {
	highest := int64(0)
	for _, key := range rp.numbered {
		highest = max(highest, rp.rows[key].Revision)
	}
	return highest
}

// Unseen returns the number of rows whose deletion is all that the replica has seen of them.
func (rp *Replica) Unseen() int {
	return rp.unseen
}

// HasSnapshot reports whether a full table has been applied.
func (rp *Replica) HasSnapshot() bool {
	return rp.hasSnapshot
}

// Apply applies an update and returns the changed rows. Updates older than the replica are ignored, and so are partial
// ones before the first full table, or of a later era than the replica's.
func (rp *Replica) Apply(now time.Time, update Update) []Row {
	if update.Era == EraUnknown {
		update.Era = rp.era
	}
	if update.Position().IsBefore(rp.Position()) || !update.Full && (!rp.hasSnapshot || update.Era > rp.era) {
		return nil
	}
	rp.pruneTombstones(now)
	if update.Era > rp.era {
		rp.beginEra(update.Era)
	}
	changed := []Row{}
	present := map[string]bool{}
	for _, row := range update.Rows {
		present[row.Key] = true
		if rp.put(now, row) {
			changed = append(changed, row)
		}
	}
	if update.Full {
		changed = append(changed, rp.deleteAbsent(now, present, update.Version)...)
		rp.hasSnapshot = true
		rp.prunedVersion = max(rp.prunedVersion, update.Version)
	}
	rp.version = update.Version
	return changed
}

func (rp *Replica) put(now time.Time, row Row) bool {
	known, found := rp.rows[row.Key]
	rp.newestChange = max(rp.newestChange, row.Version)
	if found && !row.isNewer(known) {
		return false
	}
	if row.Deleted && (!found || known.Deleted) {
		rp.unseen++
	}
	if row.Revision > 0 && known.Revision == 0 {
		rp.numbered = append(rp.numbered, row.Key)
	}
	rp.rows[row.Key] = row
	delete(rp.tombstones, row.Key)
	if row.Deleted {
		rp.tombstones[row.Key] = now
	}
	return true
}

// isNewer reports whether a row replaces another one with its key. Revisions come before versions, since a store that comes
// back from an older copy may have an older revision until its writer writes the newest one again.
func (row Row) isNewer(known Row) bool {
	if row.Revision > 0 && known.Revision > 0 && row.Revision != known.Revision {
		return row.Revision > known.Revision
	}
	return row.Version > known.Version
}

// beginEra makes all rows older than those of a new era, whose versions may be lower.
func (rp *Replica) beginEra(era int64) {
	rp.era, rp.version, rp.newestChange, rp.prunedVersion = era, 0, 0, 0
	rp.tombstones = map[string]time.Time{}
	for key, row := range rp.rows {
		if row.Deleted {
			delete(rp.rows, key)
			continue
		}
		row.Version = 0
		rp.rows[key] = row
	}
}

// deleteAbsent replaces the rows that are missing in a full update by tombstones.
func (rp *Replica) deleteAbsent(now time.Time, present map[string]bool, version int64) []Row {
	changed := []Row{}
	for key, known := range rp.rows {
		isOfEarlierEra := known.Version == 0
		if present[key] || known.Deleted || isOfEarlierEra && known.Revision > 0 {
			continue
		}
		tombstone := Row{Key: key, Version: version, Deleted: true}
		rp.rows[key] = tombstone
		rp.newestChange = max(rp.newestChange, version)
		rp.tombstones[key] = now
		changed = append(changed, tombstone)
	}
	slices.SortFunc(changed, func(left, right Row) int { return cmp.Compare(left.Key, right.Key) })
	return changed
}

func (rp *Replica) pruneTombstones(now time.Time) {
	for key, since := range rp.tombstones {
		if now.Sub(since) > tombstoneTTL {
			rp.prunedVersion = max(rp.prunedVersion, rp.rows[key].Version)
			delete(rp.tombstones, key)
			delete(rp.rows, key)
		}
	}
}

// ChangesSince returns the changes after a position, ordered by version. It returns the full table if the position has no version
// or is of another era, or if rows may have been deleted after it without a tombstone.
func (rp *Replica) ChangesSince(after Position) Update {
	update := Update{Era: rp.era, Version: rp.version, Full: after.Version == 0 || after.Era != rp.era || after.Version < rp.prunedVersion}
	for _, row := range rp.rows {
		if update.Full && !row.Deleted || !update.Full && (row.Version > after.Version || row.Revision > after.Revision) {
			update.Rows = append(update.Rows, row)
		}
	}
	slices.SortFunc(update.Rows, func(left, right Row) int { return cmp.Compare(left.Version, right.Version) })
	return update
}
