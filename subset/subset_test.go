package subset_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/subset"
)

// endpoints returns count endpoints that are spread over the failure domains in turn.
func endpoints(prefix string, count, domains int) []subset.Endpoint {
	list := []subset.Endpoint{}
	for at := range count {
		list = append(list, subset.Endpoint{Name: fmt.Sprint(prefix, at), FailureDomain: fmt.Sprint("d", at%domains)})
	}
	return list
}

// users returns the number of instances that use each upstream.
func users(instances, upstreams []subset.Endpoint, size int) map[string]int {
	counts := map[string]int{}
	for _, self := range instances {
		for _, name := range subset.Select(self, instances, upstreams, size) {
			counts[name]++
		}
	}
	return counts
}

func TestSelect(t *testing.T) {
	instances, upstreams := endpoints("i", 380, 1), endpoints("e", 600, 1)
	t.Run("all upstreams have about the same number of users", func(t *testing.T) {
		counts := users(instances, upstreams, 16)
		must.MapLen(t, 600, counts)
		for _, count := range counts {
			must.Between(t, 11, count, 15)
		}
	})
	t.Run("an instance that leaves changes few selections of the others", func(t *testing.T) {
		changed := 0
		for _, self := range instances[1:] {
			before := subset.Select(self, instances, upstreams, 16)
			after := subset.Select(self, instances[1:], upstreams, 16)
			changed += len(difference(after, before))
		}
		must.LessEq(t, 30, changed)
	})
	t.Run("uses at least size/2 upstreams of its own domain and four of each other one", func(t *testing.T) {
		instances, upstreams := endpoints("i", 380, 4), endpoints("e", 600, 4)
		part := subset.Select(instances[0], instances, upstreams, 16)
		local := 0
		for _, name := range part {
			number := 0
			_, _ = fmt.Sscanf(name, "e%d", &number)
			if number%4 == 0 {
				local++
			}
		}
		must.Eq(t, 12, len(part)-local)
		must.GreaterEq(t, 8, local)
	})
	t.Run("the only instance of a domain uses at least size upstreams of it", func(t *testing.T) {
		part := subset.Select(subset.Endpoint{Name: "x", FailureDomain: "d0"}, nil, upstreams, 16)
		must.GreaterEq(t, 16, len(part))
	})
}

// difference returns the elements of first that are not in second.
func difference(first, second []string) []string {
	known := map[string]bool{}
	for _, name := range second {
		known[name] = true
	}
	list := []string{}
	for _, name := range first {
		if !known[name] {
			list = append(list, name)
		}
	}
	return list
}
