package entry_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// ageOf returns the age of the configuration of an instance by its metrics, in seconds.
func ageOf(nd *node) float64 {
	text, age := &strings.Builder{}, math.NaN()
	nd.entry.Metrics().Write(text)
	for line := range strings.Lines(text.String()) {
		if value, is := strings.CutPrefix(line, fmt.Sprintf("turmericdoor_table_age_seconds{table=%q} ", configurations)); is {
			_, _ = fmt.Sscan(value, &age)
		}
	}
	return age
}

// TestAgeOfAReplicaThatWasNeverUpToDate guards against a table that counts as up to date for ever, since another instance that has never
// been up to date states an age of centuries.
func TestAgeOfAReplicaThatWasNeverUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		os := newOlderStore(2)
		defer os.fleet.stop()
		nd := os.fleet.live()[0]
		from := &wire.Member{Id: "x", Address: "x"}
		reply, err := nd.entry.Peer().Exchange(t.Context(), &wire.Heartbeat{Sender: from, Stamp: &wire.Stamp{}})
		must.NoError(t, err)
		versions := reply.GetVersions()
		for _, version := range versions {
			version.AgeMs, version.StoreMs = math.MaxInt64/time.Millisecond.Nanoseconds(), 0
		}
		_, err = nd.entry.Peer().Exchange(t.Context(), &wire.Heartbeat{Sender: from, Stamp: &wire.Stamp{}, Versions: versions})
		must.NoError(t, err)
		must.GreaterEq(t, 0, ageOf(nd))
	})
}
