package hlc_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/timer"
)

func TestClock(t *testing.T) {
	sv := timer.NewManual(time.Unix(100, 0))
	ck := hlc.New(sv)
	t.Run("readings increase while the wall time is constant", func(t *testing.T) {
		first := ck.Now()
		must.True(t, first.Before(ck.Now()))
	})
	t.Run("a reading is later than an observed timestamp that is ahead", func(t *testing.T) {
		ahead := hlc.Timestamp{WallMicros: time.Unix(160, 0).UnixMicro(), Logical: 4}
		ck.Observe(ahead)
		must.True(t, ahead.Before(ck.Now()))
	})
	t.Run("a timestamp beyond MaxAhead is ignored", func(t *testing.T) {
		ck.Observe(hlc.Timestamp{WallMicros: time.Unix(1e9, 0).UnixMicro()})
		must.Less(t, time.Unix(1000, 0).UnixMicro(), ck.Now().WallMicros)
	})
}
