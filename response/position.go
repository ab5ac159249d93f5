package response

import (
	"bytes"
	"strconv"
)

// position is the place that a stream of events has reached.
type position struct {
	first string
	last  string
	// unnumbered is set if an event without an id came after the last id: a continuation after that id would repeat it.
	unnumbered bool
}

// isKnown reports whether a continuation after the last id neither repeats nor leaves out an event.
func (ps position) isKnown() bool {
	return ps.last != "" && !ps.unnumbered
}

// after returns the position after an event, and whether the event may follow the ones before.
func (ps position) after(event []byte) (position, bool) {
	id, hasID, hasFields := eventID(event)
	if !hasID {
		ps.unnumbered = ps.unnumbered || hasFields
		return ps, true
	}
	follows := ps.isFollowedBy(id)
	if ps.first == "" {
		ps.first = id
	}
	ps.last, ps.unnumbered = id, false
	return ps, follows
}

// isFollowedBy reports whether an id may come next: a higher number, or a text that neither began nor ended the stream.
func (ps position) isFollowedBy(id string) bool {
	last, lastErr := strconv.ParseUint(ps.last, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if lastErr == nil && nextErr == nil {
		return next > last
	}
	return id != ps.first && id != ps.last
}

// eventID returns the id of an event, and whether the event has an id and any field at all.
func eventID(event []byte) (id string, hasID, hasFields bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			hasFields = true
		}
		if value, is := bytes.CutPrefix(line, []byte("id:")); is {
			id, hasID = string(bytes.TrimSpace(value)), true
		}
	}
	return id, hasID, hasFields
}
