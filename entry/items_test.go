package entry_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/roster"
)

// RunItems sends a batch of items to an upstream.
func (uc upstreamClient) RunItems(ctx context.Context, target *roster.Upstream, items []gather.Item) gather.Outcome {
	up, err := uc.connect(ctx, target)
	if err != nil {
		return gather.NotSent{Cause: err.Error()}
	}
	us := uc.fleet.upstreams
	us.recordLimitedCall(uc.node, up)
	us.mu.Lock()
	if up.StartUnixMs != target.StartUnixMs {
		us.mu.Unlock()
		return gather.NotRun{Misdirected: true}
	}
	up.cold.record(uc.node)
	if up.standing.rejects() {
		us.mu.Unlock()
		us.announceLimit(ctx, uc.node, up, false)
		return gather.NotRun{}
	}
	for _, item := range items {
		us.recordEvacuated(uc.node, up, "item")
		us.recordArrival(uc.node, up, fmt.Sprintf("%s/%d/%d", item.RequestID, item.Stage, item.Index))
		us.checkInputs(up, item)
	}
	hangs, lost := up.hangs, up.flaky && us.random.IntN(3) == 0
	us.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return gather.Lost{Cause: "silent"}
	}
	if !sleep(ctx, workTime+time.Duration(len(items))*2*time.Millisecond) || lost {
		return gather.Lost{Cause: "reset"}
	}
	us.announceLimit(ctx, uc.node, up, false)
	return us.runItems(up, items)
}

func (us *upstreamSet) checkInputs(up *upstream, item gather.Item) {
	for _, handle := range item.Inputs {
		if !strings.Contains(handle, "/"+item.RequestID+"/") {
			us.violate("upstream %s received input %s for an item of request %s", up.ID, handle, item.RequestID)
		}
	}
	if item.Stage > 0 && len(item.Inputs) == 0 {
		us.violate("upstream %s received no input for stage %d of request %s", up.ID, item.Stage, item.RequestID)
	}
}

// runItems returns the results of a batch.
func (us *upstreamSet) runItems(up *upstream, items []gather.Item) gather.Outcome {
	us.mu.Lock()
	defer us.mu.Unlock()
	if up.crashed {
		return gather.Lost{Cause: "reset"}
	}
	ran := gather.Ran{}
	for _, item := range items {
		us.resultCount++
		handle := fmt.Sprintf("%s/%s/%d/%d", up.ID, item.RequestID, item.Stage, us.resultCount)
		us.results[handle] = true
		ran.Results = append(ran.Results, gather.ItemResult{Handle: handle})
	}
	if us.variant.mixesItems && len(ran.Results) > 1 {
		ran.Results[0], ran.Results[1] = ran.Results[1], ran.Results[0]
	}
	return ran
}

// AvailableResultBytes returns the space for results, which is unlimited in effect.
func (uc upstreamClient) AvailableResultBytes(_ context.Context, target *roster.Upstream) (int64, error) {
	us := uc.fleet.upstreams
	us.mu.Lock()
	up := us.byID[target.ID]
	if up != nil {
		us.recordEvacuated(uc.node, up, "report")
	}
	us.mu.Unlock()
	if up != nil {
		us.recordLimitedCall(uc.node, up)
		us.recordOtherCall(uc.node, up, target)
	}
	return 1e9, nil
}

// FreeResults frees results.
func (uc upstreamClient) FreeResults(ctx context.Context, target *roster.Upstream, handles []string) error {
	up, err := uc.connect(ctx, target)
	if err != nil {
		return err
	}
	us := uc.fleet.upstreams
	us.recordLimitedCall(uc.node, up)
	us.recordOtherCall(uc.node, up, target)
	us.announceLimit(ctx, uc.node, up, false)
	us.mu.Lock()
	defer us.mu.Unlock()
	us.recordEvacuated(uc.node, up, "freed results")
	for _, handle := range handles {
		delete(us.results, handle)
	}
	return nil
}
