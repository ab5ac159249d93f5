package events

import "bytes"

// Framer buffers the incomplete event at the end of a stream; it is not safe for concurrent use.
type Framer struct {
	buffer []byte
	lastID string
}

// New returns an empty framer.
func New() *Framer {
	return &Framer{}
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Push appends a chunk of the stream and returns the events that are complete, or nil.
func (fr *Framer) Push(chunk []byte) []byte {
	fr.buffer = append(fr.buffer, chunk...)
	cut := bytes.LastIndex(fr.buffer, eventEnd)
	if cut < 0 {
		return nil
	}
	complete := bytes.Clone(fr.buffer[:cut+len(eventEnd)])
	fr.buffer = fr.buffer[cut+len(eventEnd):]
	fr.recordLastID(complete)
	return complete
}

// recordLastID stores the last event id in complete, if it has any; ids before it are not kept.
func (fr *Framer) recordLastID(complete []byte) {
	for line := range bytes.SplitSeq(complete, []byte("\n")) {
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
	fr.buffer = nil
}

// Partial returns the incomplete event.
func (fr *Framer) Partial() []byte {
	return fr.buffer
}
