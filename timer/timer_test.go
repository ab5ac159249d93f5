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

func TestAfterNoTime(t *testing.T) {
	for name, sv := range map[string]*timer.Service{"system clock": timer.New(), "manual clock": timer.NewManual(time.Unix(1000, 0))} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, 1, len(sv.After(0)))
			must.Eq(t, 1, len(sv.After(-time.Second)))
		})
	}
}
