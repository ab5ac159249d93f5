package readbudget

import (
	"errors"
	"sync"
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
	// growing are the answers that are being read and may take more, the one that began to take first at the front.
	growing []*portion
	// changed is closed, and replaced, when an answer that waits may find more.
	changed chan struct{}
}

// New returns a budget of a size in bytes.
func New(size int64) *Budget {
	return &Budget{left: size, changed: make(chan struct{})}
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
	bu.notify()
}

// notify wakes the answers that wait. The caller holds the lock.
func (bu *Budget) notify() {
	close(bu.changed)
	bu.changed = make(chan struct{})
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
