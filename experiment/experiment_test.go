package experiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/experiment"
	"github.com/turmericdoor/turmericdoor/limit"
)

// deployment reads a user's document.
func deployment(t *testing.T, user string) *document.Document {
	t.Helper()
	paths, err := filepath.Glob("../examples/" + user + "/document/*.ini")
	must.NoError(t, err)
	text := document.Text{Revision: 1}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		must.NoError(t, err)
		text = text.With(document.TeamText{Team: strings.TrimSuffix(filepath.Base(path), ".ini"), Text: string(content)})
	}
	parsed, faults := document.Parse(text)
	must.SliceEmpty(t, faults)
	return parsed
}

// now is the policy that the program runs with.
var now = experiment.Decisions{Title: "adaptive", Limit: limit.Adaptive{}}

func run(t *testing.T, name string, policy experiment.Policy, seed uint64) *experiment.Result {
	t.Helper()
	scenario, err := experiment.Load(name, "../experiments/"+name+".ini")
	must.NoError(t, err)
	return experiment.Run(deployment(t, "asante"), scenario, policy, 8, seed)
}

// TestTargets holds the decisions to the figures that they are meant to reach.
func TestTargets(t *testing.T) {
	t.Run("urgent work at 0.8 of capacity", func(t *testing.T) {
		must.GreaterEq(t, 0.999, run(t, "02-steady-80", now, 1).Urgent("Urgent"))
	})
	t.Run("urgent work in a background flood, within 0.1 points of none", func(t *testing.T) {
		calm := run(t, "01-steady-50", now, 1).Urgent("Urgent")
		must.GreaterEq(t, calm-0.001, run(t, "04-background-flood", now, 1).Urgent("Urgent"))
	})
	t.Run("small organisations beside one that sends 20 times all others", func(t *testing.T) {
		calm := run(t, "01-steady-50", now, 1).Small()
		flooded := run(t, "06-one-organisation", now, 1).Small()
		must.GreaterEq(t, 0.99, flooded)
		must.GreaterEq(t, calm-0.01, flooded)
	})
	t.Run("useful work at three times capacity", func(t *testing.T) {
		must.GreaterEq(t, 0.95, run(t, "14-three-times", now, 1).Useful())
	})
	t.Run("a third dead and then a third slow", func(t *testing.T) {
		must.GreaterEq(t, 0.9, run(t, "10-dead-and-slow", now, 1).Urgent("Urgent"))
	})
	t.Run("the baseline misses them", func(t *testing.T) {
		must.Less(t, 0.9, run(t, "04-background-flood", experiment.Baseline{}, 1).Urgent("Urgent"))
		must.Less(t, 0.9, run(t, "06-one-organisation", experiment.Baseline{}, 1).Small())
		must.Less(t, 0.9, run(t, "10-dead-and-slow", experiment.Baseline{}, 1).Urgent("Urgent"))
	})
}

func TestSameSeedSameRun(t *testing.T) {
	first, second := run(t, "10-dead-and-slow", now, 3), run(t, "10-dead-and-slow", now, 3)
	must.Eq(t, first.PerSecond(), second.PerSecond())
	must.Eq(t, first.Cost(), second.Cost())
}
