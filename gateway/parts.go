package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/roster"
)

// successAfter is how long after its first byte an answer shows that the request does not crash its upstream, which happens
// as the upstream begins to write. A crash later than that has another cause.
const successAfter = 500 * time.Millisecond

// errPartBlocked is the cancellation cause of a request of which a part was blocked before its answer began.
var errPartBlocked = errors.New("a part of the prompt crashes upstreams")

// promptRuns are the requests in flight whose prompt has shared parts; it is safe for concurrent use.
type promptRuns struct {
	mu   sync.Mutex
	runs map[*run]context.CancelCauseFunc
}

func newPromptRuns() *promptRuns {
	return &promptRuns{runs: map[*run]context.CancelCauseFunc{}}
}

// add adds a request with the function that cancels it, and returns the function that removes it.
func (pr *promptRuns) add(rn *run, cancel context.CancelCauseFunc) func() {
	if len(rn.parts) == 0 {
		return func() {}
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.runs[rn] = cancel
	return func() {
		pr.mu.Lock()
		defer pr.mu.Unlock()
		delete(pr.runs, rn)
	}
}

// PartsBlocked ends the requests in flight that have one of the parts and no answer yet.
func (gw *Gateway) PartsBlocked(parts []poison.Part) {
	gw.inFlight.mu.Lock()
	defer gw.inFlight.mu.Unlock()
	for rn, cancel := range gw.inFlight.runs {
		isBlocked := slices.ContainsFunc(parts, func(part poison.Part) bool { return slices.Contains(rn.parts, part) })
		if isBlocked && !rn.isTrial && !rn.isAnswering.Load() {
			cancel(errPartBlocked)
		}
	}
}

// checkParts returns the outcome of a request of which a part is blocked, or nil.
func (rn *run) checkParts() Outcome {
	if status, _ := rn.Crashes.PartStatus(rn.parts); status != poison.Blocked || rn.isTrial {
		return nil
	}
	return rn.blockedOutcome()
}

// blockedOutcome returns the outcome of a request of which a part is blocked.
func (rn *run) blockedOutcome() Outcome {
	_, part := rn.Crashes.PartStatus(rn.parts)
	detail := fmt.Sprintf("part=%s parts=%s", part, rn.request.Prompt.sharedIDs())
	if rn.audit.Executions() == 0 {
		return rn.refuse(0, CrashesUpstreams, detail)
	}
	rn.detail = detail
	return Failed{Cause: errPartBlocked.Error()}
}

// pinSuspect confines requests with a suspect part to one upstream, so that those in flight at the same time crash only one.
func (rn *run) pinSuspect(criteria placement.Criteria) placement.Criteria {
	if status, part := rn.Crashes.PartStatus(rn.parts); status != poison.Clear {
		criteria.Pinned, criteria.Session = true, uint64(part)|1
	}
	return criteria
}

// hasSuspectPart reports whether a part of the prompt may crash upstreams, so that the request is not sent again.
func (rn *run) hasSuspectPart() bool {
	status, _ := rn.Crashes.PartStatus(rn.parts)
	return status != poison.Clear || rn.isTrial
}

// isCrashCause reports whether a crash of the upstream now may be due to the attempt.
func (at *attempt) isCrashCause() bool {
	return len(at.run.parts) > 0 && (!at.gotFirstByte || at.run.Timers.Now().Sub(at.firstByteAt) < successAfter)
}

// reportLastingAnswer reports the success of the prompt's parts once the answer has lasted for successAfter.
func (at *attempt) reportLastingAnswer() {
	if at.gotFirstByte && at.run.Timers.Now().Sub(at.firstByteAt) >= successAfter {
		at.reportPartsSuccess()
	}
}

// reportPartsSuccess reports the success of the prompt's parts, once for each attempt.
func (at *attempt) reportPartsSuccess() {
	if at.reportedSuccess || len(at.run.parts) == 0 {
		return
	}
	at.reportedSuccess = true
	at.run.Crashes.ReportPartsSuccess(at.run.parts)
}

// hashIncarnation identifies an incarnation in reports of crashes.
func hashIncarnation(incarnation roster.Incarnation) uint64 {
	return xxhash.Sum64String(fmt.Sprint(incarnation.ID, "/", incarnation.StartUnixMs))
}
