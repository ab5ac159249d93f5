package noticetable

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Kind is what an entry says of its upstream.
type Kind int32

// The kinds of entries.
const (
	// RateLimit is the rate that the upstream accepts from all instances together; it can change and end.
	RateLimit Kind = iota
	// Leaving says that the upstream wants no new requests; it holds for the rest of the incarnation.
	Leaving
	// Pause says that the upstream has asked an instance for a pause. It binds that instance alone; the others prefer other
	// upstreams.
	Pause
	// Brittle says that the upstream ends when it has to reject too many requests; PerSecond is the rate for which it is estimated to
	// have room.
	Brittle
	// Cold says that the upstream is slow until a time and accepts only the rate of its pool's cold upstreams until then. An entry
	// that has ended says that it is warm.
	Cold
)

// Entry is what one incarnation of an upstream has said of itself.
type Entry struct {
	Kind        Kind
	Incarnation roster.Incarnation
	// PerSecond is a rate limit in requests per second, if it has not ended.
	PerSecond float64
	Ended     bool
	// Length is how long a pause is.
	Length time.Duration
	// At is when the entry was announced, changed or ended, by the hybrid logical clock.
	At time.Time
	// Until is when a cold time ends, by the clock of the timers: instances tell each other the remaining time, since their clocks differ
	// and may jump.
	Until time.Time
}

// Table holds one entry of each kind for each incarnation; it is not safe for concurrent use.
type Table struct {
	entries map[key]*item
}

type key struct {
	kind        Kind
	incarnation roster.Incarnation
}

func (en Entry) key() key { return key{en.Kind, en.Incarnation} }

// item is an entry, and how many messages still carry it.
type item struct {
	Entry
	transmitsLeft int
	// sent numbers the message that carried it last.
	sent uint64
}

const (
	// maxEntries bounds the entries of all kinds; ended ones are dropped first, then the oldest.
	maxEntries = 1024
	// transmitLimit is the number of messages that carry a change; maxFresh bounds those in one message.
	transmitLimit = 16
	maxFresh      = 64
	// repeatedEntries is how many older entries a message carries besides, for instances that missed them.
	repeatedEntries = 4
	// minExtension is by how much a pause must end later than a known one to be news.
	minExtension = 500 * time.Millisecond
	// minColdChange is by how much the end of a cold time must differ from the known one to be news. Each answer states the remaining time,
	// so that its end always differs a little.
	minColdChange = 250 * time.Millisecond
	// retention is how long an entry is kept after its upstream is no longer registered, or after it ended.
	retention = time.Minute
)

// New returns a table without entries.
func New() *Table {
	return &Table{entries: map[key]*item{}}
}

// Merge adds an entry if it is newer than the known one and reports whether it was. Of two entries of the same time, the
// one that has not ended wins, then the lower limit.
func (tb *Table) Merge(fresh Entry) bool {
	known, found := tb.entries[fresh.key()]
	if found && !overrides(fresh, known.Entry) {
		return false
	}
	if !found && len(tb.entries) >= maxEntries {
		tb.dropOldest()
	}
	tb.entries[fresh.key()] = &item{Entry: fresh, transmitsLeft: transmitLimit}
	return true
}

func overrides(fresh, known Entry) bool {
	switch {
	case fresh.Kind == Leaving:
		return false
	case fresh.Kind == Pause:
		return fresh.end().After(known.end().Add(minExtension))
	case fresh.Kind == Cold:
		return fresh.At.After(known.At) && (fresh.Ended || known.Ended || fresh.Until.Sub(known.Until).Abs() > minColdChange)
	case !fresh.At.Equal(known.At):
		return fresh.At.After(known.At)
	case fresh.Ended != known.Ended:
		return !fresh.Ended
	}
	return !fresh.Ended && fresh.PerSecond < known.PerSecond
}

// end returns when a pause ends.
func (en Entry) end() time.Time { return en.At.Add(en.Length) }

// PausesUntil returns until when upstreams have asked instances for a pause.
func (tb *Table) PausesUntil(now time.Time) map[roster.Incarnation]time.Time {
	until := map[roster.Incarnation]time.Time{}
	for of, it := range tb.entries {
		if of.kind == Pause && it.end().After(now) {
			until[of.incarnation] = it.end()
		}
	}
	return until
}

// dropOldest drops the oldest ended entry, or else the oldest.
func (tb *Table) dropOldest() {
	oldest := (*item)(nil)
	for _, it := range tb.entries {
		if oldest == nil || it.Ended && !oldest.Ended || it.Ended == oldest.Ended && it.At.Before(oldest.At) {
			oldest = it
		}
	}
	delete(tb.entries, oldest.key())
}

// sorted returns the entries in the order of their incarnations.
func (tb *Table) sorted() []*item {
	list := []*item{}
	for _, it := range tb.entries {
		list = append(list, it)
	}
	slices.SortFunc(list, func(left, right *item) int {
		return cmp.Or(cmp.Compare(left.Kind, right.Kind), cmp.Compare(left.Incarnation.ID, right.Incarnation.ID), cmp.Compare(left.Incarnation.StartUnixMs, right.Incarnation.StartUnixMs))
	})
	return list
}

// Find returns the entry of a kind for an incarnation, or false if there is none.
func (tb *Table) Find(kind Kind, incarnation roster.Incarnation) (Entry, bool) {
	known, found := tb.entries[key{kind, incarnation}]
	if !found {
		return Entry{}, false
	}
	return known.Entry, true
}

// Limits returns the rates that have not ended, in requests per second: those that upstreams have named, and those for which brittle
// ones are estimated to have room. Of two the lower one counts.
func (tb *Table) Limits() map[roster.Incarnation]float64 {
	limits := map[roster.Incarnation]float64{}
	for of, it := range tb.entries {
		if of.kind != RateLimit && of.kind != Brittle || it.Ended {
			continue
		}
		if known, found := limits[of.incarnation]; !found || it.PerSecond < known {
			limits[of.incarnation] = it.PerSecond
		}
	}
	return limits
}

// BrittleRates returns the rates for which brittle upstreams are estimated to have room, in requests per second.
func (tb *Table) BrittleRates() map[roster.Incarnation]float64 {
	rates := map[roster.Incarnation]float64{}
	for of, it := range tb.entries {
		if of.kind == Brittle && !it.Ended {
			rates[of.incarnation] = it.PerSecond
		}
	}
	return rates
}

// ColdTimes returns the entries of cold times, also of those that have ended or are over.
func (tb *Table) ColdTimes() map[roster.Incarnation]Entry {
	times := map[roster.Incarnation]Entry{}
	for of, it := range tb.entries {
		if of.kind == Cold {
			times[of.incarnation] = it.Entry
		}
	}
	return times
}

// LeavingSince returns the incarnations that are leaving, with the time at which they said so first.
func (tb *Table) LeavingSince() map[roster.Incarnation]time.Time {
	since := map[roster.Incarnation]time.Time{}
	for of, it := range tb.entries {
		if of.kind == Leaving {
			since[of.incarnation] = it.At
		}
	}
	return since
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

// Prune drops the pauses that are over, and the entries that are older than retention and have ended, or whose upstream is not
// registered. Cold times are left to PruneCold, except those that an answer has ended.
func (tb *Table) Prune(now time.Time, isRegistered func(roster.Incarnation) bool) {
	for of, it := range tb.entries {
		if of.kind == Cold && !it.Ended {
			continue
		}
		if of.kind == Pause && now.After(it.end()) {
			delete(tb.entries, of)
		}
		if now.Sub(it.At) > retention && (it.Ended || !isRegistered(of.incarnation)) {
			delete(tb.entries, of)
		}
	}
}

// PruneCold drops the cold times whose end is longer ago than retention, by the clock of the timers. If they were dropped earlier, an instance
// that still holds one could bring it back, with a remaining time that grows by the time that the message takes.
func (tb *Table) PruneCold(now time.Time) {
	for of, it := range tb.entries {
		if of.kind == Cold && !it.Ended && now.Sub(it.Until) > retention {
			delete(tb.entries, of)
		}
	}
}
