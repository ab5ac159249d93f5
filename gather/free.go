package gather

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// freeUntracked frees results of calls that other instances made: a handle starts with its upstream's address.
func (gt *Gatherer) freeUntracked(pool string, handles []string) {
	byUpstream := map[string][]string{}
	for _, handle := range handles {
		for _, up := range gt.view.Upstreams(pool, "") {
			if strings.HasPrefix(handle, up.Address+"/") {
				byUpstream[up.ID] = append(byUpstream[up.ID], handle)
			}
		}
	}
	for id, list := range byUpstream {
		gt.free(id, list, func() {})
	}
}

const (
	// freeTimeout bounds a call that frees results; the upstream frees them by itself some seconds later if it fails.
	freeTimeout = time.Second
	// maxWaitingFrees bounds the results that wait to be freed at one upstream; the upstream frees further ones by itself.
	maxWaitingFrees = 4096
)

// waitingFree holds results that are freed in one call as soon as the upstream's rate limit allows it.
type waitingFree struct {
	handles []string
	freed   []func()
}

// add adds results, as long as there are not too many.
func (wf *waitingFree) add(handles []string, freed func()) {
	if len(wf.handles)+len(handles) <= maxWaitingFrees {
		wf.handles = append(wf.handles, handles...)
		wf.freed = append(wf.freed, freed)
	}
}

// allFreed reports that the upstream has confirmed.
func (wf *waitingFree) allFreed() {
	for _, freed := range wf.freed {
		freed()
	}
}

// free frees results in the background and calls freed once the upstream has confirmed.
func (gt *Gatherer) free(id string, handles []string, freed func()) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if waiting := gt.waitingFrees[id]; waiting != nil {
		waiting.add(handles, freed)
		return
	}
	gt.background.Go(func() { gt.freeNow(id, handles, freed) })
}

// freeNow makes the call that frees results, or has them wait until the upstream's rate limit allows it.
func (gt *Gatherer) freeNow(id string, handles []string, freed func()) {
	up := gt.view.Find(id)
	if up == nil {
		return
	}
	ctx, cancel := context.WithTimeout(gt.ctx, freeTimeout)
	defer cancel()
	answered, err := gt.limits.Acquire(ctx, up, 0)
	exceeded := ratelimit.Exceeded{}
	if errors.As(err, &exceeded) {
		gt.freeLater(id, handles, freed, exceeded.RetryAfter)
		return
	}
	if err == nil && !gt.view.IsUsable(up.Incarnation()) {
		// The results are freed when the upstream ends, or when they expire.
		return
	}
	if err == nil {
		err = gt.caller.FreeResults(notice.WithObserver(ctx, answered), up, handles)
	}
	if err != nil {
		gt.events.Record(&wire.Event{Kind: wire.EventKind_EventCallFailed, Upstream: id, Detail: "free results: " + err.Error()})
		return
	}
	freed()
}

// freeLater frees results after a time, together with those that are to be freed at the upstream until then.
func (gt *Gatherer) freeLater(id string, handles []string, freed func(), after time.Duration) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	waiting := gt.waitingFrees[id]
	if waiting == nil {
		waiting = &waitingFree{}
		gt.waitingFrees[id] = waiting
		gt.background.Go(func() { gt.freeWaiting(id, waiting, after) })
	}
	waiting.add(handles, freed)
}

// freeWaiting frees the waiting results of an upstream after a time, unless the instance stops before.
func (gt *Gatherer) freeWaiting(id string, waiting *waitingFree, after time.Duration) {
	err := gt.timers.Sleep(gt.ctx, after)
	gt.mu.Lock()
	delete(gt.waitingFrees, id)
	gt.mu.Unlock()
	if err != nil {
		return
	}
	gt.freeNow(id, waiting.handles, waiting.allFreed)
}

// errNotUsable reports that an upstream gets no calls because it is leaving, or none until its failure domain is no longer evacuated.
var errNotUsable = errors.New("the upstream is leaving, or its failure domain is evacuated")

// availableResultBytes asks an upstream for the memory that it has left for results.
func (gt *Gatherer) availableResultBytes(ctx context.Context, up *roster.Upstream) (int64, error) {
	answered, err := gt.limits.Acquire(ctx, up, 0)
	if err != nil {
		return 0, err
	}
	if !gt.view.IsUsable(up.Incarnation()) {
		return 0, errNotUsable
	}
	return gt.caller.AvailableResultBytes(notice.WithObserver(ctx, answered), up)
}

// runItems makes a call with items, unless the upstream's rate limit does not allow it or the upstream is no longer usable.
func (gt *Gatherer) runItems(ctx context.Context, up *roster.Upstream, items []Item) Outcome {
	answered, err := gt.limits.Acquire(ctx, up, 0)
	exceeded := ratelimit.Exceeded{}
	switch {
	case errors.As(err, &exceeded):
		return Limited{RetryAfter: exceeded.RetryAfter}
	case err != nil:
		return NotSent{Cause: err.Error()}
	case !gt.view.IsUsable(up.Incarnation()):
		return NotSent{Cause: errNotUsable.Error()}
	}
	return gt.caller.RunItems(notice.WithObserver(ctx, answered), up, items)
}
