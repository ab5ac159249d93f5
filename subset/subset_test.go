package subset_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/subset"
)

// places makes so many names, the domains in turn.
func places(prefix string, count, domains int) []subset.Endpoint {
	list := []subset.Endpoint{}
	for at := range count {
		list = append(list, subset.Endpoint{Name: fmt.Sprint(prefix, at), FailureDomain: fmt.Sprint("d", at%domains)})
	}
	return list
}

// users counts the instances that use each upstream.
func users(instances, upstreams []subset.Endpoint, size int) map[string]int {
	counts := map[string]int{}
	for _, self := range instances {
		for _, name := range subset.Select(self, instances, upstreams, size) {
			counts[name]++
		}
	}
	return counts
}

func TestOf(t *testing.T) {
	instances, upstreams := places("i", 380, 1), places("e", 600, 1)
	t.Run("every upstream has about as many users", func(t *testing.T) {
		counts := users(instances, upstreams, 16)
		must.MapLen(t, 600, counts)
		for _, count := range counts {
			must.Between(t, 11, count, 15)
		}
	})
	t.Run("an instance that goes changes little for the others", func(t *testing.T) {
		changed := 0
		for _, self := range instances[1:] {
			before := subset.Select(self, instances, upstreams, 16)
			after := subset.Select(self, instances[1:], upstreams, 16)
			changed += len(difference(after, before))
		}
		must.LessEq(t, 30, changed)
	})
	t.Run("own upstreams first and a few of each other domain", func(t *testing.T) {
		instances, upstreams := places("i", 380, 4), places("e", 600, 4)
		part := subset.Select(instances[0], instances, upstreams, 16)
		near := 0
		for _, name := range part {
			number := 0
			_, _ = fmt.Sscanf(name, "e%d", &number)
			if number%4 == 0 {
				near++
			}
		}
		must.Eq(t, 12, len(part)-near)
		must.GreaterEq(t, 8, near)
	})
	t.Run("a lone instance in its domain uses all of it that fits", func(t *testing.T) {
		part := subset.Select(subset.Endpoint{Name: "x", FailureDomain: "d0"}, nil, upstreams, 16)
		must.GreaterEq(t, 16, len(part))
	})
}

// difference returns what the first list has and the second has not.
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
