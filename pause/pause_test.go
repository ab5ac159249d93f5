package pause_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/pause"
	"github.com/turmericdoor/turmericdoor/roster"
)

var (
	start = time.Unix(1000, 0)
	up    = roster.Incarnation{ID: "u", StartUnixMs: 1}
)

func TestPause(t *testing.T) {
	const length = 4 * time.Second
	t.Run("no request is sent until its end", func(t *testing.T) {
		rg := pause.New()
		must.Zero(t, rg.Take(start, up))
		must.True(t, rg.Begin(up, start.Add(length)))
		must.Eq(t, length, rg.Take(start, up))
		must.Eq(t, time.Millisecond, rg.Take(start.Add(length-time.Millisecond), up))
	})
	t.Run("then one at a time, until one has an answer", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		end := start.Add(length)
		must.Zero(t, rg.Take(end, up))
		for after := time.Duration(0); after < time.Second; after += 10 * time.Millisecond {
			must.Positive(t, rg.Take(end.Add(after), up))
		}
		must.True(t, rg.End(end.Add(20*time.Millisecond), up))
		must.Zero(t, rg.Take(end.Add(20*time.Millisecond), up))
		must.Zero(t, rg.Take(end.Add(20*time.Millisecond), up))
	})
	t.Run("an answer that never comes does not keep the upstream out of use", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		must.Zero(t, rg.Take(start.Add(length), up))
		must.Zero(t, rg.Take(start.Add(length+time.Second), up))
	})
	t.Run("the answer to a request that was sent before does not end it", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		must.False(t, rg.End(start.Add(time.Second), up))
		must.Positive(t, rg.Take(start.Add(time.Second), up))
	})
	t.Run("the latest end counts", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		must.False(t, rg.Begin(up, start.Add(time.Second)))
		must.Eq(t, length, rg.Take(start, up))
		must.False(t, rg.Begin(up, start.Add(2*length)))
		must.Eq(t, 2*length, rg.Take(start, up))
	})
	t.Run("a request that tries the upstream may begin another one", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		must.Zero(t, rg.Take(start.Add(length), up))
		rg.Begin(up, start.Add(2*length))
		must.Eq(t, length, rg.Take(start.Add(length), up))
	})
}

func TestForgetting(t *testing.T) {
	const length = 4 * time.Second
	t.Run("another incarnation does not pause", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		must.Zero(t, rg.Take(start, roster.Incarnation{ID: "u", StartUnixMs: 2}))
	})
	t.Run("it is forgotten once it is over and the upstream is gone", func(t *testing.T) {
		rg := pause.New()
		rg.Begin(up, start.Add(length))
		isRegistered := func(roster.Incarnation) bool { return false }
		rg.Prune(start, isRegistered)
		must.MapLen(t, 1, rg.Until(), must.Sprint("its registration may only have lapsed"))
		rg.Prune(start.Add(length), isRegistered)
		must.MapEmpty(t, rg.Until())
	})
}

// TestManyPauses guards against a register that grows with every upstream that ever paused.
func TestManyPauses(t *testing.T) {
	rg := pause.New()
	for at := range 3000 {
		rg.Begin(roster.Incarnation{ID: fmt.Sprint("u", at)}, start.Add(time.Duration(at)*time.Second))
	}
	must.MapLen(t, 1024, rg.Until())
	must.MapContainsKey(t, rg.Until(), roster.Incarnation{ID: "u2999"})
}
