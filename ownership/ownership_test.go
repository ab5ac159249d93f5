package ownership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/ownership"
)

// newMembers returns members in two failure domains; every third one is small.
func newMembers(count int) []member.Member {
	list := []member.Member{}
	for at := range count {
		milliCores := int64(800)
		if at%3 == 2 {
			milliCores = 200
		}
		list = append(list, member.Member{ID: fmt.Sprint("i", at), FailureDomain: fmt.Sprint("d", at%2), MilliCores: milliCores})
	}
	return list
}

func TestRank(t *testing.T) {
	list := newMembers(12)
	ranked := ownership.Rank(list, "d1", "key")
	t.Run("members of the failure domain come first, large ones before small ones", func(t *testing.T) {
		must.Eq(t, "d1", ranked[0].FailureDomain)
		must.Eq(t, 800, ranked[0].MilliCores)
		must.Eq(t, "d0", ranked[6].FailureDomain)
		must.Eq(t, 200, ranked[5].MilliCores)
	})
	t.Run("the order does not depend on that of the members", func(t *testing.T) {
		slices.Reverse(list)
		must.Eq(t, ranked, ownership.Rank(list, "d1", "key"))
	})
	t.Run("the next one follows an owner that is gone", func(t *testing.T) {
		left := slices.DeleteFunc(list, func(mb member.Member) bool { return mb.ID == ranked[0].ID })
		must.Eq(t, ranked[1:], ownership.Rank(left, "d1", "key"))
	})
	t.Run("keys have different owners", func(t *testing.T) {
		owners := map[string]bool{}
		for at := range 60 {
			owners[ownership.Rank(newMembers(12), "d1", fmt.Sprint("key", at))[0].ID] = true
		}
		must.Eq(t, 4, len(owners))
	})
}

func TestSpread(t *testing.T) {
	list := newMembers(12)
	t.Run("each failure domain keeps the key before one has it twice", func(t *testing.T) {
		for at := range 50 {
			spread := ownership.Spread(list, fmt.Sprint("key", at), 2)
			must.SliceLen(t, 2, spread)
			must.NotEq(t, spread[0].FailureDomain, spread[1].FailureDomain)
		}
	})
	t.Run("those that are left keep it when others are gone", func(t *testing.T) {
		spread := ownership.Spread(list, "key", 3)
		left := slices.DeleteFunc(slices.Clone(list), func(mb member.Member) bool { return mb.ID == spread[0].ID })
		must.SliceContains(t, ownership.Spread(left, "key", 3), spread[1])
	})
	t.Run("there may be fewer members", func(t *testing.T) {
		must.SliceLen(t, 1, ownership.Spread(list[:1], "key", 3))
		must.SliceEmpty(t, ownership.Spread(nil, "key", 3))
	})
}
