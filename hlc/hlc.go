package hlc

import (
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/timer"
)

// Timestamp is a reading of a Clock: Unix microseconds and a counter that orders readings of the same microsecond.
type Timestamp struct {
	WallMicros int64
	Logical    uint32
}

// Before reports whether st is earlier than other.
func (st Timestamp) Before(other Timestamp) bool {
	if st.WallMicros != other.WallMicros {
		return st.WallMicros < other.WallMicros
	}
	return st.Logical < other.Logical
}

// Clock is a hybrid logical clock, whose readings strictly increase; it is safe for concurrent use.
type Clock struct {
	timers *timer.Service
	mu     sync.Mutex
	last   Timestamp
}

// New returns a clock that takes the wall time from timers.
func New(timers *timer.Service) *Clock {
	return &Clock{timers: timers}
}

// Now returns a timestamp later than all that were returned or observed before.
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

// MaxAhead is how far an observed timestamp may be ahead of the local wall time; Observe ignores later ones.
const MaxAhead = time.Hour

// Observe makes all later readings later than a received timestamp.
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
