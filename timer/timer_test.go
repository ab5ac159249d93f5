package timer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/timer"
)

func TestManual(t *testing.T) {
	start := time.Unix(1000, 0)
	sv := timer.NewManual(start)
	ch := sv.After(2 * time.Second)
	sv.Advance(time.Second)
	must.Eq(t, 0, len(ch))
	sv.Advance(time.Second)
	must.Eq(t, start.Add(2*time.Second), <-ch)
	must.Eq(t, start.Add(2*time.Second), sv.Now())
}
