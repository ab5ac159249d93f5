package storereader_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/storereader"
)

func members(domains ...string) []member.Member {
	list := []member.Member{}
	for index, domain := range domains {
		list = append(list, member.Member{ID: fmt.Sprintf("i%d", index), FailureDomain: domain})
	}
	return list
}

func TestSelect(t *testing.T) {
	t.Run("each failure domain has readers", func(t *testing.T) {
		list := members("a", "a", "a", "a", "b", "b", "c", "c", "c")
		domains := map[string]int{}
		for _, mb := range list {
			if storereader.IsSelected(mb.ID, list) {
				domains[mb.FailureDomain]++
			}
		}
		must.Eq(t, map[string]int{"a": 2, "b": 2, "c": 2}, domains)
	})
	t.Run("the number of readers does not grow with the fleet", func(t *testing.T) {
		domains := []string{}
		for index := range 380 {
			domains = append(domains, []string{"a", "b", "c", "d"}[index%4])
		}
		must.SliceLen(t, 8, storereader.Select(members(domains...)))
	})
	t.Run("a small fleet has five readers, so that some remain when a third of it is cut off", func(t *testing.T) {
		must.SliceLen(t, 5, storereader.Select(members("a", "a", "a", "a", "a", "a", "a", "a")))
	})
	t.Run("an instance that knows too few others is a reader", func(t *testing.T) {
		must.True(t, storereader.IsSelected("i0", members("a")))
	})
}
