package gateway_test

import (
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// maxReads bounds the reads of one stream: what a stream of 16 MB takes in parts of 64 bytes.
	maxReads = 16 << 20 / 64
	// eventReads is the size of the events below, in bytes.
	eventReads = 100 << 10
	// maxBlankReads bounds the reads of a stream of blank lines: what a stream of 16 MB takes in parts of 1 KB.
	maxBlankReads = 16 << 20 / 1024
)

// byteByByte is a stream of events without end, or of more than maxBlankReads blank lines, that arrives byte by byte.
type byteByByte struct {
	reads int
	blank bool
}

func (bb *byteByByte) Read(part []byte) (int, error) {
	if bb.blank && bb.reads > 2*maxBlankReads {
		return 0, io.EOF
	}
	part[0] = 'x'
	if bb.blank || bb.reads%eventReads >= eventReads-2 {
		part[0] = '\n'
	}
	bb.reads++
	return 1, nil
}

// TestStreamOfTinyParts guards against a stream without end whose parts each cost as much time as a long one.
func TestStreamOfTinyParts(t *testing.T) {
	for name, stream := range map[string]*byteByByte{"events": {}, "blank lines": {blank: true}} {
		t.Run(name, func(t *testing.T) {
			outcome, out := serve(t, &fakes{responses: []response{{status: 200, reader: stream}}}, "/draft/1", nil)
			assertOutcome(t, "CutOff", outcome)
			if stream.blank {
				must.LessEq(t, maxBlankReads+1, stream.reads)
				return
			}
			must.LessEq(t, maxReads+1, stream.reads)
			must.Eq(t, 2*eventReads, len(out.body))
		})
	}
}
