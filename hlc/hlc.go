package hlc

import (
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/timer"
)

// Timestamp is a reading of a Clock: microseconds since 1970 and a counter within one microsecond.
type Timestamp struct {
	WallMicros int64
	Logical    uint32
}

// Before reports whether st sorts before other.
func (st Timestamp) Before(other Timestamp) bool {
	if st.WallMicros != other.WallMicros {
		return st.WallMicros < other.WallMicros
	}
	return st.Logical < other.Logical
}

// Clock is a hybrid logical clock whose readings never go back.
type Clock struct {
	timers *timer.Service
	mu     sync.Mutex
	last   Timestamp
}

// New returns a clock that follows the timer service.
func New(timers *timer.Service) *Clock {
	return &Clock{timers: timers}
}

// Now returns a stamp later than all that were read or observed before.
func (ck *Clock) Now() Timestamp {
	wall := ck.timers.Now().UnixMicro()
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if wall > ck.last.WallMicros {
		ck.last = Timestamp{WallMicros: wall}
	} else {
		ck.last.Logical++
	}
	return ck.last
}

// MaxAhead is how far ahead of this machine's clock a stamp is followed; stamps beyond it are ignored.
const MaxAhead = time.Hour

// Observe makes later readings sort after a stamp that came with a message.
func (ck *Clock) Observe(st Timestamp) {
	wall := ck.timers.Now().UnixMicro()
	if st.WallMicros > wall+MaxAhead.Microseconds() {
		return
	}
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if ck.last.Before(st) {
		ck.last = st
	}
}
