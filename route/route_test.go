package route_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/route"
)

func table() *route.Table {
	return route.New(route.Table{
		Revision: 1,
		Pools:    map[string]route.Pool{"old": {Name: "old"}, "new": {Name: "new"}},
		Pipelines: []route.Pipeline{
			{Name: "short", Host: "a.example", Prefix: "/x/", Pools: []route.WeightedPool{{Pool: "old", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Pools: []route.WeightedPool{{Pool: "old", Weight: 3}, {Pool: "new", Weight: 1}}},
			{Name: "lost", Host: "a.example", Prefix: "/z/", Pools: []route.WeightedPool{{Pool: "nowhere", Weight: 1}}},
		},
	})
}

func assertMatch(t *testing.T, host, path, want string) {
	t.Helper()
	found := table().Match(host, path)
	if want == "" {
		must.Nil(t, found)
		return
	}
	must.NotNil(t, found)
	must.Eq(t, want, found.Name)
}

func TestMatch(t *testing.T) {
	t.Run("the longest prefix of the host matches", func(t *testing.T) {
		assertMatch(t, "a.example", "/x/y/1", "long")
		assertMatch(t, "a.example", "/x/1", "short")
	})
	t.Run("a part of a prefix or another host does not match", func(t *testing.T) {
		assertMatch(t, "a.example", "/x", "")
		assertMatch(t, "b.example", "/x/1", "")
	})
}

func TestSelectPool(t *testing.T) {
	t.Run("requests are split by the weights of the pools", func(t *testing.T) {
		tb := table()
		fresh := 0
		for at := range 4000 {
			pool, known := tb.SelectPool(tb.Match("a.example", "/x/y/1"), fmt.Sprint(at))
			must.True(t, known)
			if pool.Name == "new" {
				fresh++
			}
		}
		must.Between(t, 800, fresh, 1200)
	})
	t.Run("a pool that is missing in the configuration is not found", func(t *testing.T) {
		tb := table()
		_, known := tb.SelectPool(tb.Match("a.example", "/z/1"), "1")
		must.False(t, known)
	})
}

func TestLastStages(t *testing.T) {
	pipeline := route.Pipeline{Stages: []route.Stage{{}, {}, {DependsOn: []int{1}}, {DependsOn: []int{2}}}}
	must.Eq(t, []int{0, 3}, pipeline.LastStages())
}

func TestRankOf(t *testing.T) {
	pipeline := &route.Pipeline{Rank: 2}
	must.Eq(t, 2, route.RankOf(pipeline, route.Organisation{}))
	must.Eq(t, 0, route.RankOf(pipeline, route.Organisation{HasRank: true}))
}
