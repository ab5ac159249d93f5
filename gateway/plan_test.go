package gateway_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPlannedDomain guards against all instances moving their stages to a domain that is only slightly faster than their
// own: they all see the same load reports and would overload it together.
func TestPlannedDomain(t *testing.T) {
	cases := []struct {
		name  string
		waits map[string]time.Duration
		want  string
	}{
		{"its own if all are alike", map[string]time.Duration{"a": 300 * time.Millisecond, "b": 300 * time.Millisecond}, "a"},
		{"its own if another is slightly faster", map[string]time.Duration{"a": 400 * time.Millisecond, "b": 300 * time.Millisecond}, "a"},
		{"another that is clearly faster", map[string]time.Duration{"a": 800 * time.Millisecond, "b": 300 * time.Millisecond}, "b"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			fk := &fakes{waits: each.waits}
			outcome, _ := serve(t, fk, "/draft/1", nil)
			assertOutcome(t, "Answered", outcome)
			must.Eq(t, []string{each.want, each.want}, fk.runDomains)
		})
	}
}
