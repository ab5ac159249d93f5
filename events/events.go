package events

import (
	"bytes"

	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/readlimit"
)

const (
	// MaxEvent bounds one event with its blank line, in bytes.
	MaxEvent = 256 << 10
	// FreeBytes is the size up to which an event takes nothing from the budget, so that short events pass even if long
	// ones have used it up.
	FreeBytes = 16 << 10
	// firstBuffer is the size of the first buffer of an event, in bytes; later buffers are twice as large as the one before.
	firstBuffer = 1 << 10
)

// Framer buffers the incomplete event at the end of a stream; it is not safe for concurrent use.
type Framer struct {
	// share holds the memory of the buffer and of the events that the last Push returned.
	share   *readbudget.Share
	buffer  []byte
	scanner Scanner
}

// New returns an empty framer whose buffers above FreeBytes take their memory from budget; DiscardPartial gives it back.
func New(budget *readbudget.Budget) *Framer {
	return &Framer{share: budget.NewShare(FreeBytes)}
}

// Push appends a chunk of the stream and returns the events that are complete, or nil; they may be used until the next
// call. The error is readlimit.Exceeded if an event is longer than MaxEvent, or readbudget.ErrExhausted; the chunk and the
// incomplete event are dropped then.
func (fr *Framer) Push(chunk []byte) ([]byte, error) {
	cut := 0
	for at, char := range chunk {
		if fr.scanner.size == MaxEvent {
			fr.DiscardPartial()
			return nil, readlimit.Exceeded{Limit: MaxEvent}
		}
		if fr.scanner.endsEvent(char) {
			cut = at + 1
		}
	}
	if err := fr.reserve(len(fr.buffer) + len(chunk)); err != nil {
		fr.DiscardPartial()
		return nil, err
	}
	fr.buffer = append(fr.buffer, chunk...)
	if cut == 0 {
		return nil, nil
	}
	complete := fr.buffer[:len(fr.buffer)-len(chunk)+cut]
	fr.buffer = bytes.Clone(chunk[cut:])
	return complete, nil
}

// reserve makes the buffer large enough for size bytes.
func (fr *Framer) reserve(size int) error {
	capacity := cap(fr.buffer)
	if size > capacity {
		capacity = max(firstBuffer, size, min(2*capacity, MaxEvent))
	}
	if err := fr.share.Resize(int64(capacity)); err != nil {
		return err
	}
	if capacity > cap(fr.buffer) {
		fr.buffer = append(make([]byte, 0, capacity), fr.buffer...)
	}
	return nil
}

// DiscardPartial drops the incomplete event and gives all memory back to the budget.
func (fr *Framer) DiscardPartial() {
	_ = fr.share.Resize(0)
	*fr = Framer{share: fr.share}
}

// Partial returns the incomplete event.
func (fr *Framer) Partial() []byte {
	return fr.buffer
}
