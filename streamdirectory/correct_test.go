package streamdirectory_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/streamdirectory"
)

// TestSilentKeeperHasTheVersionOfTheFirstSend guards against an instance that was frozen while a record was corrected, and then
// takes the stream for one of the version of its first send.
func TestSilentKeeperHasTheVersionOfTheFirstSend(t *testing.T) {
	for name, between := range map[string]time.Duration{
		"whose first record is on its way": 0,
		"that has the first record":        100 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			wrong := []string{}
			runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
				fl.setVersions("v1", "v2")
				directory := fl.directories["i0"]
				directory.Begin("a", "query", 1, upstreamOf("v1"))
				time.Sleep(between)
				fl.setSilent(true)
				directory.Begin("a", "query", 2, upstreamOf("v2"))
				directory.AwaitCorrection(ctx, "a")
				fl.setSilent(false)
				time.Sleep(100 * time.Millisecond)
				for _, name := range fl.names[1:] {
					result, is := fl.directories[name].Find(ctx, "a", "query").(streamdirectory.Found)
					if !is || result.Origin.Version != "v2" {
						wrong = append(wrong, name)
					}
				}
			})
			must.SliceEmpty(t, wrong, must.Sprint("instances that do not find the version: ", wrong))
		})
	}
}

// setSilent makes all instances but i0 answer no more, or answer again.
func (fl *fleet) setSilent(silent bool) {
	fl.change(func() {
		for _, name := range fl.names[1:] {
			fl.silent[name] = silent
		}
	})
}
