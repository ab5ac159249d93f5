package storeclock_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/storeclock"
)

// start is a local time at which the store's clock reads startReading.
var start = time.Unix(5000, 0)

const startReading = 90 * time.Second

// local returns the local time of a reading.
func local(t *testing.T, cl *storeclock.Clock, now time.Time, reading time.Duration) time.Time {
	t.Helper()
	at, known := cl.Local(now, reading)
	must.True(t, known)
	return at
}

func TestClock(t *testing.T) {
	t.Run("nothing is known before the first answer", func(t *testing.T) {
		cl := storeclock.New()
		_, known := cl.Local(start, startReading)
		must.False(t, known)
		must.Eq(t, time.Duration(0), cl.Reading(start))
	})
	t.Run("an answer that took long is as old as its reading", func(t *testing.T) {
		cl := storeclock.New()
		cl.Observe(start, startReading)
		late := start.Add(3 * time.Second)
		cl.Observe(late, startReading+100*time.Millisecond)
		age := late.Sub(local(t, cl, late, startReading+100*time.Millisecond))
		must.Between(t, 2700*time.Millisecond, age, 2900*time.Millisecond)
	})
	t.Run("a quicker answer corrects the estimate at once", func(t *testing.T) {
		cl := storeclock.New()
		cl.Observe(start.Add(time.Second), startReading)
		cl.Observe(start.Add(2*time.Second), startReading+2*time.Second)
		must.Eq(t, start, local(t, cl, start.Add(time.Minute), startReading))
		must.Eq(t, startReading, cl.Reading(start))
	})
	t.Run("a store whose clock starts anew is believed at its first answer", func(t *testing.T) {
		cl := storeclock.New()
		cl.Observe(start, startReading)
		later := start.Add(10 * time.Second)
		cl.Observe(later, time.Second)
		must.Eq(t, later, local(t, cl, later, time.Second))
		_, known := cl.Local(later, startReading)
		must.False(t, known, must.Sprint("a reading of the clock before is in the future"))
	})
	t.Run("a clock that stands still is none, until it goes on", func(t *testing.T) {
		cl := storeclock.New()
		for second := range 4 {
			cl.Observe(start.Add(time.Duration(second)*time.Second), startReading)
		}
		must.False(t, cl.IsKnown())
		must.Eq(t, time.Duration(0), cl.Reading(start))
		cl.Observe(start.Add(5*time.Second), startReading+time.Second)
		must.True(t, cl.IsKnown())
	})
	t.Run("a reading a little ahead of the estimate is that of now", func(t *testing.T) {
		cl := storeclock.New()
		cl.Observe(start, startReading)
		must.Eq(t, start, local(t, cl, start, startReading+100*time.Millisecond))
	})
}
