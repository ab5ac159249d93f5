package response

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/events"
)

// maxNames bounds the ids of one stream that are no numbers and are remembered; a longer stream can't be resumed.
const maxNames = 4096

// position is the place that a stream of events has reached.
type position struct {
	last string
	// hasNumber is set if highest is the highest id that is a number.
	hasNumber bool
	highest   uint64
	// names holds the hashes of the other ids; an id with the hash of another one counts as repeated.
	names map[uint64]struct{}
	// hasUnknownNames is set if there were more than maxNames.
	hasUnknownNames bool
	// unnumbered is set if an event without an id came after the last id: a continuation after that id would repeat it.
	unnumbered bool
}

// isKnown reports whether a continuation after the last id neither repeats nor leaves out an event.
func (ps *position) isKnown() bool {
	return ps.last != "" && !ps.unnumbered && !ps.hasUnknownNames
}

// advance moves the position after an event.
func (ps *position) advance(event events.Event) {
	if !event.HasID {
		ps.unnumbered = ps.unnumbered || event.HasFields
		return
	}
	ps.last, ps.unnumbered = event.ID, false
	number, err := strconv.ParseUint(event.ID, 10, 64)
	if err != nil {
		ps.remember(event.ID)
		return
	}
	ps.highest, ps.hasNumber = max(ps.highest, number), true
}

func (ps *position) remember(name string) {
	switch {
	case ps.isRemembered(name):
		return
	case len(ps.names) == maxNames:
		ps.hasUnknownNames = true
		return
	case ps.names == nil:
		ps.names = map[uint64]struct{}{}
	}
	ps.names[xxhash.Sum64String(name)] = struct{}{}
}

func (ps *position) isRemembered(name string) bool {
	_, found := ps.names[xxhash.Sum64String(name)]
	return found
}

// check returns a NotContinued error if an event may not come next: its id must be a higher number than all before, or a
// text that was not among them.
func (ps *position) check(event events.Event) error {
	if !event.HasID || ps.isNew(event.ID) {
		return nil
	}
	return NotContinued{Cause: "event " + event.ID + " after event " + ps.last}
}

func (ps *position) isNew(id string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return !ps.isRemembered(id)
	}
	return !ps.hasNumber || number > ps.highest
}
