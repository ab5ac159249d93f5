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

// readDocument reads the document of an example deployment.
func readDocument(t *testing.T, user string) *document.Document {
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

// adaptive is the policy that the program uses.
var adaptive = experiment.Decisions{Title: "adaptive", Limit: limit.Adaptive{}}

func runScenario(t *testing.T, name string, policy experiment.Policy, seed uint64) *experiment.Result {
	t.Helper()
	scenario, err := experiment.ReadScenario(name, "../experiments/"+name+".ini")
	must.NoError(t, err)
	return experiment.Run(readDocument(t, "asante"), scenario, policy, 8, seed)
}

// TestTargets checks that the decision packages reach the targets under load and faults, and that the
// baseline misses those of three scenarios.
func TestTargets(t *testing.T) {
	t.Run("urgent work at 0.8 of capacity", func(t *testing.T) {
		must.GreaterEq(t, 0.999, runScenario(t, "02-steady-80", adaptive, 1).AnsweredShare("Urgent"))
	})
	t.Run("urgent work in a background flood, within 0.1 points of none", func(t *testing.T) {
		withoutFlood := runScenario(t, "01-steady-50", adaptive, 1).AnsweredShare("Urgent")
		must.GreaterEq(t, withoutFlood-0.001, runScenario(t, "04-background-flood", adaptive, 1).AnsweredShare("Urgent"))
	})
	t.Run("small organisations beside one that sends 20 times all others", func(t *testing.T) {
		withoutFlood := runScenario(t, "01-steady-50", adaptive, 1).SmallOrganisationShare()
		withFlood := runScenario(t, "06-one-organisation", adaptive, 1).SmallOrganisationShare()
		must.GreaterEq(t, 0.99, withFlood)
		must.GreaterEq(t, withoutFlood-0.01, withFlood)
	})
	t.Run("useful work at three times capacity", func(t *testing.T) {
		must.GreaterEq(t, 0.95, runScenario(t, "14-three-times", adaptive, 1).GoodputShare())
	})
	t.Run("a third dead and then a third slow", func(t *testing.T) {
		must.GreaterEq(t, 0.9, runScenario(t, "10-dead-and-slow", adaptive, 1).AnsweredShare("Urgent"))
	})
	t.Run("the baseline misses them", func(t *testing.T) {
		must.Less(t, 0.9, runScenario(t, "04-background-flood", experiment.Baseline{}, 1).AnsweredShare("Urgent"))
		must.Less(t, 0.9, runScenario(t, "06-one-organisation", experiment.Baseline{}, 1).SmallOrganisationShare())
		must.Less(t, 0.9, runScenario(t, "10-dead-and-slow", experiment.Baseline{}, 1).AnsweredShare("Urgent"))
	})
}

func TestRunIsDeterministic(t *testing.T) {
	first, second := runScenario(t, "10-dead-and-slow", adaptive, 3), runScenario(t, "10-dead-and-slow", adaptive, 3)
	must.Eq(t, first.AnswersPerSecond(), second.AnswersPerSecond())
	must.Eq(t, first.CostPerAnswer(), second.CostPerAnswer())
}
