package experiment

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// subsetOf returns the names of the upstreams that the instance at a place among count instances should use, so
// many of them at least. Instances are dealt the upstreams in rounds: in each round, every upstream is dealt
// once, in an order that the round's number decides, so that all are used by equally many instances.
func subsetOf(upstreams []string, place, count, size int) []string {
	if size >= len(upstreams) || count < 1 {
		return slices.Clone(upstreams)
	}
	perRound := len(upstreams) / size
	round, seat := place/perRound, place%perRound
	shuffled := slices.Clone(upstreams)
	sort.Slice(shuffled, func(left, right int) bool {
		return dealOrder(round, shuffled[left]) < dealOrder(round, shuffled[right])
	})
	from := seat * len(shuffled) / perRound
	to := (seat + 1) * len(shuffled) / perRound
	return shuffled[from:to]
}

func dealOrder(round int, name string) uint64 {
	return xxhash.Sum64String(string(rune('a'+round%26)) + string(rune('a'+round/26)) + "/" + name)
}
