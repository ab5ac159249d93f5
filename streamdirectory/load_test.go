package streamdirectory_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// TestManyStreams replays thousands of streams a second and checks what they cost in memory and calls.
func TestManyStreams(t *testing.T) {
	const perSecond, seconds, count = 400, 40, 77
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		t.Run(fmt.Sprint(len(versions), " versions"), func(t *testing.T) {
			runFleet(t, count, old, func(_ context.Context, fl *fleet) {
				fl.setVersions(versions...)
				for number := range perSecond * seconds {
					fl.directories[fl.names[number%count]].Begin(fmt.Sprint("s", number), "query", 1, upstreamOf(versions[0]))
					time.Sleep(time.Second / perSecond)
				}
				kept := 0
				for _, each := range fl.directories {
					kept = max(kept, each.Len())
				}
				calls := float64(fl.recordCalls()) / seconds / count
				t.Logf("%d streams a second at %d instances: at most %d records, %.1f calls a second at each instance", perSecond, count, kept, calls)
				must.LessEq(t, 2*2*(len(versions)+1)*perSecond*int(2*retention/time.Second)/count, kept)
				must.LessEq(t, float64(2*(len(versions)-1)*perSecond)/count, calls)
			})
		})
	}
}

// BenchmarkBegin measures what the beginning of a stream costs at 77 instances, without the calls.
func BenchmarkBegin(b *testing.B) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprint(len(versions), " versions"), func(b *testing.B) {
			timers := timer.NewManual(time.Unix(1000, 0))
			fl := &fleet{left: map[string]bool{}, versions: versions}
			for at := range 77 {
				fl.names = append(fl.names, fmt.Sprint("i", at))
			}
			directory := streamdirectory.New(streamdirectory.Parts{
				Self: "i0", Fleet: fl, Present: fl.present, Staleness: func() time.Duration { return 0 }, Timers: timers,
				Events: timeline.New("i0", hlc.New(timers), 100, nil),
			})
			directory.Update()
			timers.Advance(old)
			directory.Update()
			upstream, ids := upstreamOf("v1"), make([]string, 4096)
			for at := range ids {
				ids[at] = fmt.Sprint("attempt-", at)
			}
			b.ReportAllocs()
			at := 0
			for b.Loop() {
				directory.Begin(ids[at%len(ids)], "query", 1, upstream)
				at++
			}
		})
	}
}
