package soak_test

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ledger records which requests upstreams ran and which ones the system answered as not run.
type ledger struct {
	mu sync.Mutex
	// arrivals counts the sends of a request by its id, runs those that an upstream ran.
	arrivals map[string]int
	runs     map[string]int
	// notRun is the status of an answer saying that the request did not run, by request id.
	notRun map[string]int
	// junk holds the ids of requests that an upstream answered with a body of junk without end.
	junk map[string]bool
	// played counts the responses of upstreams and of the store by their kind, answers lists them by request id.
	played  map[string]int
	answers map[string][]string
	// longest is the longest time and most the most bytes of an endless answer, by its kind.
	longest map[string]time.Duration
	most    map[string]int
	// memoryMB is the largest resident set of an instance.
	memoryMB int
	// crashes is when upstreams crashed because of a part of a prompt, crashers when such requests reached them, by instance.
	crashes  []time.Time
	crashers []arrival
	// limits is what upstreams with a limit received, takenUp counts the statuses of answers to callers who took up a stream.
	limits     *limitLedger
	takenUp    map[string]int
	violations []string
	brittle    brittle
	// evacuated is when the evacuation in force of a failure domain was written, or zero.
	evacuated [2]time.Time
	// lateEvacuated counts the calls that reached upstreams of evacuated failure domains after the bound, those of disturbed instances, too.
	lateEvacuated int
	// cold holds the requests of the last second at cold upstreams, coldMost the most that one got in a second.
	cold     map[string][]time.Time
	coldMost map[string]int
	// began is when the run began.
	began time.Time
	// examples holds the first violation of each kind.
	examples map[string]string
	// isUndisturbed reports whether an instance's process ran for newsBound.
	isUndisturbed func(instance int) bool
	// lastFault returns when an instance's process was last ended, started, paused or woken.
	lastFault func(instance int) time.Time
	// told is when instances first passed on that an upstream is leaving.
	told map[toldKey]time.Time
	// late counts the requests that were sent late in a stop.
	late int
	// keyGone is set while the callers' key is taken away, keyBack is when it was last given back.
	keyGone bool
	keyBack time.Time
	// frozenStops counts the stops of frozen instances, keyProbes the requests with keys that may not be used.
	frozenStops int
	keyProbes   int
	// toldArrivals counts the requests of such instances that reached those upstreams, at any time.
	toldArrivals int
}

func newLedger() *ledger {
	return &ledger{
		began:    time.Now(),
		arrivals: map[string]int{}, runs: map[string]int{}, notRun: map[string]int{}, junk: map[string]bool{}, played: map[string]int{},
		answers: map[string][]string{}, longest: map[string]time.Duration{}, most: map[string]int{}, examples: map[string]string{},
		limits: newLimitLedger(), told: map[toldKey]time.Time{}, takenUp: map[string]int{},
		cold: map[string][]time.Time{}, coldMost: map[string]int{},
	}
}

// violation records a violation; its kind is the format.
func (lg *ledger) violation(format string, args ...any) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	lg.violations = append(lg.violations, text)
	if lg.examples[format] == "" {
		lg.examples[format] = text
	}
}

func (lg *ledger) recordPlayed(id, kind string) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.played[kind]++
	lg.answers[id] = append(lg.answers[id], kind)
}

// recordEndless records how long an endless answer was open and how many bytes of it were sent.
func (lg *ledger) recordEndless(kind string, length time.Duration, bytes int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.longest[kind] = max(lg.longest[kind], length.Round(time.Millisecond))
	lg.most[kind] = max(lg.most[kind], bytes)
}

func (lg *ledger) recordMemory(peak int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.memoryMB = max(lg.memoryMB, peak)
}

// answersTo returns the kinds of the upstreams' answers to a request.
func (lg *ledger) answersTo(id string) []string {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return slices.Clone(lg.answers[id])
}

// recordArrival counts a send of a request and returns its number, from 1.
func (lg *ledger) recordArrival(id string) int {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.arrivals[id]++
	return lg.arrivals[id]
}

func (lg *ledger) recordJunk(id string) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.junk[id] = true
}

func (lg *ledger) hasJunk(id string) bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.junk[id]
}

// recordRun records a run. More runs than the limit are a violation; if the request may run at most once, so is a run
// after its caller was told that it did not run.
func (lg *ledger) recordRun(id string, limit int) {
	lg.mu.Lock()
	lg.runs[id]++
	runs, status := lg.runs[id], lg.notRun[id]
	lg.mu.Unlock()
	if runs > limit {
		lg.violation("request %s ran %d times", id, runs)
	}
	if limit == 1 && status > 0 {
		lg.violation("request %s ran after it was answered with %d", id, status)
	}
}

// recordNotRun records an answer by which the system tells the caller that the request did not run.
func (lg *ledger) recordNotRun(id string, status int, once bool) {
	lg.mu.Lock()
	lg.notRun[id] = status
	runs := lg.runs[id]
	lg.mu.Unlock()
	if once && runs > 0 {
		lg.violation("request %s was answered with %d but had run", id, status)
	}
}
