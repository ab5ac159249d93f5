package batch

import (
	"slices"
	"time"
)

// buildCall returns the next call to an upstream with the first items in the order of groups, or nil if none may be sent
// yet: the memory is used, it suffices for less than half a batch and more may soon be free, or the retries are spent.
func (sc *Scheduler) buildCall(now time.Time, up *upstream, order []*group, retriesLeft *int) *Send {
	limit := sc.config.MaxBatch
	if up.currentSlowdown(now) > slowThreshold {
		limit = max(limit/slowBatchDivisor, 1)
	}
	available := sc.availableBytes(now, up)
	if sc.config.ResultCapacity == 0 {
		available = int64(limit) * unlimitedResultBytes
	}
	selected, memoryShort := sc.selectItems(order, limit, available)
	if len(selected) == 0 || memoryShort && totalItems(selected) < limit/2 && now.Before(up.lastCallEnd.Add(sc.config.CallTime/2)) {
		return nil
	}
	next := &call{upstream: up, started: now}
	retried := 0
	for _, chosen := range selected {
		for _, index := range chosen.group.waiting[:chosen.count] {
			if chosen.group.sendCounts[index] > 0 {
				if *retriesLeft <= 0 {
					continue
				}
				*retriesLeft--
				retried++
			}
			chosen.group.sendCounts[index]++
			next.items = append(next.items, Item{GroupID: chosen.group.ID, Index: index})
			next.bytes += chosen.group.ResultBytes
		}
		chosen.group.removeWaiting(next.items)
	}
	if len(next.items) == 0 {
		return nil
	}
	sc.lastCallID++
	next.expected = sc.expectedDuration(len(next.items))
	sc.calls[sc.lastCallID] = next
	up.calls++
	up.inFlightBytes += next.bytes
	return &Send{CallID: sc.lastCallID, Upstream: up.name, Items: next.items, ExpectedDuration: next.expected, RetriedItems: retried}
}

// selection is a number of items of a group that are selected for a call.
type selection struct {
	group *group
	count int
}

func totalItems(list []selection) int {
	count := 0
	for _, part := range list {
		count += part.count
	}
	return count
}

// minFreeBatches is how many full batches of results must fit into an upstream for groups to be split over calls freely.
const minFreeBatches = 4

// selectItems selects the items of a call, and reports whether other items wait only for memory. A group whose results
// take much of the memory is not split over calls, since its first results would take memory until the last are made.
func (sc *Scheduler) selectItems(order []*group, limit int, available int64) ([]selection, bool) {
	selected := []selection{}
	memoryShort := false
	deferred, full := (*group)(nil), limit
	for _, gr := range order {
		if limit == 0 {
			break
		}
		if len(gr.waiting) == 0 {
			continue
		}
		count := min(limit, len(gr.waiting))
		if gr.ResultBytes > 0 {
			count = min(count, int(max(available, 0)/gr.ResultBytes))
		}
		if count < len(gr.waiting) && sc.isScarce(gr.ResultBytes) && len(gr.waiting) <= sc.config.MaxBatch && sc.fitsEmptyUpstream(gr) {
			memoryShort = memoryShort || count < min(limit, len(gr.waiting))
			if deferred == nil && count > 0 {
				deferred = gr
			}
			continue
		}
		if count == 0 {
			memoryShort = true
			continue
		}
		selected = append(selected, selection{group: gr, count: count})
		limit -= count
		available -= int64(count) * gr.ResultBytes
	}
	if deferred != nil && float64(limit) > maxEmptyShare*float64(full) {
		count := min(limit, len(deferred.waiting), int(max(available, 0)/max(deferred.ResultBytes, 1)))
		if count > 0 {
			selected = append(selected, selection{group: deferred, count: count})
		}
	}
	return selected, memoryShort
}

// maxEmptyShare is the share of a call that may stay empty to avoid splitting a group.
const maxEmptyShare = 0.2

// fitsEmptyUpstream reports whether the waiting items of a group fit into an upstream that holds no results.
func (sc *Scheduler) fitsEmptyUpstream(gr *group) bool {
	return int64(len(gr.waiting))*gr.ResultBytes <= int64(capacityMargin*float64(sc.config.ResultCapacity))
}

// removeWaiting removes the items of a call from the waiting ones.
func (gr *group) removeWaiting(items []Item) {
	gr.waiting = slices.DeleteFunc(gr.waiting, func(index int) bool {
		return slices.Contains(items, Item{GroupID: gr.ID, Index: index})
	})
}

// unlimitedResultBytes is the memory per item that counts as free where the pool sets no ResultCapacity.
const unlimitedResultBytes = 1 << 40
