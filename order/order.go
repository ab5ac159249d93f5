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
	Fence  int64
	Wanted State
}

func (Send) step() {}

// Hold asks to look again after a while.
type Hold struct {
	For time.Duration
}

func (Hold) step() {}

// Satisfied says that the engine holds what it should.
type Satisfied struct{}

func (Satisfied) step() {}

// Tenure is the lease under which orders are given. Since is when this holder got it.
type Tenure struct {
	Number    int64
	Since     time.Time
	Remaining time.Duration
}

// MaxFlight is the longest time that an order may take to reach an engine: calls are given up after it.
const MaxFlight = 2 * time.Second

// Engine is what a controller knows of one engine; it is not safe for concurrent use.
type Engine struct {
	checksFence bool
	wanted      State
	known       State
	readAt      time.Time
	isKnown     bool
	number      int64
}

// New returns an engine of which nothing is known.
func New(checksFence bool, wanted State) *Engine {
	return &Engine{checksFence: checksFence, wanted: wanted}
}

// Want replaces what the engine should hold.
func (en *Engine) Want(wanted State) {
	en.wanted = wanted
}

// ReadDone books the engine's answer to a Read.
func (en *Engine) ReadDone(now time.Time, state State) {
	en.known, en.isKnown, en.readAt = state, true, now
}

// SendDone books the end of an order: the engine's state has to be read again.
func (en *Engine) SendDone() {
	en.isKnown = false
}

// recheckAfter is how long a state that was read is believed.
const recheckAfter = 30 * time.Second

// Next says what to do about the engine under a tenure. An engine that does not check the number could carry
// out an order of the holder before: its longest flight is waited out, and its state is read only then.
func (en *Engine) Next(now time.Time, tenure Tenure) Step {
	if tenure.Number != en.number {
		en.number, en.isKnown = tenure.Number, false
	}
	if wait := tenure.Since.Add(MaxFlight).Sub(now); !en.checksFence && wait > 0 {
		return Hold{For: wait}
	}
	if !en.isKnown || now.Sub(en.readAt) > recheckAfter {
		return Read{}
	}
	if en.known.Equal(en.wanted) {
		return Satisfied{}
	}
	// An order must have ended before the lease does.
	if tenure.Remaining <= MaxFlight {
		return Hold{For: MaxFlight}
	}
	return Send{Fence: tenure.Number, Wanted: en.wanted}
}

// Recovers reports whether the engine holds no model at all, so that its load goes before a change of model.
func (en *Engine) Recovers() bool {
	return en.isKnown && en.known.Model == ""
}
