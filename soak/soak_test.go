package soak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	firstSeed   = flag.Uint64("seed", 1, "seed of the first run")
	seedCount   = flag.Int("seeds", 1, "number of runs")
	runTime     = flag.Duration("time", 8*time.Second, "length of a run")
	regressions = flag.Bool("regressions", false, "run the seeds that once failed, too")
)

// regressionSeeds are the seeds that once failed, each with the cause. A seed repeats the upstreams' answers and the order of
// the faults, but not the timing.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "an error response to a resumed stream was appended, and the stream ended as complete"},
	{2, "a resumed stream that began again with its first event was appended"},
	{3, "a stream without length that ended inside an event was passed on as complete"},
	{4, "the incomplete event of an attempt without a complete one was put before the next attempt's events"},
	{5, "a stream that broke off ended like a complete one for a caller with HTTP/1.0"},
	{2341, "an instance that was frozen while a record was corrected took a stream for one of the version of its first send"},
	{2317, "a stream that had moved to another version before its first event was taken up at the version of its first send"},
}

// maxPrinted is the maximum number of violations in a failure message, one of each kind.
const maxPrinted = 12

// keptFolder holds the logs of the instances and all violations of the seeds that failed.
const keptFolder = "../build/fault-soak"

// keep copies the instances' logs of a failed seed and writes its violations beside them.
func (fl *fleet) keep(t *testing.T, seed uint64, summary string) {
	t.Helper()
	folder := filepath.Join(keptFolder, fmt.Sprintf("seed-%d", seed))
	must.NoError(t, os.RemoveAll(folder))
	must.NoError(t, os.CopyFS(folder, os.DirFS(fl.folder)))
	text := summary + "\n" + strings.Join(fl.ledger.violations, "\n") + "\n"
	must.NoError(t, os.WriteFile(filepath.Join(folder, "violations"), []byte(text), 0o600))
}

// runSeed runs the fleet under random faults and fails the test on any violation, or if no request was answered.
func runSeed(t *testing.T, seed uint64, binary string) {
	fl := newFleet(t, seed, binary)
	ctx, cancel := context.WithTimeout(context.Background(), *runTime)
	defer cancel()
	counts, callers := &sync.Map{}, sync.WaitGroup{}
	for number := range 12 {
		callers.Go(func() { fl.sendRequests(ctx, number, counts) })
	}
	callers.Go(func() { fl.watchMemory(ctx) })
	callers.Go(func() { fl.sendBadParts(ctx) })
	callers.Go(func() { fl.storeComesBackOlder(ctx) })
	callers.Go(func() { fl.cutReaders(ctx, seed) })
	callers.Go(func() { fl.sendLateRequests(ctx) })
	callers.Go(func() { fl.evacuate(ctx, seed) })
	callers.Go(func() { fl.startCold(ctx, seed) })
	callers.Go(func() { fl.takeKeysAway(ctx, seed) })
	callers.Go(func() { fl.tryKeys(ctx) })
	callers.Go(func() { fl.stopFrozen(ctx, seed) })
	for number := range uploaders {
		callers.Go(func() { fl.sendUploads(ctx, number, counts) })
	}
	time.Sleep(time.Second)
	for _, id := range standingUpstreams {
		fl.upstreams[id].leave()
	}
	for ctx.Err() == nil {
		fl.injectFault(ctx)
	}
	callers.Wait()
	fl.checkBadParts()
	fl.ledger.checkFalls()
	for _, wrong := range fl.ledger.checkLimits() {
		fl.ledger.violation("%s", wrong)
	}
	byStatus := map[string]int{}
	counts.Range(func(status, count any) bool { byStatus[fmt.Sprint(status)] = *count.(*int); return true })
	summary, _ := json.Marshal(byStatus)
	fl.ledger.mu.Lock()
	defer fl.ledger.mu.Unlock()
	played, _ := json.Marshal(fl.ledger.played)
	text := fmt.Sprintf("seed %d: answers by status %s, %d runs, responses by kind %s; endless ones were open for %v and sent up to %v bytes; instances used up to %d MB; "+
		"a part crashed %d upstreams, %d requests with it reached upstreams; most requests in %v at upstreams with a limit %v; streams taken up, by status: %v; a brittle upstream rejected up to %d in a second and fell over %d times; %d instances told that upstreams are leaving, of which %d requests arrived; %d requests came late in a stop; cold upstreams got up to %v requests in a second; %d calls reached evacuated failure domains late; %d stops of frozen instances, %d requests with keys that may not be used",
		seed, summary, len(fl.ledger.runs), played, fl.ledger.longest, fl.ledger.most, fl.ledger.memoryMB, len(fl.ledger.crashes), len(fl.ledger.crashers),
		limitWindow, fl.ledger.limits.most, fl.ledger.takenUp, fl.ledger.brittle.most, fl.ledger.brittle.falls, len(fl.ledger.told), fl.ledger.toldArrivals, fl.ledger.late, fl.ledger.coldMost, fl.ledger.lateEvacuated, fl.ledger.frozenStops, fl.ledger.keyProbes)
	t.Log(text)
	if len(fl.ledger.violations) > 0 {
		fl.keep(t, seed, text)
	}
	first := slices.Sorted(maps.Values(fl.ledger.examples))
	first = first[:min(len(first), maxPrinted)]
	must.SliceEmpty(t, fl.ledger.violations, must.Sprintf("seed %d: %d violations, the first of each kind: %s",
		seed, len(fl.ledger.violations), strings.Join(first, "; ")))
	must.Positive(t, byStatus["200"], must.Sprint("no request was answered with status 200"))
}

// TestFaultSoak runs the fleet under random faults, once for each seed; with -regressions first for the seeds that once failed.
func TestFaultSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "turmericdoor")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/turmericdoor").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	if *regressions {
		for _, each := range regressionSeeds {
			t.Run(fmt.Sprintf("regression seed %d", each.seed), func(t *testing.T) {
				t.Log(each.cause)
				runSeed(t, each.seed, binary)
			})
		}
	}
	for at := range *seedCount {
		seed := *firstSeed + uint64(at)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed, binary) })
	}
}
