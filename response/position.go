package response

import (
	"strconv"

	"github.com/turmericdoor/turmericdoor/events"
)

// position is the place that a stream of events has reached.
type position struct {
	first string
	last  string
	// unnumbered is set if an event without an id came after the last id: a continuation after that id would repeat it.
	unnumbered bool
}

// isKnown reports whether a continuation after the last id neither repeats nor leaves out an event.
func (ps *position) isKnown() bool {
	return ps.last != "" && !ps.unnumbered
}

// advance moves the position after an event.
func (ps *position) advance(event events.Event) {
	if !event.HasID {
		ps.unnumbered = ps.unnumbered || event.HasFields
		return
	}
	if ps.first == "" {
		ps.first = event.ID
	}
	ps.last, ps.unnumbered = event.ID, false
}

// check returns a NotContinued error if an event may not come next: its id must be a higher number, or a text that neither
// began nor ended the stream.
func (ps *position) check(event events.Event) error {
	if !event.HasID || ps.isFollowedBy(event.ID) {
		return nil
	}
	return NotContinued{Cause: "event " + event.ID + " after event " + ps.last}
}

func (ps *position) isFollowedBy(id string) bool {
	last, lastErr := strconv.ParseUint(ps.last, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if lastErr == nil && nextErr == nil {
		return next > last
	}
	return id != ps.first && id != ps.last
}
