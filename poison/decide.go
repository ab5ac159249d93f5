package poison

import (
	"cmp"
	"slices"
	"time"
)

// Decide blocks the parts that have caused crashes and returns the new blocks. Parts without a known success come first,
// those with the most crashes before others; the crashes of a blocked part are explained and count against no other. It
// blocks none while no success of any part is known, as right after a start: the other instances decide then.
func (rg *Registry) Decide(now time.Time) []Block {
	if rg.successes.isEmpty() {
		return nil
	}
	explained := map[uint64]bool{}
	for part := range rg.blocks {
		if known, found := rg.suspects[part]; found {
			known.markExplained(explained)
		}
	}
	fresh := []Block{}
	for _, part := range rg.candidates() {
		unexplained := moments(rg.suspects[part].unexplained(explained))
		if unexplained < crashesToBlock {
			continue
		}
		others := rg.indistinguishable(part)
		if unexplained < crashesToBlockAny && (rg.successes.has(part) || len(others) > 0) {
			continue
		}
		for _, each := range append(others, part) {
			block := Block{Part: each, At: rg.suspects[each].latestCrash()}
			if rg.AddBlock(now, block) {
				fresh = append(fresh, block)
			}
		}
		rg.suspects[part].markExplained(explained)
	}
	return fresh
}

// candidates returns the parts that are not blocked and have enough crashes, the most suspicious first.
func (rg *Registry) candidates() []Part {
	list := []Part{}
	for part, each := range rg.suspects {
		if _, blocked := rg.blocks[part]; !blocked && len(each.crashes) >= crashesToBlock && moments(each.crashes) >= crashesToBlock {
			list = append(list, part)
		}
	}
	slices.SortFunc(list, func(left, right Part) int {
		if rg.successes.has(left) != rg.successes.has(right) {
			if rg.successes.has(right) {
				return -1
			}
			return 1
		}
		if order := cmp.Compare(len(rg.suspects[right].crashes), len(rg.suspects[left].crashes)); order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
	return list
}

// indistinguishable returns the other parts without a known success that have all crashes of a part.
func (rg *Registry) indistinguishable(part Part) []Part {
	own := rg.suspects[part]
	list := []Part{}
	for other, each := range rg.suspects {
		if other != part && each.covers(own) && !rg.successes.has(other) {
			list = append(list, other)
		}
	}
	return list
}

func (su *suspect) latestCrash() time.Time {
	latest := time.Time{}
	for _, each := range su.crashes {
		if each.at.After(latest) {
			latest = each.at
		}
	}
	return latest
}

// covers reports whether the part has all crashes of another.
func (su *suspect) covers(other *suspect) bool {
	for _, each := range other.crashes {
		if !su.hasCrashed(each.upstream) {
			return false
		}
	}
	return true
}

func (su *suspect) markExplained(explained map[uint64]bool) {
	for _, each := range su.crashes {
		explained[each.upstream] = true
	}
}

func (su *suspect) unexplained(explained map[uint64]bool) []crashRecord {
	list := []crashRecord{}
	for _, each := range su.crashes {
		if !explained[each.upstream] {
			list = append(list, each)
		}
	}
	return list
}

// moments returns the number of moments at which upstreams crashed; crashes within sameMoment of the first are one.
func moments(crashes []crashRecord) int {
	times := []time.Time{}
	for _, each := range crashes {
		times = append(times, each.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	count, began := 0, time.Time{}
	for _, at := range times {
		if count == 0 || at.Sub(began) > sameMoment {
			count, began = count+1, at
		}
	}
	return count
}
