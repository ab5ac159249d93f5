package subset

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is the name and the failure domain of an instance or of an upstream.
type Endpoint struct {
	Name          string
	FailureDomain string
}

// perOtherDomain is the number of upstreams that an instance uses in each other failure domain, for the case that
// those of its own are overloaded or down.
const perOtherDomain = 4

// Select returns the names of the upstreams that the instance self uses: about size in its own failure domain and
// perOtherDomain in each other one. Each upstream is used by the same number of instances of its own failure domain,
// namely by those with the highest scores under rendezvous hashing, so that an instance that joins or leaves changes
// few of the other instances' selections. An instance that gets fewer than size/2 upstreams of its own failure domain
// in this way uses the size upstreams for which its own scores are highest instead.
func Select(self Endpoint, instances, upstreams []Endpoint, size int) []string {
	local := inDomain(instances, self.FailureDomain)
	chosen := []string{}
	for _, domain := range failureDomains(upstreams) {
		inThisDomain := inDomain(upstreams, domain)
		if domain != self.FailureDomain {
			chosen = append(chosen, topRanked(self, inThisDomain, perOtherDomain)...)
			continue
		}
		own := assigned(self, local, inThisDomain, size)
		if len(own) < size/2 {
			own = topRanked(self, inThisDomain, size)
		}
		chosen = append(chosen, own...)
	}
	return chosen
}

func inDomain(endpoints []Endpoint, domain string) []Endpoint {
	list := []Endpoint{}
	for _, endpoint := range endpoints {
		if endpoint.FailureDomain == domain {
			list = append(list, endpoint)
		}
	}
	return list
}

func failureDomains(endpoints []Endpoint) []string {
	list := []string{}
	for _, endpoint := range endpoints {
		if !slices.Contains(list, endpoint.FailureDomain) {
			list = append(list, endpoint.FailureDomain)
		}
	}
	slices.Sort(list)
	return list
}

// assigned returns the upstreams for which the score of self is among the highest of all instances, so that each
// upstream has the same number of users.
func assigned(self Endpoint, instances, upstreams []Endpoint, size int) []string {
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
		if rankOf(own, others, xxhash.Sum64String(up.Name)|1) < users {
			list = append(list, up.Name)
		}
	}
	return list
}

// rankOf returns the number of other instances with a higher score for the upstream; all arguments are hashes of
// names.
func rankOf(own uint64, others []uint64, up uint64) int {
	count := 0
	ownScore := score(own, up)
	for _, other := range others {
		if score(other, up) > ownScore {
			count++
		}
	}
	return count
}

// topRanked returns the count upstreams with the highest scores for self.
func topRanked(self Endpoint, upstreams []Endpoint, count int) []string {
	own := xxhash.Sum64String(self.Name)
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(left, right Endpoint) int {
		return cmp.Compare(score(own, xxhash.Sum64String(right.Name)|1), score(own, xxhash.Sum64String(left.Name)|1))
	})
	list := []string{}
	for _, up := range sorted[:min(count, len(sorted))] {
		list = append(list, up.Name)
	}
	return list
}

// score returns the rendezvous hashing score of an instance for an upstream, from the hashes of their names. up must
// be odd, since multiplication by an odd number loses no bits of the other factor; the upper half of the product
// depends on all bits of both.
func score(instance, up uint64) uint64 {
	high, low := bits.Mul64(instance, up)
	return high ^ low
}
