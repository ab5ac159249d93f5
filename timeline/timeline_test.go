package timeline_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// newRing returns a ring and its clock, which stands at the given Unix time.
func newRing(name string, seconds int64, size int64) (*timeline.Ring, *hlc.Clock) {
	ck := hlc.New(timer.NewManual(time.Unix(seconds, 0)))
	return timeline.New(name, ck, size, nil), ck
}

func TestCauseBeforeEffect(t *testing.T) {
	ahead, aheadClock := newRing("ahead", 2000, 8)
	behind, behindClock := newRing("behind", 1000, 8)
	ahead.Record(&wire.Event{Detail: "cause"})
	behindClock.Observe(aheadClock.Now())
	behind.Record(&wire.Event{Detail: "effect"})
	all := append(behind.Select(&wire.FetchEventsRequest{}), ahead.Select(&wire.FetchEventsRequest{})...)
	timeline.Sort(all)
	must.Eq(t, "cause", all[0].GetDetail())
	must.Eq(t, "effect", all[1].GetDetail())
}

func TestSelect(t *testing.T) {
	rg, _ := newRing("a", 1000, 4)
	for _, id := range []string{"r1", "r2", "r1", "r3", "r1"} {
		rg.Record(&wire.Event{RequestId: id, Kind: wire.EventKind_EventRequestArrived})
	}
	must.Eq(t, 1, rg.Overwritten())
	must.Len(t, 2, rg.Select(&wire.FetchEventsRequest{RequestId: "r1"}))
	must.Len(t, 4, rg.Select(&wire.FetchEventsRequest{Kind: "RequestArrived"}))
	must.Len(t, 1, rg.Select(&wire.FetchEventsRequest{Limit: 1}))
}
