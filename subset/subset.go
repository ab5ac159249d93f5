package subset

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an instance or an upstream with its failure domain.
type Endpoint struct {
	Name          string
	FailureDomain string
}

// elsewhere is how many upstreams of each other failure domain an instance uses, to spill over to.
const elsewhere = 4

// Select returns the names of the upstreams that the instance self uses, about size of its own failure domain and
// a few of each other one. Every upstream is used by equally many instances of its domain: those that a hash
// of both names puts first, so that an instance which comes or goes changes little for the others.
func Select(self Endpoint, instances, upstreams []Endpoint, size int) []string {
	near := inDomain(instances, self.FailureDomain)
	chosen := []string{}
	for _, domain := range domainsOf(upstreams) {
		there := inDomain(upstreams, domain)
		if domain != self.FailureDomain {
			chosen = append(chosen, nearest(self, there, elsewhere)...)
			continue
		}
		own := dealt(self, near, there, size)
		if len(own) < size/2 {
			own = nearest(self, there, size)
		}
		chosen = append(chosen, own...)
	}
	return chosen
}

func inDomain(places []Endpoint, domain string) []Endpoint {
	list := []Endpoint{}
	for _, one := range places {
		if one.FailureDomain == domain {
			list = append(list, one)
		}
	}
	return list
}

func domainsOf(places []Endpoint) []string {
	list := []string{}
	for _, one := range places {
		if !slices.Contains(list, one.FailureDomain) {
			list = append(list, one.FailureDomain)
		}
	}
	slices.Sort(list)
	return list
}

// dealt returns the upstreams among whose users self is.
func dealt(self Endpoint, instances, upstreams []Endpoint, size int) []string {
	users := (size*len(instances) + len(upstreams) - 1) / max(len(upstreams), 1)
	others := []uint64{}
	for _, other := range instances {
		if other.Name != self.Name {
			others = append(others, xxhash.Sum64String(other.Name))
		}
	}
	own := xxhash.Sum64String(self.Name)
	list := []string{}
	for _, up := range upstreams {
		if ahead(own, others, xxhash.Sum64String(up.Name)|1) < users {
			list = append(list, up.Name)
		}
	}
	return list
}

// ahead counts the instances that the hash puts before one's own at an upstream.
func ahead(own uint64, others []uint64, up uint64) int {
	count := 0
	limit := weight(own, up)
	for _, other := range others {
		if weight(other, up) > limit {
			count++
		}
	}
	return count
}

// nearest returns so many upstreams that the hash puts first for self.
func nearest(self Endpoint, upstreams []Endpoint, count int) []string {
	own := xxhash.Sum64String(self.Name)
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(left, right Endpoint) int {
		return cmp.Compare(weight(own, xxhash.Sum64String(right.Name)|1), weight(own, xxhash.Sum64String(left.Name)|1))
	})
	list := []string{}
	for _, up := range sorted[:min(count, len(sorted))] {
		list = append(list, up.Name)
	}
	return list
}

// weight orders the pairs of instances and upstreams; an odd multiplier loses nothing of the other number, and
// the upper half of the product depends on all of both.
func weight(instance, up uint64) uint64 {
	high, low := bits.Mul64(instance, up)
	return high ^ low
}
