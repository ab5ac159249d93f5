package replica

import (
	"cmp"
	"slices"
	"time"
)

// Row is one row of the table; Deleted marks one that was removed at Version.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Update is an answer of the store: the whole table (Whole) or what changed, up to Version.
type Update struct {
	Rows    []Row
	Version int64
	Full    bool
}

// Replica is the copy; it is not safe for concurrent use.
type Replica struct {
	rows    map[string]Row
	version int64
	newest  int64
	started bool
	deleted map[string]time.Time
	// forgotten is the newest version at which a row was removed that is no longer remembered.
	forgotten int64
}

// deletedKept is how long removed rows are remembered, so that others can be told of them.
const deletedKept = time.Minute

// New returns an empty copy.
func New() *Replica {
	return &Replica{rows: map[string]Row{}, deleted: map[string]time.Time{}}
}

// Version returns how far the copy has come.
func (rp *Replica) Version() int64 {
	return rp.version
}

// NewestChange returns the version of the newest change in the copy, which is at most Version.
func (rp *Replica) NewestChange() int64 {
	return rp.newest
}

// HasSnapshot reports whether the copy was ever whole.
func (rp *Replica) HasSnapshot() bool {
	return rp.started
}

// Apply takes a page over and returns the rows that changed; a page that is older than the copy changes nothing.
func (rp *Replica) Apply(now time.Time, page Update) []Row {
	if page.Version < rp.version || !page.Full && !rp.started {
		return nil
	}
	rp.forget(now)
	changed := []Row{}
	present := map[string]bool{}
	for _, row := range page.Rows {
		present[row.Key] = true
		if rp.put(now, row) {
			changed = append(changed, row)
		}
	}
	if page.Full {
		changed = append(changed, rp.dropAbsent(now, present, page.Version)...)
		rp.started = true
	}
	rp.version = page.Version
	return changed
}

func (rp *Replica) put(now time.Time, row Row) bool {
	if known, found := rp.rows[row.Key]; found && known.Version >= row.Version {
		return false
	}
	rp.rows[row.Key] = row
	rp.newest = max(rp.newest, row.Version)
	delete(rp.deleted, row.Key)
	if row.Deleted {
		rp.deleted[row.Key] = now
	}
	return true
}

// dropAbsent marks the rows that a whole page does not have.
func (rp *Replica) dropAbsent(now time.Time, present map[string]bool, version int64) []Row {
	changed := []Row{}
	for key, known := range rp.rows {
		if present[key] || known.Deleted {
			continue
		}
		gone := Row{Key: key, Version: version, Deleted: true}
		rp.rows[key] = gone
		rp.newest = max(rp.newest, version)
		rp.deleted[key] = now
		changed = append(changed, gone)
	}
	slices.SortFunc(changed, func(left, right Row) int { return cmp.Compare(left.Key, right.Key) })
	return changed
}

func (rp *Replica) forget(now time.Time) {
	for key, since := range rp.deleted {
		if now.Sub(since) > deletedKept {
			rp.forgotten = max(rp.forgotten, rp.rows[key].Version)
			delete(rp.deleted, key)
			delete(rp.rows, key)
		}
	}
}

// ChangesSince returns what changed after a version, in the order of versions, or the whole table to a replica that is
// too far behind.
func (rp *Replica) ChangesSince(version int64) Update {
	page := Update{Version: rp.version, Full: version == 0 || version < rp.forgotten}
	for _, row := range rp.rows {
		if row.Version > version && (!page.Full || !row.Deleted) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(left, right Row) int { return cmp.Compare(left.Version, right.Version) })
	return page
}
