package replica

import (
	"cmp"
	"slices"
	"time"
)

// Row is a row of the table; Deleted marks a tombstone of a row removed at Version.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Update holds the rows of the full table, or those changed since an earlier version, up to Version. Era is the era of the
// store in which they were read, or 0 if it is not known: the era rises each time the store comes back from an older copy.
type Update struct {
	Rows    []Row
	Era     int64
	Version int64
	Full    bool
}

// Replica is a copy of the table; it is not safe for concurrent use.
type Replica struct {
	rows         map[string]Row
	version      int64
	newestChange int64
	hasSnapshot  bool
	tombstones   map[string]time.Time
	// prunedVersion is the version up to which deletions may be unknown, since their tombstones have been pruned or the full
	// table was read after them.
	prunedVersion int64
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

// NewestChange returns the version of the newest row, which is at most Version.
func (rp *Replica) NewestChange() int64 {
	return rp.newestChange
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
// ones before the first full table.
func (rp *Replica) Apply(now time.Time, update Update) []Row {
	if update.Version < rp.version || !update.Full && !rp.hasSnapshot {
		return nil
	}
	rp.pruneTombstones(now)
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
	if found && known.Version >= row.Version {
		return false
	}
	if row.Deleted && (!found || known.Deleted) {
		rp.unseen++
	}
	rp.rows[row.Key] = row
	rp.newestChange = max(rp.newestChange, row.Version)
	delete(rp.tombstones, row.Key)
	if row.Deleted {
		rp.tombstones[row.Key] = now
	}
	return true
}

// deleteAbsent replaces the rows that are missing in a full update by tombstones.
func (rp *Replica) deleteAbsent(now time.Time, present map[string]bool, version int64) []Row {
	changed := []Row{}
	for key, known := range rp.rows {
		if present[key] || known.Deleted {
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

// ChangesSince returns the changes after a version, ordered by version. It returns the full table if version is 0 or rows
// may have been deleted after version without a tombstone.
func (rp *Replica) ChangesSince(version int64) Update {
	update := Update{Version: rp.version, Full: version == 0 || version < rp.prunedVersion}
	for _, row := range rp.rows {
		if update.Full && !row.Deleted || !update.Full && row.Version > version {
			update.Rows = append(update.Rows, row)
		}
	}
	slices.SortFunc(update.Rows, func(left, right Row) int { return cmp.Compare(left.Version, right.Version) })
	return update
}
