package revision

import (
	"sync"
	"sync/atomic"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// Holder holds the current document, which is replaced only by a newer revision. Reads take no lock.
type Holder struct {
	current   atomic.Pointer[document.Document]
	mu        sync.Mutex
	installed func(*document.Document)
}

// New returns a holder without a document; installed is called with each document that Install makes current.
func New(installed func(*document.Document)) *Holder {
	return &Holder{installed: installed}
}

// Current returns the current document, or nil before the first one is installed.
func (hd *Holder) Current() *document.Document {
	return hd.current.Load()
}

// Revision returns the revision of the current document, or 0 before the first one is installed.
func (hd *Holder) Revision() int64 {
	if current := hd.current.Load(); current != nil {
		return current.Revision
	}
	return 0
}

// Install makes a document current if its revision is higher than the current one, and reports whether it did.
func (hd *Holder) Install(next *document.Document) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if next.Revision <= hd.Revision() {
		return false
	}
	previous := hd.current.Swap(next)
	invariant.Check(previous == nil || previous.Revision < next.Revision, "a document's revision never decreases", "%d", next.Revision)
	hd.installed(next)
	return true
}
