package gather

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// outcomeDetail returns why a call failed, or how many of its items have no result for which reason.
func outcomeDetail(outcome Outcome) string {
	switch outcome := outcome.(type) {
	case Ran:
		return reasonCounts(outcome)
	case NotSent:
		return outcome.Cause
	case Limited:
		return fmt.Sprintf("retryafter=%dms", outcome.RetryAfter.Milliseconds())
	case Lost:
		return outcome.Cause
	case NotRun:
	}
	return ""
}

func reasonCounts(ran Ran) string {
	counts := map[Reason]int{}
	for _, one := range ran.Results {
		if one.Reason != ReasonNone {
			counts[one.Reason]++
		}
	}
	detail := ""
	for _, reason := range []Reason{ReasonLate, ReasonInputGone, ReasonNoRoom, ReasonError} {
		if counts[reason] > 0 {
			detail += fmt.Sprintf("%s=%d ", reason, counts[reason])
		}
	}
	return strings.TrimSpace(detail)
}

// outcomeName returns the name of an outcome in events.
func outcomeName(outcome Outcome) string {
	switch outcome.(type) {
	case Ran:
		return "Ran"
	case NotRun:
		return "NotRun"
	case NotSent:
		return "NotSent"
	case Limited:
		return "Limited"
	case Lost:
		return "Lost"
	}
	return ""
}

// recordResults enters the results of a call and frees those of jobs that have ended.
func (qu *queue) recordResults(up *roster.Upstream, items []batch.Item, results []ItemResult, end *batch.CallResult) {
	unclaimed := []string{}
	for index, item := range items {
		one := results[index]
		pending := qu.jobs[item.GroupID]
		switch {
		case one.Reason == ReasonNone && pending == nil:
			unclaimed = append(unclaimed, one.Handle)
		case one.Reason == ReasonNone:
			one.FailureDomain = up.FailureDomain
			pending.results[item.Index] = one
			pending.missingResults--
			end.Results[item] = one.Handle
			qu.trackResult(one.Handle, up.ID)
		case pending == nil:
		case one.Reason == ReasonNoRoom:
			end.Outcome = batch.OutcomeFull
			end.Failed = append(end.Failed, item)
		case one.Reason == ReasonError && pending.failedItems < maxFailedItems:
			pending.failedItems++
			end.Failed = append(end.Failed, item)
		default:
			qu.complete(item.GroupID, Unfinished{Cause: string(one.Reason)})
		}
	}
	if len(unclaimed) > 0 {
		qu.gatherer.free(up.ID, unclaimed, func() {})
	}
}

// queryAvailableBytes asks an upstream for its free memory: it may hold results of calls that other instances made.
func (qu *queue) queryAvailableBytes(up *roster.Upstream) {
	qu.gatherer.background.Go(func() {
		ctx, cancel := context.WithTimeout(qu.gatherer.ctx, freeTimeout)
		defer cancel()
		available, err := qu.gatherer.availableResultBytes(ctx, up)
		if err != nil {
			qu.gatherer.events.Record(&wire.Event{Kind: wire.EventKind_EventCallFailed, Upstream: up.ID, Detail: "get available result bytes: " + err.Error()})
			return
		}
		qu.mu.Lock()
		defer qu.mu.Unlock()
		qu.scheduler.SetAvailableResultBytes(qu.gatherer.timers.Now(), upstreamName(up), available)
		qu.signal()
	})
}

// maxTrackedResults bounds how many results are tracked with their upstream; at the limit, all are forgotten, and freed by
// the address in their handles.
const maxTrackedResults = 4096

func (qu *queue) trackResult(handle, upstream string) {
	if qu.resultUpstreams == nil || len(qu.resultUpstreams) >= maxTrackedResults {
		qu.resultUpstreams = map[string]string{}
	}
	qu.resultUpstreams[handle] = upstream
}

// freeDelay is how long released results are collected to be freed in one call.
const freeDelay = 5 * time.Millisecond

// release frees the results that this queue tracks and returns the handles of the others.
func (qu *queue) release(handles []string) []string {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	others := []string{}
	for _, handle := range handles {
		upstream, known := qu.resultUpstreams[handle]
		if !known {
			others = append(others, handle)
			continue
		}
		delete(qu.resultUpstreams, handle)
		if qu.pendingFree == nil {
			qu.pendingFree = map[string][]string{}
			qu.gatherer.background.Go(qu.freePending)
		}
		qu.pendingFree[upstream] = append(qu.pendingFree[upstream], handle)
	}
	return others
}

// freePending frees the collected results; they count as used memory until the upstream has confirmed.
func (qu *queue) freePending() {
	_ = qu.gatherer.timers.Sleep(qu.gatherer.ctx, freeDelay)
	qu.mu.Lock()
	collected := qu.pendingFree
	qu.pendingFree = nil
	qu.mu.Unlock()
	for id, handles := range collected {
		qu.gatherer.free(id, handles, func() { qu.resultsFreed(handles) })
	}
}

func (qu *queue) resultsFreed(handles []string) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, handle := range handles {
		qu.scheduler.ResultReleased(qu.gatherer.timers.Now(), handle)
	}
	qu.signal()
}
