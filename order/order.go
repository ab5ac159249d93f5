package order

import (
	"slices"
	"time"
)

// State is what an engine holds, or should hold. Orders state it whole, so that one which arrives twice or
// late changes nothing that a newer one does not set right.
type State struct {
	Model    string
	Adapters []string
}

// Equal reports whether two states are the same.
func (st State) Equal(other State) bool {
	return st.Model == other.Model && slices.Equal(st.Adapters, other.Adapters)
}

// Step is what to do about an engine; Read, Send, Hold and Satisfied are its variants.
type Step interface {
	step()
}

// Read asks for the engine's state.
type Read struct{}

func (Read) step() {}

// Send asks for an order with the lease's number.
type Send struct {
	FencingToken int64
	Desired      State
}

func (Send) step() {}

// Wait asks to look again after a while.
type Wait struct {
	For time.Duration
}

func (Wait) step() {}

// UpToDate says that the engine holds what it should.
type UpToDate struct{}

func (UpToDate) step() {}

// LeaseTerm is the lease under which orders are given. Since is when this holder got it.
type LeaseTerm struct {
	FencingToken int64
	Since        time.Time
	Remaining    time.Duration
}

// CallTimeout is the longest time that an order may take to reach an engine: calls are given up after it.
const CallTimeout = 2 * time.Second

// Reconciler is what a controller knows of one engine; it is not safe for concurrent use.
type Reconciler struct {
	checksFence bool
	wanted      State
	known       State
	readAt      time.Time
	isKnown     bool
	number      int64
}

// New returns an engine of which nothing is known.
func New(checksFence bool, wanted State) *Reconciler {
	return &Reconciler{checksFence: checksFence, wanted: wanted}
}

// SetDesired replaces what the engine should hold.
func (en *Reconciler) SetDesired(wanted State) {
	en.wanted = wanted
}

// RecordState books the engine's answer to a Read.
func (en *Reconciler) RecordState(now time.Time, state State) {
	en.known, en.isKnown, en.readAt = state, true, now
}

// MarkStateUnknown books the end of an order: the engine's state has to be read again.
func (en *Reconciler) MarkStateUnknown() {
	en.isKnown = false
}

// recheckAfter is how long a state that was read is believed.
const recheckAfter = 30 * time.Second

// Next says what to do about the engine under a tenure. An engine that does not check the number could carry
// out an order of the holder before: its longest flight is waited out, and its state is read only then.
func (en *Reconciler) Next(now time.Time, tenure LeaseTerm) Step {
	if tenure.FencingToken != en.number {
		en.number, en.isKnown = tenure.FencingToken, false
	}
	if wait := tenure.Since.Add(CallTimeout).Sub(now); !en.checksFence && wait > 0 {
		return Wait{For: wait}
	}
	if !en.isKnown || now.Sub(en.readAt) > recheckAfter {
		return Read{}
	}
	if en.known.Equal(en.wanted) {
		return UpToDate{}
	}
	// An order must have ended before the lease does.
	if tenure.Remaining <= CallTimeout {
		return Wait{For: CallTimeout}
	}
	return Send{FencingToken: tenure.FencingToken, Desired: en.wanted}
}

// IsUnloaded reports whether the engine holds no model at all, so that its load goes before a change of model.
func (en *Reconciler) IsUnloaded() bool {
	return en.isKnown && en.known.Model == ""
}
