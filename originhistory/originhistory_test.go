package originhistory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/originhistory"
)

var start = time.Unix(1000, 0)

const retention = 30 * time.Second

// present returns versions of a pool as the origins of a pipeline.
func present(versions ...string) map[string][]origin.Origin {
	list := []origin.Origin{}
	for _, version := range versions {
		list = append(list, origin.Origin{Pool: "model", Version: version})
	}
	return map[string][]origin.Origin{"query": list}
}

func TestHistory(t *testing.T) {
	hs := originhistory.New(false)
	must.False(t, hs.IsComplete(start))
	hs.Update(start, retention, present("v1"))
	must.False(t, hs.IsComplete(start.Add(retention-time.Second)))
	must.True(t, hs.IsComplete(start.Add(retention)))
	wave := start.Add(time.Minute)
	hs.Update(wave, retention, present("v1", "v2"))
	must.SliceLen(t, 2, hs.Recent(wave, "query"))
	gone := wave.Add(time.Second)
	hs.Update(gone, retention, present("v2"))
	t.Run("a version that is gone counts as long as its streams may be taken up", func(t *testing.T) {
		must.SliceLen(t, 2, hs.Recent(gone.Add(retention), "query"))
		must.Eq(t, present("v2")["query"], hs.Recent(gone.Add(retention+time.Second), "query"))
	})
	t.Run("a pipeline that moved to another pool has two origins for that time", func(t *testing.T) {
		moved := gone.Add(time.Minute)
		hs.Update(moved, retention, map[string][]origin.Origin{"query": {{Pool: "other", Version: "v2"}}})
		must.SliceLen(t, 2, hs.Recent(moved, "query"))
	})
	t.Run("the history of a fleet that starts for the first time is complete at once", func(t *testing.T) {
		first := originhistory.New(true)
		must.False(t, first.IsComplete(start))
		first.Update(start, retention, present("v1"))
		must.True(t, first.IsComplete(start))
	})
	t.Run("a pipeline without upstreams has none", func(t *testing.T) {
		must.SliceEmpty(t, hs.Recent(gone, "unknown"))
	})
}
