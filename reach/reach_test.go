package reach_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/reach"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// cutOff returns the tracker of an instance that is cut off.
func cutOff() *reach.Tracker {
	tr := reach.New()
	tr.ReachedByOther(start, "a")
	tr.ReachedByOther(start, "b")
	return tr
}

func TestTracker(t *testing.T) {
	t.Run("two upstreams that only others reach: cut off", func(t *testing.T) {
		tr := reach.New()
		tr.ReachedByOther(start, "a")
		must.False(t, tr.IsCutOff())
		tr.ReachedByOther(after(100), "b")
		must.True(t, tr.IsCutOff())
		must.True(t, tr.PrefersOthers(after(200), "c"))
	})
	t.Run("one upstream, however often: connected to through others for a time, then tried once", func(t *testing.T) {
		tr := reach.New()
		for ms := range 5 {
			tr.ReachedByOther(after(ms), "a")
		}
		must.False(t, tr.IsCutOff())
		must.True(t, tr.PrefersOthers(after(1000), "a"))
		must.False(t, tr.PrefersOthers(after(1000), "b"))
		must.False(t, tr.PrefersOthers(after(2100), "a"))
		must.True(t, tr.PrefersOthers(after(2200), "a"))
	})
	t.Run("some upstreams are reached: not cut off", func(t *testing.T) {
		tr := reach.New()
		for ms := 0; ms < 2000; ms += 100 {
			tr.Connected(after(ms), "c")
			tr.ReachedByOther(after(ms), "a")
			tr.ReachedByOther(after(ms), "b")
		}
		must.False(t, tr.IsCutOff())
		must.True(t, tr.HasConnected(after(2000)))
	})
	t.Run("evidence is forgotten", func(t *testing.T) {
		tr := reach.New()
		tr.ReachedByOther(start, "a")
		tr.ReachedByOther(after(5000), "b")
		must.False(t, tr.IsCutOff())
	})
	t.Run("two connections in a row end the cut", func(t *testing.T) {
		tr := cutOff()
		tr.Connected(after(500), "a")
		tr.Failed()
		tr.Connected(after(1000), "a")
		must.True(t, tr.IsCutOff())
		must.False(t, tr.HasConnected(after(1000)))
		tr.Connected(after(1001), "b")
		must.False(t, tr.IsCutOff())
		must.False(t, tr.PrefersOthers(after(1002), "a"))
	})
}
