package poison

import (
	"cmp"
	"slices"
	"time"
)

// Decide blocks the parts that the crashes convict and returns the new blocks. Parts without a known sound answer come
// first, those with the most crashes before others; the crashes of a blocked part are explained and convict no other. It
// blocks none while no sound answer to any part is known, as right after a start: the other instances decide then.
func (rg *Registry) Decide(now time.Time) []Block {
	if rg.proven.isEmpty() {
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
		twins := rg.twins(part)
		if unexplained < crashesToBlockAny && (rg.proven.has(part) || len(twins) > 0) {
			continue
		}
		for _, each := range append(twins, part) {
			block := Block{Part: each, At: rg.suspects[each].latestCrash()}
			if rg.Add(now, block) {
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
		if rg.proven.has(left) != rg.proven.has(right) {
			if rg.proven.has(right) {
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

// twins returns the other parts that were lost with the same upstreams and to which no sound answer is known either.
func (rg *Registry) twins(part Part) []Part {
	own := rg.suspects[part]
	list := []Part{}
	for other, each := range rg.suspects {
		if other != part && each.covers(own) && !rg.proven.has(other) {
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

func (su *suspect) unexplained(explained map[uint64]bool) []accusation {
	list := []accusation{}
	for _, each := range su.crashes {
		if !explained[each.upstream] {
			list = append(list, each)
		}
	}
	return list
}

// moments returns the number of moments at which upstreams crashed; crashes within sameMoment of the first are one.
func moments(crashes []accusation) int {
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
