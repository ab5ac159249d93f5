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

// NewBlock returns a block of a size. Its content is unspecified, as blocks of BlockBytes are reused.
func NewBlock(size int64) []byte {
	if size != BlockBytes {
		return make([]byte, size)
	}
	return blocks.Get().(*[BlockBytes]byte)[:]
}

// Body is a request's body; nil is an empty one. Its blocks are kept until Release was called and all readers are closed. Apart from Append, it
// is safe for concurrent use.
type Body struct {
	length int64
	// memory is released with the blocks; it is nil if the blocks are not reused.
	memory Releaser

	mu sync.Mutex
	// references counts the readers that are open, and one more until Release.
	references int
	released   bool
	blocks     [][]byte
	// single is the array behind blocks while there is one block, which saves an allocation.
	single [1][]byte
}

// Of returns a body with a content, which must not be changed afterwards and is not reused.
func Of(content []byte) *Body {
	bd := &Body{length: int64(len(content)), references: 1}
	bd.single[0] = content
	bd.blocks = bd.single[:]
	return bd
}

// Releaser gets back the memory of a body; Release is called once.
type Releaser interface {
	Release()
}

// New returns a body without content, whose blocks are reused after its last reference has ended.
func New(memory Releaser) *Body {
	bd := &Body{references: 1, memory: memory}
	bd.blocks = bd.single[:0]
	return bd
}

// Append adds a block from NewBlock, all of which is content. It must not be called once the body is read.
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

// Release ends the use of the body by its request; it can't be opened after that. A second call does nothing.
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

// drop ends one reference, and gives the blocks back with the last one.
func (bd *Body) drop() {
	bd.mu.Lock()
	bd.references--
	last, content := bd.references == 0, bd.blocks
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

// reuse returns blocks of BlockBytes to the pool; the others are left to the garbage collector.
func reuse(content [][]byte) {
	for _, block := range content {
		if cap(block) == BlockBytes {
			blocks.Put((*[BlockBytes]byte)(block[:BlockBytes]))
		}
	}
}

// ErrReleased reports that a body was opened after its release, or read after its reader was closed.
var ErrReleased = errors.New("the body was released")

// Reader reads a body once; it must be closed. Close may be called during Read.
type Reader struct {
	body *Body

	mu     sync.Mutex
	at     int
	offset int
	closed bool
}

// Open returns a reader of the whole body. The error is ErrReleased after Release.
func (bd *Body) Open() (*Reader, error) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.released {
		return nil, ErrReleased
	}
	bd.references++
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
