package gateway_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPlannedDomain replays an instance that heard of a quicker failure domain than its own. All instances that heard it
// would go there together, so that it must be clearly quicker.
func TestPlannedDomain(t *testing.T) {
	cases := []struct {
		name  string
		waits map[string]time.Duration
		want  string
	}{
		{"the own one when all are alike", map[string]time.Duration{"a": 300 * time.Millisecond, "b": 300 * time.Millisecond}, "a"},
		{"the own one when another is a little quicker", map[string]time.Duration{"a": 400 * time.Millisecond, "b": 300 * time.Millisecond}, "a"},
		{"another one that is clearly quicker", map[string]time.Duration{"a": 800 * time.Millisecond, "b": 300 * time.Millisecond}, "b"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			fk := &fakes{waits: each.waits}
			outcome, _ := serve(t, fk, "/draft/1", nil)
			assertOutcome(t, "Answered", outcome)
			must.Eq(t, []string{each.want, each.want}, fk.ran)
		})
	}
}
