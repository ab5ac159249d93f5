package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/member"
)

// Rank returns the members, ranked as owners of a key in a failure domain: those in the failure domain first, then those
// with enough processor time, then by rendezvous hash.
func Rank(members []member.Member, failureDomain, key string) []member.Member {
	maxMilliCores := int64(0)
	for _, each := range members {
		maxMilliCores = max(maxMilliCores, each.MilliCores)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(left, right member.Member) int {
		return cmp.Or(
			trueFirst(left.FailureDomain == failureDomain, right.FailureDomain == failureDomain),
			trueFirst(hasEnoughCPU(left, maxMilliCores), hasEnoughCPU(right, maxMilliCores)),
			cmp.Compare(rendezvousHash(key, right.ID), rendezvousHash(key, left.ID)),
		)
	})
	return ranked
}

// Spread returns count of the members that keep a key, by rendezvous hash: first one of each failure domain, then others.
func Spread(members []member.Member, key string, count int) []member.Member {
	ranked := slices.Clone(members)
	hashes := map[string]uint64{}
	for _, each := range ranked {
		hashes[each.ID] = rendezvousHash(key, each.ID)
	}
	slices.SortFunc(ranked, func(left, right member.Member) int { return cmp.Compare(hashes[right.ID], hashes[left.ID]) })
	domains := map[string]bool{}
	first, others := []member.Member{}, []member.Member{}
	for _, each := range ranked {
		if domains[each.FailureDomain] {
			others = append(others, each)
			continue
		}
		domains[each.FailureDomain] = true
		first = append(first, each)
	}
	spread := append(first, others...)
	return spread[:min(len(spread), count)]
}

// hasEnoughCPU reports whether an instance has at least half the CPU of the largest one: the owner works for all
// instances.
func hasEnoughCPU(mb member.Member, maxMilliCores int64) bool {
	return 2*mb.MilliCores >= maxMilliCores
}

// trueFirst compares two booleans so that true sorts first.
func trueFirst(left, right bool) int {
	switch {
	case left == right:
		return 0
	case left:
		return -1
	}
	return 1
}

func rendezvousHash(key, id string) uint64 {
	return xxhash.Sum64String(key + "/" + id)
}
