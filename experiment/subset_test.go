package experiment

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func names(count int) []string {
	list := []string{}
	for at := range count {
		list = append(list, fmt.Sprint("u", at))
	}
	return list
}

func TestSubsetOf(t *testing.T) {
	t.Run("a small pool is used whole", func(t *testing.T) {
		must.Eq(t, names(10), subsetOf(names(10), 3, 8, 16))
	})
	t.Run("each upstream of a large one has about as many callers", func(t *testing.T) {
		users := map[string]int{}
		for place := range 380 {
			part := subsetOf(names(600), place, 380, 24)
			must.GreaterEq(t, 24, len(part))
			for _, name := range part {
				users[name]++
			}
		}
		must.MapLen(t, 600, users)
		for _, count := range users {
			must.Between(t, 15, count, 16)
		}
	})
}
