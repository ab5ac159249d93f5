package ranking_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/ownership"
	"github.com/turmericdoor/turmericdoor/ranking"
)

func fleetOf(count int) []member.Member {
	list := []member.Member{}
	for at := range count {
		list = append(list, member.Member{ID: fmt.Sprint("i", at), FailureDomain: fmt.Sprint("d", at%5), MilliCores: 192})
	}
	return list
}

// TestCache guards against owners that are remembered from other members, and against a list that grows with the keys.
func TestCache(t *testing.T) {
	ch, before := ranking.Cache{}, fleetOf(40)
	must.Eq(t, ownership.Rank(before, "d1", "k"), ch.Rank(before, "d1", "k"))
	after := fleetOf(39)
	for _, members := range [][]member.Member{before, after, before} {
		for _, domain := range []string{"d1", "d2"} {
			for key := range 2000 {
				owners := ch.Rank(members, domain, fmt.Sprint(key%1500))
				if key%100 == 0 {
					must.Eq(t, ownership.Rank(members, domain, fmt.Sprint(key%1500)), owners)
				}
			}
		}
	}
}

// BenchmarkOwner measures what the owner of a queue costs at 295 instances.
func BenchmarkOwner(b *testing.B) {
	members := fleetOf(295)
	b.Run("ranked anew", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ownership.Rank(members, "d1", "encode/d1")
		}
	})
	b.Run("remembered", func(b *testing.B) {
		ch := ranking.Cache{}
		b.ReportAllocs()
		for b.Loop() {
			ch.Rank(members, "d1", "encode/d1")
		}
	})
}
