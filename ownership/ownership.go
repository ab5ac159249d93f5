package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/member"
)

// ranked is a member and what it is ranked by.
type ranked struct {
	member.Member
	isNear    bool
	hasCPU    bool
	hashOfKey uint64
}

// Rank returns the members, ranked as owners of a key in a failure domain: those in the failure domain first, then those
// with enough processor time, then by rendezvous hash.
func Rank(members []member.Member, failureDomain, key string) []member.Member {
	maxMilliCores := int64(0)
	for _, each := range members {
		maxMilliCores = max(maxMilliCores, each.MilliCores)
	}
	list := make([]ranked, len(members))
	for at, each := range members {
		list[at] = ranked{
			Member: each, isNear: each.FailureDomain == failureDomain, hasCPU: hasEnoughCPU(each, maxMilliCores), hashOfKey: rendezvousHash(key, each.ID),
		}
	}
	slices.SortFunc(list, func(left, right ranked) int {
		return cmp.Or(
			trueFirst(left.isNear, right.isNear), trueFirst(left.hasCPU, right.hasCPU), cmp.Compare(right.hashOfKey, left.hashOfKey),
		)
	})
	owners := make([]member.Member, len(list))
	for at, each := range list {
		owners[at] = each.Member
	}
	return owners
}

// Spread returns count of the members that keep a key, by rendezvous hash: first one of each failure domain, then others.
func Spread(members []member.Member, key string, count int) []member.Member {
	list := make([]ranked, len(members))
	for at, each := range members {
		list[at] = ranked{Member: each, hashOfKey: rendezvousHash(key, each.ID)}
	}
	slices.SortFunc(list, func(left, right ranked) int { return cmp.Compare(right.hashOfKey, left.hashOfKey) })
	domains := map[string]bool{}
	first, others := []member.Member{}, []member.Member{}
	for _, each := range list {
		switch {
		case !domains[each.FailureDomain]:
			domains[each.FailureDomain] = true
			first = append(first, each.Member)
		case len(others) < count:
			others = append(others, each.Member)
		}
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

// separator stands between a key and an id where they are hashed.
const separator = "/"

func rendezvousHash(key, id string) uint64 {
	sum := xxhash.Digest{}
	sum.Reset()
	_, _ = sum.WriteString(key)
	_, _ = sum.WriteString(separator)
	_, _ = sum.WriteString(id)
	return sum.Sum64()
}
