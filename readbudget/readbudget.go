package readbudget

import (
	"errors"
	"io"
	"sync"

	"github.com/turmericdoor/turmericdoor/readlimit"
)

// FreeBytes is the size up to which an answer takes nothing from the budget, so that short answers are read even if long
// ones have used it up.
const FreeBytes = 64 << 10

// ErrExhausted reports that other answers have used up the budget.
var ErrExhausted = errors.New("the memory for long answers is used up")

// Budget is the memory for long answers of all calls; it is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	left int64
}

// New returns a budget of a size in bytes.
func New(size int64) *Budget {
	return &Budget{left: size}
}

// Left returns how many bytes are left.
func (bu *Budget) Left() int64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.left
}

// take takes bytes from the budget and reports whether they were left.
func (bu *Budget) take(size int64) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if size > bu.left {
		return false
	}
	bu.left -= size
	return true
}

func (bu *Budget) giveBack(size int64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.left += size
}

// firstBuffer is the size of the first buffer of an answer, in bytes; later buffers are twice as large as the one before.
const firstBuffer = 4 << 10

// All reads an answer completely. The caller calls release when it no longer uses the content; after an error there is
// none, and release does nothing. The error is readlimit.Exceeded if the answer is longer than limit bytes.
func (bu *Budget) All(answer io.Reader, limit int64) (content []byte, release func(), err error) {
	taken := int64(0)
	release = func() { bu.giveBack(taken); taken = 0 }
	content = make([]byte, 0, min(firstBuffer, limit+1))
	for {
		if len(content) == cap(content) {
			size := min(2*int64(cap(content)), limit+1)
			if size > FreeBytes && !bu.take(size-taken) {
				release()
				return nil, release, ErrExhausted
			}
			if size > FreeBytes {
				taken = size
			}
			content = append(make([]byte, 0, size), content...)
		}
		count, failure := answer.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		switch {
		case int64(len(content)) > limit:
			release()
			return nil, release, readlimit.Exceeded{Limit: limit}
		case errors.Is(failure, io.EOF):
			return content, release, nil
		case failure != nil:
			release()
			return nil, release, failure
		}
	}
}

// Share is the part of the budget that one growing buffer takes; it is not safe for concurrent use.
type Share struct {
	budget *Budget
	free   int64
	taken  int64
}

// NewShare returns a share of nothing. A buffer of at most free bytes takes nothing from the budget.
func (bu *Budget) NewShare(free int64) *Share {
	return &Share{budget: bu, free: free}
}

// Resize sets the size of the buffer, in bytes. The error is ErrExhausted, and the share unchanged, if not enough is left.
func (sh *Share) Resize(size int64) error {
	if size <= sh.free {
		size = 0
	}
	if size > sh.taken && !sh.budget.take(size-sh.taken) {
		return ErrExhausted
	}
	if size < sh.taken {
		sh.budget.giveBack(sh.taken - size)
	}
	sh.taken = size
	return nil
}
