package timer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/timer"
)

// TestOrder guards against limits that begin or end at the wrong one of two times.
func TestOrder(t *testing.T) {
	first := time.Unix(1000, 0)
	second := first.Add(time.Nanosecond)
	must.Eq(t, first, timer.Earlier(first, second))
	must.Eq(t, first, timer.Earlier(second, first))
	must.Eq(t, second, timer.Later(first, second))
	must.Eq(t, second, timer.Later(second, first))
}
