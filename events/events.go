package events

import "bytes"

// Framer holds back what is not yet a whole event; it is not safe for concurrent use.
type Framer struct {
	held   []byte
	lastID string
}

// New returns a cutter that has seen nothing.
func New() *Framer {
	return &Framer{}
}

var (
	end     = []byte("\n\n")
	idField = []byte("id:")
)

// Push adds a part of the stream and returns the events that are now whole, or nothing.
func (ct *Framer) Push(part []byte) []byte {
	ct.held = append(ct.held, part...)
	cut := bytes.LastIndex(ct.held, end)
	if cut < 0 {
		return nil
	}
	whole := bytes.Clone(ct.held[:cut+len(end)])
	ct.held = ct.held[cut+len(end):]
	ct.note(whole)
	return whole
}

// note remembers the last id among events.
func (ct *Framer) note(whole []byte) {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if id, is := bytes.CutPrefix(line, idField); is {
			ct.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// LastEventID returns the id of the last whole event, or nothing before the first.
func (ct *Framer) LastEventID() string {
	return ct.lastID
}

// DiscardPartial forgets the begin of an event whose rest won't come.
func (ct *Framer) DiscardPartial() {
	ct.held = nil
}

// Partial returns what is left at the end of a stream.
func (ct *Framer) Partial() []byte {
	return ct.held
}
