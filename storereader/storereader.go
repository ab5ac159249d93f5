package storereader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/member"
)

const (
	// perDomain is how many instances of each failure domain read the store.
	perDomain = 2
	// atLeast is how many instances read it in all, so that a third of a small fleet can be cut off from it.
	atLeast = 5
)

// IsSelected reports whether self is among the instances that read the store. All instances that know the same members
// come to the same answer.
func IsSelected(self string, members []member.Member) bool {
	chosen := Select(members)
	return len(members) < atLeast || slices.Contains(chosen, self)
}

// Select returns the ids of the instances that read the store.
func Select(members []member.Member) []string {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(left, right member.Member) int {
		if order := cmp.Compare(xxhash.Sum64String(left.ID), xxhash.Sum64String(right.ID)); order != 0 {
			return order
		}
		return cmp.Compare(left.ID, right.ID)
	})
	inDomain := map[string]int{}
	chosen, rest := []string{}, []string{}
	for _, mb := range sorted {
		if inDomain[mb.FailureDomain] < perDomain {
			inDomain[mb.FailureDomain]++
			chosen = append(chosen, mb.ID)
			continue
		}
		rest = append(rest, mb.ID)
	}
	for len(chosen) < atLeast && len(rest) > 0 {
		chosen, rest = append(chosen, rest[0]), rest[1:]
	}
	return chosen
}
