package ratetable

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Entry is the rate limit of one incarnation of an upstream.
type Entry struct {
	Incarnation roster.Incarnation
	// PerSecond is the limit in requests per second, if it has not ended.
	PerSecond float64
	Ended     bool
	// At is when the limit was announced, changed or ended, by the hybrid logical clock.
	At time.Time
}

// Table holds one entry for each incarnation with a limit; it is not safe for concurrent use.
type Table struct {
	entries map[roster.Incarnation]*item
}

// item is an entry, and how many messages still carry it.
type item struct {
	Entry
	transmitsLeft int
	// sent numbers the message that carried it last.
	sent uint64
}

const (
	// maxEntries bounds the entries; ended ones are dropped first, then the oldest.
	maxEntries = 1024
	// transmitLimit is the number of messages that carry a change; maxFresh bounds those in one message.
	transmitLimit = 16
	maxFresh      = 64
	// repeatedEntries is how many older entries a message carries besides, for instances that missed them.
	repeatedEntries = 4
	// retention is how long an entry is kept after its upstream is no longer registered, or after it ended.
	retention = time.Minute
)

// New returns a table without entries.
func New() *Table {
	return &Table{entries: map[roster.Incarnation]*item{}}
}

// Merge adds an entry if it is newer than the known one and reports whether it was. Of two entries of the same time, the
// one that has not ended wins, then the lower limit.
func (tb *Table) Merge(fresh Entry) bool {
	known, found := tb.entries[fresh.Incarnation]
	if found && !overrides(fresh, known.Entry) {
		return false
	}
	if !found && len(tb.entries) >= maxEntries {
		tb.dropOldest()
	}
	tb.entries[fresh.Incarnation] = &item{Entry: fresh, transmitsLeft: transmitLimit}
	return true
}

func overrides(fresh, known Entry) bool {
	switch {
	case !fresh.At.Equal(known.At):
		return fresh.At.After(known.At)
	case fresh.Ended != known.Ended:
		return !fresh.Ended
	}
	return !fresh.Ended && fresh.PerSecond < known.PerSecond
}

// dropOldest drops the oldest ended entry, or else the oldest.
func (tb *Table) dropOldest() {
	oldest := (*item)(nil)
	for _, it := range tb.entries {
		if oldest == nil || it.Ended && !oldest.Ended || it.Ended == oldest.Ended && it.At.Before(oldest.At) {
			oldest = it
		}
	}
	delete(tb.entries, oldest.Incarnation)
}

// sorted returns the entries in the order of their incarnations.
func (tb *Table) sorted() []*item {
	list := []*item{}
	for _, it := range tb.entries {
		list = append(list, it)
	}
	slices.SortFunc(list, func(left, right *item) int {
		return cmp.Or(cmp.Compare(left.Incarnation.ID, right.Incarnation.ID), cmp.Compare(left.Incarnation.StartUnixMs, right.Incarnation.StartUnixMs))
	})
	return list
}

// Find returns the entry of an incarnation, or false if there is none.
func (tb *Table) Find(incarnation roster.Incarnation) (Entry, bool) {
	known, found := tb.entries[incarnation]
	if !found {
		return Entry{}, false
	}
	return known.Entry, true
}

// Active returns the limits that have not ended, in requests per second.
func (tb *Table) Active() map[roster.Incarnation]float64 {
	limits := map[roster.Incarnation]float64{}
	for incarnation, it := range tb.entries {
		if !it.Ended {
			limits[incarnation] = it.PerSecond
		}
	}
	return limits
}

// All returns all entries, for an instance that may know none.
func (tb *Table) All() []Entry {
	list := []Entry{}
	for _, it := range tb.sorted() {
		list = append(list, it.Entry)
	}
	return list
}

// TakeNews returns the entries for the next message: the changed ones, and a few others in turn.
func (tb *Table) TakeNews(message uint64) []Entry {
	list, others := []Entry{}, []*item{}
	for _, it := range tb.sorted() {
		if it.transmitsLeft == 0 || len(list) >= maxFresh {
			others = append(others, it)
			continue
		}
		it.transmitsLeft--
		it.sent = message
		list = append(list, it.Entry)
	}
	slices.SortStableFunc(others, func(left, right *item) int { return cmp.Compare(left.sent, right.sent) })
	for _, it := range others[:min(len(others), repeatedEntries)] {
		it.sent = message
		list = append(list, it.Entry)
	}
	return list
}

// Prune drops the entries that are older than retention and have ended, or whose upstream is not registered.
func (tb *Table) Prune(now time.Time, isRegistered func(roster.Incarnation) bool) {
	for incarnation, it := range tb.entries {
		if now.Sub(it.At) > retention && (it.Ended || !isRegistered(incarnation)) {
			delete(tb.entries, incarnation)
		}
	}
}
