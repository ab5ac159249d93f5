package events

import (
	"bytes"
	"iter"
)

// Event is one event of a stream. Text includes the blank line at its end.
type Event struct {
	Text []byte
	ID   string
	// HasID is set if the event has an id, which may be empty, HasFields if it has anything but comments.
	HasID     bool
	HasFields bool
}

// Scanner finds the events of a stream, whose lines end with a line feed, a carriage return or both. The zero value is at
// the start of the stream; it is not safe for concurrent use.
type Scanner struct {
	// size is the size of the incomplete event, and lineSize that of its last line, in bytes.
	size, lineSize int
	// afterCR is true if the last byte was a carriage return, to whose line end a line feed belongs.
	afterCR bool
	// sawEvent is true after the first event that is more than a blank line.
	sawEvent bool
}

// Events returns the events of the next part of the stream. A part that ends inside an event yields that part of it last.
func (sc *Scanner) Events(part []byte) iter.Seq[Event] {
	return func(yield func(Event) bool) {
		start := 0
		for at, char := range part {
			if !sc.endsEvent(char) {
				continue
			}
			if !yield(parse(part[start : at+1])) {
				return
			}
			start = at + 1
		}
		if start < len(part) {
			yield(parse(part[start:]))
		}
	}
}

// Skip reads the next part of the stream.
func (sc *Scanner) Skip(part []byte) {
	for _, char := range part {
		sc.endsEvent(char)
	}
}

// IsAfterEvent reports whether the stream had an event and is not inside another one.
func (sc *Scanner) IsAfterEvent() bool {
	return sc.sawEvent && sc.size == 0
}

// endsEvent counts a byte of the stream and reports whether an event is complete with it: after a blank line, and after
// the line feed that belongs to the carriage return of a blank line.
func (sc *Scanner) endsEvent(char byte) bool {
	completesLineEnd := char == '\n' && sc.afterCR
	sc.afterCR = char == '\r'
	if completesLineEnd && sc.size == 0 {
		return true
	}
	sc.size++
	switch {
	case completesLineEnd:
		return false
	case char != '\n' && char != '\r':
		sc.lineSize++
		return false
	case sc.lineSize > 0:
		sc.lineSize = 0
		return false
	}
	sc.sawEvent = sc.sawEvent || sc.size > 1
	sc.size = 0
	return true
}

var idField = []byte("id:")

// parse returns the event with the given text.
func parse(text []byte) Event {
	event := Event{Text: text}
	for rest := text; len(rest) > 0; {
		line := rest
		if end := bytes.IndexAny(rest, "\r\n"); end >= 0 {
			line, rest = rest[:end], rest[end+1:]
		} else {
			rest = nil
		}
		if len(line) > 0 && line[0] != ':' {
			event.HasFields = true
		}
		if id, is := bytes.CutPrefix(line, idField); is {
			event.ID, event.HasID = string(bytes.TrimSpace(id)), true
		}
	}
	return event
}
