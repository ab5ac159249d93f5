package storereader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/member"
)

const (
	// readersPerDomain is how many instances of each failure domain read the store.
	readersPerDomain = 2
	// minReaders is how many instances read it in total: in a small fleet, some of them still do when a network partition
	// cuts off a third of the instances.
	minReaders = 5
)

// IsSelected reports whether self is one of the instances that read the store, or the members are too few to select from.
// All instances that know the same members select the same ones.
func IsSelected(self string, members []member.Member) bool {
	readers := Select(members)
	return len(members) < minReaders || slices.Contains(readers, self)
}

// Select returns the IDs of the instances that read the store, the first ones of each failure domain in the order of a
// hash of their IDs.
func Select(members []member.Member) []string {
	hashes := map[string]uint64{}
	for _, mb := range members {
		hashes[mb.ID] = xxhash.Sum64String(mb.ID)
	}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(left, right member.Member) int {
		return cmp.Or(cmp.Compare(hashes[left.ID], hashes[right.ID]), cmp.Compare(left.ID, right.ID))
	})
	inDomain := map[string]int{}
	readers, rest := []string{}, []string{}
	for _, mb := range sorted {
		if inDomain[mb.FailureDomain] < readersPerDomain {
			inDomain[mb.FailureDomain]++
			readers = append(readers, mb.ID)
			continue
		}
		rest = append(rest, mb.ID)
	}
	for len(readers) < minReaders && len(rest) > 0 {
		readers, rest = append(readers, rest[0]), rest[1:]
	}
	return readers
}
