package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/route"
)

// TestKeyIsCheckedOnlyWhileOneIsLeft guards against requests with unknown keys that run once no organisation has a key any more (ROUTE).
func TestKeyIsCheckedOnlyWhileOneIsLeft(t *testing.T) {
	guild := route.Organisation{Name: "guild"}
	tables := map[string]struct {
		table *route.Table
		// allowed are the keys with which a request may use the private pipeline.
		allowed map[string]bool
	}{
		"an organisation with a key":         {route.New(route.Table{Organisations: map[string]route.Organisation{"k": guild}}), map[string]bool{"k": true}},
		"organisations without keys":         {route.New(route.Table{RequiresKey: true}), map[string]bool{}},
		"no organisations":                   {route.New(route.Table{}), map[string]bool{"": true}},
		"an organisation with the empty key": {route.New(route.Table{Organisations: map[string]route.Organisation{"": guild}}), map[string]bool{}},
	}
	for name, each := range tables {
		for _, key := range []string{"", "k", "dropped"} {
			t.Run(name+", key "+key, func(t *testing.T) {
				_, allowed := each.table.Authorise(&route.Pipeline{}, key)
				must.Eq(t, each.allowed[key], allowed)
				_, allowed = each.table.Authorise(&route.Pipeline{Public: true}, key)
				must.True(t, allowed, must.Sprint("a public pipeline needs no key"))
			})
		}
	}
}
