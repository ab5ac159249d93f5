package batch

import (
	"slices"
	"time"
)

// fill makes the next call for an upstream out of the first items in the order of groups, or nil if there is no room for any.
func (pl *Scheduler) fill(now time.Time, one *upstream, order []*group, allowed *int) *Send {
	limit := pl.terms.MaxBatch
	if one.factor > trialFactor {
		limit = max(limit/trialShare, 1)
	}
	room := pl.room(now, one)
	if pl.terms.ResultCapacity == 0 {
		room = int64(limit) * maxResultBytes
	}
	picked, short := pl.pick(order, limit, room)
	if len(picked) == 0 || short && itemsOf(picked) < limit/2 && now.Before(one.freeAt.Add(pl.terms.CallTime/2)) {
		return nil
	}
	made := &call{upstream: one, started: now}
	repeated := 0
	for _, part := range picked {
		for _, index := range part.group.waiting[:part.count] {
			if part.group.sent[index] > 0 {
				if *allowed <= 0 {
					continue
				}
				*allowed--
				repeated++
			}
			part.group.sent[index]++
			made.items = append(made.items, Item{GroupID: part.group.ID, Index: index})
			made.bytes += part.group.ResultBytes
		}
		part.group.take(made.items)
	}
	if len(made.items) == 0 {
		return nil
	}
	pl.nextCall++
	made.expected = pl.expected(len(made.items))
	pl.calls[pl.nextCall] = made
	one.calls++
	one.pending += made.bytes
	return &Send{CallID: pl.nextCall, Upstream: one.name, Items: made.items, ExpectedDuration: made.expected, RetriedItems: repeated}
}

// part is some of a group's items.
type part struct {
	group *group
	count int
}

func itemsOf(parts []part) int {
	count := 0
	for _, one := range parts {
		count += one.count
	}
	return count
}

// scarceBatches is how many full batches of results an upstream must have room for to split groups freely.
const scarceBatches = 4

// pick chooses the items of a call; short says that others wait only for room. A group whose results take much of
// the room is not split over calls, since the first results would lie there until the last are made.
func (pl *Scheduler) pick(order []*group, limit int, room int64) ([]part, bool) {
	picked := []part{}
	short := false
	leftOver, full := (*group)(nil), limit
	for _, known := range order {
		if limit == 0 {
			break
		}
		if len(known.waiting) == 0 {
			continue
		}
		count := min(limit, len(known.waiting))
		if known.ResultBytes > 0 {
			count = min(count, int(max(room, 0)/known.ResultBytes))
		}
		if count < len(known.waiting) && pl.isScarce(known.ResultBytes) && len(known.waiting) <= pl.terms.MaxBatch && pl.fitsLater(known) {
			short = short || count < min(limit, len(known.waiting))
			if leftOver == nil && count > 0 {
				leftOver = known
			}
			continue
		}
		if count == 0 {
			short = true
			continue
		}
		picked = append(picked, part{group: known, count: count})
		limit -= count
		room -= int64(count) * known.ResultBytes
	}
	if leftOver != nil && float64(limit) > splitShare*float64(full) {
		count := min(limit, len(leftOver.waiting), int(max(room, 0)/max(leftOver.ResultBytes, 1)))
		if count > 0 {
			picked = append(picked, part{group: leftOver, count: count})
		}
	}
	return picked, short
}

// splitShare is the part of a call that may stay empty for the sake of whole groups.
const splitShare = 0.2

// fitsLater reports whether an upstream that holds nothing has room for the rest of a group.
func (pl *Scheduler) fitsLater(known *group) bool {
	return int64(len(known.waiting))*known.ResultBytes <= int64(sizeMargin*float64(pl.terms.ResultCapacity))
}

// take removes the items of a call from those that wait.
func (gr *group) take(items []Item) {
	gr.waiting = slices.DeleteFunc(gr.waiting, func(index int) bool {
		return slices.Contains(items, Item{GroupID: gr.ID, Index: index})
	})
}

// maxResultBytes stands for the size of a result where a pool names no room for results.
const maxResultBytes = 1 << 40
