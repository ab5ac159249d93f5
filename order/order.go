package order

import (
	"slices"
	"time"
)

// State is the model and adapters that an engine has loaded or should load. An order always carries the complete
// state, so that the next order corrects the effect of one that arrived twice or late.
type State struct {
	Model    string
	Adapters []string
}

// Equal reports whether two states have the same model and the same adapters in the same order.
func (st State) Equal(other State) bool {
	return st.Model == other.Model && slices.Equal(st.Adapters, other.Adapters)
}

// Step is the next action for an engine. It is sealed: its variants are Read, Send, Wait and UpToDate.
type Step interface {
	step()
}

// Read tells the caller to read the engine's state and pass it to RecordState.
type Read struct{}

func (Read) step() {}

// Send tells the caller to order the engine to load Desired, with the lease's fencing token.
type Send struct {
	FencingToken int64
	Desired      State
}

func (Send) step() {}

// Wait tells the caller to do nothing for the engine now, and to call Next again after the time For.
type Wait struct {
	For time.Duration
}

func (Wait) step() {}

// UpToDate tells the caller that the engine has loaded the desired state, so that there is nothing to do.
type UpToDate struct{}

func (UpToDate) step() {}

// LeaseTerm is the term of the lease under which orders are sent. Since is when this instance became the holder, and
// Remaining how long the lease still lasts.
type LeaseTerm struct {
	FencingToken int64
	Since        time.Time
	Remaining    time.Duration
}

// CallTimeout is the timeout of a call to an engine, and so the longest time that an order may take to arrive.
const CallTimeout = 2 * time.Second

// Reconciler brings one engine to its desired state; it is not safe for concurrent use.
type Reconciler struct {
	checksFence  bool
	desired      State
	observed     State
	readAt       time.Time
	isKnown      bool
	fencingToken int64
}

// New returns a reconciler for an engine in an unknown state; checksFence says whether the engine rejects orders with
// an old fencing token.
func New(checksFence bool, desired State) *Reconciler {
	return &Reconciler{checksFence: checksFence, desired: desired}
}

// SetDesired replaces the desired state.
func (rc *Reconciler) SetDesired(desired State) {
	rc.desired = desired
}

// RecordState records the state that a Read returned at now.
func (rc *Reconciler) RecordState(now time.Time, state State) {
	rc.observed, rc.isKnown, rc.readAt = state, true, now
}

// MarkStateUnknown must be called after each order; the next step is then a Read.
func (rc *Reconciler) MarkStateUnknown() {
	rc.isKnown = false
}

// recheckInterval is the age at which a state is read again.
const recheckInterval = 30 * time.Second

// Next returns the next step under a lease term. An engine that does not check fencing tokens may still carry out an
// order of the previous holder, so its state is read only CallTimeout after the term began.
func (rc *Reconciler) Next(now time.Time, term LeaseTerm) Step {
	if term.FencingToken != rc.fencingToken {
		rc.fencingToken, rc.isKnown = term.FencingToken, false
	}
	if wait := term.Since.Add(CallTimeout).Sub(now); !rc.checksFence && wait > 0 {
		return Wait{For: wait}
	}
	if !rc.isKnown || now.Sub(rc.readAt) > recheckInterval {
		return Read{}
	}
	if rc.observed.Equal(rc.desired) {
		return UpToDate{}
	}
	// The order must have arrived or timed out before the lease expires.
	if term.Remaining <= CallTimeout {
		return Wait{For: CallTimeout}
	}
	return Send{FencingToken: term.FencingToken, Desired: rc.desired}
}

// IsUnloaded reports whether the engine is known to have no model loaded; such engines are loaded before others change
// their model.
func (rc *Reconciler) IsUnloaded() bool {
	return rc.isKnown && rc.observed.Model == ""
}
