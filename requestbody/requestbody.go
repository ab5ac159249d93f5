package requestbody

import (
	"errors"
	"io"
	"sync"
)

// BlockBytes is the size of the blocks of long bodies, which are reused.
const BlockBytes = 64 << 10

// blocks holds *[BlockBytes]byte that are not in use.
var blocks = sync.Pool{New: func() any { return new([BlockBytes]byte) }}

// NewBlock returns a block of a size, with unspecified content if it is BlockBytes.
func NewBlock(size int64) []byte {
	if size != BlockBytes {
		return make([]byte, size)
	}
	return blocks.Get().(*[BlockBytes]byte)[:]
}

// Body is a request's body, which is not changed; nil is an empty one. It is held by its request until Release, and by each reader until
// that is closed. It is safe for concurrent use.
type Body struct {
	length int64
	// memory is released once nobody holds the body; it is nil if the blocks are not reused.
	memory Releaser

	mu       sync.Mutex
	holders  int
	released bool
	blocks   [][]byte
	// single is the memory of blocks for bodies of one block.
	single [1][]byte
}

// Of returns a body with a content.
func Of(content []byte) *Body {
	bd := &Body{length: int64(len(content)), holders: 1}
	bd.single[0] = content
	bd.blocks = bd.single[:]
	return bd
}

// Releaser is told once when nobody holds a body any longer.
type Releaser interface {
	Release()
}

// New returns a body without content, whose blocks are reused once nobody holds it.
func New(memory Releaser) *Body {
	bd := &Body{holders: 1, memory: memory}
	bd.blocks = bd.single[:0]
	return bd
}

// Append adds a block from NewBlock, which holds only content, before the body is read.
func (bd *Body) Append(block []byte) {
	bd.blocks = append(bd.blocks, block)
	bd.length += int64(len(block))
}

// Len returns the length in bytes.
func (bd *Body) Len() int64 {
	if bd == nil {
		return 0
	}
	return bd.length
}

// Blocks returns the content, which must not be used after Release.
func (bd *Body) Blocks() [][]byte {
	if bd == nil {
		return nil
	}
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.blocks
}

// Release tells that the request will not be sent again; a second call does nothing.
func (bd *Body) Release() {
	if bd == nil {
		return
	}
	bd.mu.Lock()
	again := bd.released
	bd.released = true
	bd.mu.Unlock()
	if !again {
		bd.drop()
	}
}

// drop ends the hold of one holder, and gives the blocks back with the last one.
func (bd *Body) drop() {
	bd.mu.Lock()
	bd.holders--
	last, content := bd.holders == 0, bd.blocks
	if last {
		bd.blocks = nil
	}
	bd.mu.Unlock()
	if !last {
		return
	}
	if bd.memory != nil {
		reuse(content)
		bd.memory.Release()
	}
	clear(bd.single[:])
}

// reuse gives back blocks from NewBlock that nobody uses.
func reuse(content [][]byte) {
	for _, block := range content {
		if cap(block) == BlockBytes {
			blocks.Put((*[BlockBytes]byte)(block[:BlockBytes]))
		}
	}
}

// ErrReleased reports that a body was released before it was read.
var ErrReleased = errors.New("the body was released")

// Reader reads a body once; it must be closed. Close may be called during Read.
type Reader struct {
	body *Body

	mu     sync.Mutex
	at     int
	offset int
	closed bool
}

// Open returns a reader of the whole body. The error is ErrReleased if nobody holds the body.
func (bd *Body) Open() (*Reader, error) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.released {
		return nil, ErrReleased
	}
	bd.holders++
	return &Reader{body: bd}, nil
}

// Read reads from the body.
func (rd *Reader) Read(into []byte) (int, error) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.closed {
		return 0, ErrReleased
	}
	content := rd.body.blocks
	for rd.at < len(content) && rd.offset == len(content[rd.at]) {
		rd.at, rd.offset = rd.at+1, 0
	}
	if rd.at == len(content) {
		return 0, io.EOF
	}
	count := copy(into, content[rd.at][rd.offset:])
	rd.offset += count
	return count, nil
}

// Close ends the reading; a second call does nothing.
func (rd *Reader) Close() error {
	rd.mu.Lock()
	again := rd.closed
	rd.closed = true
	rd.mu.Unlock()
	if !again {
		rd.body.drop()
	}
	return nil
}
