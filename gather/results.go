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

// outcomeDetail states why a call failed, or why how many of its items have no result.
func outcomeDetail(outcome Outcome) string {
	switch outcome := outcome.(type) {
	case Ran:
		return reasonCounts(outcome)
	case NotSent:
		return outcome.Cause
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

// outcomeName names how a call ended, for the log.
func outcomeName(outcome Outcome) string {
	switch outcome.(type) {
	case Ran:
		return "Ran"
	case NotRun:
		return "NotRun"
	case NotSent:
		return "NotSent"
	case Lost:
		return "Lost"
	}
	return ""
}

// takeResults enters the results of a call. A result that nobody waits for any more is freed.
func (pc *place) takeResults(up *roster.Upstream, items []batch.Item, results []ItemResult, end *batch.CallResult) {
	orphans := []string{}
	for at, item := range items {
		one := results[at]
		known := pc.jobs[item.GroupID]
		switch {
		case one.Reason == ReasonNone && known == nil:
			orphans = append(orphans, one.Handle)
		case one.Reason == ReasonNone:
			one.FailureDomain = up.FailureDomain
			known.results[item.Index] = one
			known.missing--
			end.Results[item] = one.Handle
			pc.made(one.Handle, up.ID)
		case known == nil:
		case one.Reason == ReasonNoRoom:
			end.Outcome = batch.OutcomeFull
			end.Failed = append(end.Failed, item)
		case one.Reason == ReasonError && known.errors < maxItemErrors:
			known.errors++
			end.Failed = append(end.Failed, item)
		default:
			pc.give(item.GroupID, Unfinished{Cause: string(one.Reason)})
		}
	}
	if len(orphans) > 0 {
		pc.gatherer.free(up.ID, orphans, func() {})
	}
}

// askRoom asks an upstream for its room: results lie there of which this instance does not know.
func (pc *place) askRoom(up *roster.Upstream) {
	pc.gatherer.parts.Go(func() {
		ctx, cancel := context.WithTimeout(pc.gatherer.ctx, freeTimeout)
		defer cancel()
		room, err := pc.gatherer.caller.AvailableResultBytes(ctx, up)
		if err != nil {
			pc.gatherer.events.Record(&wire.Event{Kind: wire.EventKind_EventCallFailed, Upstream: up.ID, Detail: "room: " + err.Error()})
			return
		}
		pc.mu.Lock()
		defer pc.mu.Unlock()
		pc.pool.SetAvailableResultBytes(pc.gatherer.timers.Now(), upstreamName(up), room)
		pc.signal()
	})
}

// maxMakers bounds how many results are remembered with their upstream.
const maxMakers = 4096

func (pc *place) made(handle, upstream string) {
	if pc.makers == nil || len(pc.makers) >= maxMakers {
		pc.makers = map[string]string{}
	}
	pc.makers[handle] = upstream
}

// freeDelay is how long freed results are collected before a call frees them together.
const freeDelay = 5 * time.Millisecond

// release frees the results that were made here and returns the others.
func (pc *place) release(handles []string) []string {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	others := []string{}
	for _, handle := range handles {
		maker, known := pc.makers[handle]
		if !known {
			others = append(others, handle)
			continue
		}
		delete(pc.makers, handle)
		if pc.toFree == nil {
			pc.toFree = map[string][]string{}
			pc.gatherer.parts.Go(pc.freeLater)
		}
		pc.toFree[maker] = append(pc.toFree[maker], handle)
	}
	return others
}

// freeLater frees the collected results; they count as held until the upstream has confirmed that.
func (pc *place) freeLater() {
	_ = pc.gatherer.timers.Sleep(pc.gatherer.ctx, freeDelay)
	pc.mu.Lock()
	collected := pc.toFree
	pc.toFree = nil
	pc.mu.Unlock()
	for id, handles := range collected {
		pc.gatherer.free(id, handles, func() { pc.freed(handles) })
	}
}

func (pc *place) freed(handles []string) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, handle := range handles {
		pc.pool.ResultReleased(pc.gatherer.timers.Now(), handle)
	}
	pc.signal()
}
