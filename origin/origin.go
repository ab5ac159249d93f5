package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began.
type Origin struct {
	Pool    string
	Version string
	// IsUnknown is set if the version is not known, as the upstream may have been restarted with another one.
	IsUnknown bool
}

// Stream identifies a stream: it is the hash of the id of the caller's attempt that brought the first event.
type Stream uint64

// StreamOf returns the stream that an attempt began.
func StreamOf(attemptID string) Stream {
	return Stream(xxhash.Sum64String(attemptID))
}

// Record is the origin of a stream, as of one of the sends of its request; that of the last send counts.
type Record struct {
	Stream   Stream
	Pipeline string
	Origin   Origin
	// Send numbers the sends of the attempt, from 1.
	Send int
	// Beginner is the instance that sends the attempt, and so the only one that always knows the last send.
	Beginner string
	// IsFinal is set if the stream has begun, so that no later send counts.
	IsFinal bool
}

// IsOverriddenBy reports whether another record of the same stream counts more.
func (rc Record) IsOverriddenBy(other Record) bool {
	if rc.IsFinal != other.IsFinal {
		return other.IsFinal
	}
	return other.Send >= rc.Send
}

// maxRecords bounds the records of one generation.
const maxRecords = 32768

// Table holds the records of recent streams; it is not safe for concurrent use. It consists of two generations: the older
// one is dropped when the younger one is full or has been filled for the retention.
type Table struct {
	young, old map[Stream]Record
	since      time.Time
}

// New returns a table without records.
func New(now time.Time) *Table {
	return &Table{young: map[Stream]Record{}, old: map[Stream]Record{}, since: now}
}

// Put adds a record, which is kept for the retention at least, unless one of a later send is known.
func (tb *Table) Put(now time.Time, retention time.Duration, record Record) {
	if now.Sub(tb.since) >= retention || len(tb.young) >= maxRecords {
		tb.young, tb.old, tb.since = map[Stream]Record{}, tb.young, now
	}
	if known, found := tb.Find(record.Stream); found && !known.IsOverriddenBy(record) {
		return
	}
	tb.young[record.Stream] = record
}

// Find returns the record of a stream.
func (tb *Table) Find(stream Stream) (Record, bool) {
	if known, found := tb.young[stream]; found {
		return known, true
	}
	known, found := tb.old[stream]
	return known, found
}

// OfPipeline returns the records of a pipeline's streams, at most limit.
func (tb *Table) OfPipeline(pipeline string, limit int) []Record {
	list := []Record{}
	for _, generation := range []map[Stream]Record{tb.young, tb.old} {
		for _, record := range generation {
			if len(list) < limit && record.Pipeline == pipeline {
				list = append(list, record)
			}
		}
	}
	return list
}

// Len returns the number of records.
func (tb *Table) Len() int {
	return len(tb.young) + len(tb.old)
}
