package tombstone_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/tombstone"
)

var start = time.Unix(1000, 0)

func TestSet(t *testing.T) {
	up := roster.Incarnation{ID: "u", StartUnixMs: 7}
	t.Run("an end is news once, and kept until its registration is gone", func(t *testing.T) {
		st := tombstone.New()
		must.True(t, st.Add(start, up))
		must.False(t, st.Add(start, up))
		st.Expire(start.Add(59 * time.Second))
		must.Eq(t, []roster.Incarnation{up}, st.All())
		st.Expire(start.Add(61 * time.Second))
		must.SliceEmpty(t, st.All())
	})
	t.Run("a message carries each end a few times", func(t *testing.T) {
		st := tombstone.New()
		st.Add(start, up)
		for range 16 {
			must.SliceLen(t, 1, st.TakeNews())
		}
		must.SliceEmpty(t, st.TakeNews())
	})
	t.Run("their number is bounded, also in a message", func(t *testing.T) {
		st := tombstone.New()
		for number := range 3000 {
			st.Add(start.Add(time.Duration(number)), roster.Incarnation{ID: fmt.Sprint(number)})
		}
		must.SliceLen(t, 1024, st.All())
		must.SliceContains(t, st.All(), roster.Incarnation{ID: "2999"})
		must.SliceLen(t, 64, st.TakeNews())
	})
}
