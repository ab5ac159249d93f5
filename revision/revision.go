package revision

import (
	"sync"
	"sync/atomic"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// Holder publishes the document in force; reading takes no lock.
type Holder struct {
	current   atomic.Pointer[document.Document]
	mu        sync.Mutex
	installed func(*document.Document)
}

// New returns a holder without a document; installed is called with each that comes into force.
func New(installed func(*document.Document)) *Holder {
	return &Holder{installed: installed}
}

// Current returns the document in force, or nil before the first one.
func (hd *Holder) Current() *document.Document {
	return hd.current.Load()
}

// Revision returns the revision in force, or 0 before the first one.
func (hd *Holder) Revision() int64 {
	if current := hd.current.Load(); current != nil {
		return current.Revision
	}
	return 0
}

// Install puts a document in force if its revision is higher than the one in force, and reports whether it was.
func (hd *Holder) Install(fresh *document.Document) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if fresh.Revision <= hd.Revision() {
		return false
	}
	before := hd.current.Swap(fresh)
	invariant.Check(before == nil || before.Revision < fresh.Revision, "a revision never reverts", "%d", fresh.Revision)
	hd.installed(fresh)
	return true
}
