package events

import (
	"bytes"

	"github.com/turmericdoor/turmericdoor/readlimit"
)

// MaxEvent bounds one event with its blank line, in bytes.
const MaxEvent = 256 << 10

// Framer buffers the incomplete event at the end of a stream; it is not safe for concurrent use.
type Framer struct {
	buffer []byte
	// size is the size of the incomplete event, and lineSize that of its last line, in bytes.
	size, lineSize int
	// afterCR is true if the last byte was a carriage return, to whose line end a line feed belongs.
	afterCR bool
	lastID  string
}

// New returns an empty framer.
func New() *Framer {
	return &Framer{}
}

var idField = []byte("id:")

// Push appends a chunk of the stream and returns the events that are complete, or nil. The error is readlimit.Exceeded if
// an event is longer than MaxEvent; the chunk and the incomplete event are dropped then.
func (fr *Framer) Push(chunk []byte) ([]byte, error) {
	cut := 0
	for at, char := range chunk {
		if fr.size == MaxEvent {
			fr.DiscardPartial()
			return nil, readlimit.Exceeded{Limit: MaxEvent}
		}
		if fr.endsEvent(char) {
			cut = at + 1
		}
	}
	if cut == 0 {
		fr.buffer = append(fr.buffer, chunk...)
		return nil, nil
	}
	complete := append(fr.buffer, chunk[:cut]...)
	fr.buffer = bytes.Clone(chunk[cut:])
	fr.recordLastID(complete)
	return complete, nil
}

// endsEvent counts a byte of the stream and reports whether an event is complete with it: after a blank line, and after
// the line feed that belongs to the carriage return of a blank line. Lines end with a line feed, a carriage return or both.
func (fr *Framer) endsEvent(char byte) bool {
	completesLineEnd := char == '\n' && fr.afterCR
	fr.afterCR = char == '\r'
	if completesLineEnd && fr.size == 0 {
		return true
	}
	fr.size++
	switch {
	case completesLineEnd:
		return false
	case char != '\n' && char != '\r':
		fr.lineSize++
		return false
	case fr.lineSize > 0:
		fr.lineSize = 0
		return false
	}
	fr.size = 0
	return true
}

// recordLastID stores the last event id in complete, if it has any; ids before it are not kept.
func (fr *Framer) recordLastID(complete []byte) {
	for len(complete) > 0 {
		line := complete
		if end := bytes.IndexAny(complete, "\r\n"); end >= 0 {
			line, complete = complete[:end], complete[end+1:]
		} else {
			complete = nil
		}
		if id, is := bytes.CutPrefix(line, idField); is {
			fr.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// LastEventID returns the id of the last complete event that has one, or "".
func (fr *Framer) LastEventID() string {
	return fr.lastID
}

// DiscardPartial drops the incomplete event.
func (fr *Framer) DiscardPartial() {
	*fr = Framer{lastID: fr.lastID}
}

// Partial returns the incomplete event.
func (fr *Framer) Partial() []byte {
	return fr.buffer
}
