package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/limit"
)

// user is one of the two example deployments, asante and gravura: the number of its entry instances and its
// document.
type user struct {
	name      string
	instances int
	document  *document.Document
}

// policies returns the policies that the report compares in every scenario.
func policies() []Policy {
	return []Policy{
		Baseline{},
		Decisions{Title: "divided", Limit: limit.Divided{}},
		Decisions{Title: "no brownout", Limit: limit.Adaptive{}, NoBrownout: true},
		Decisions{Title: "adaptive", Limit: limit.Adaptive{}},
	}
}

// row has the results of one scenario, user and policy, one for each seed.
type row struct {
	scenario *Scenario
	user     user
	policy   Policy
	results  []*Result
}

// WriteReport runs all scenarios of folder on the deployments in examples with this number of seeds. It
// writes a Markdown report to the file report, and a plot for each scenario to the folder of that name
// without the suffix .md.
func WriteReport(folder, examples string, seeds int, report string) error {
	scenarios, err := loadFolder(folder)
	if err != nil {
		return err
	}
	users, err := loadUsers(examples)
	if err != nil {
		return err
	}
	rows := plannedRows(scenarios, users)
	runRows(rows, seeds)
	text := &strings.Builder{}
	text.WriteString(heading(seeds))
	writeTargets(text, rows)
	plots := strings.TrimSuffix(report, ".md")
	for _, scenario := range scenarios {
		writeScenario(text, scenario, rows, filepath.Base(plots))
		if err := plotScenario(filepath.Join(plots, scenario.Name+".png"), scenario, rows); err != nil {
			return err
		}
	}
	return os.WriteFile(report, []byte(text.String()), 0o644)
}

// loadFolder reads all scenario files of a folder, in the order of their names.
func loadFolder(folder string) ([]*Scenario, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.ini"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	list := []*Scenario{}
	for _, path := range paths {
		scenario, err := ReadScenario(strings.TrimSuffix(filepath.Base(path), ".ini"), path)
		if err != nil {
			return nil, err
		}
		list = append(list, scenario)
	}
	return list, nil
}

// loadUsers reads the documents of both example deployments.
func loadUsers(examples string) ([]user, error) {
	list := []user{}
	for _, us := range []user{{name: "asante", instances: 8}, {name: "gravura", instances: 7}} {
		paths, err := filepath.Glob(filepath.Join(examples, us.name, "document", "*.ini"))
		if err != nil {
			return nil, err
		}
		text := document.Text{Revision: 1}
		for _, path := range paths {
			content, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			text = text.With(document.TeamText{Team: strings.TrimSuffix(filepath.Base(path), ".ini"), Text: string(content)})
		}
		parsed, faults := document.Parse(text)
		if len(faults) > 0 {
			return nil, fmt.Errorf("parse the document of user %q: %s", us.name, faults[0])
		}
		us.document = parsed
		list = append(list, us)
	}
	return list, nil
}

// plannedRows returns a row without results for each scenario, user and policy.
func plannedRows(scenarios []*Scenario, users []user) []*row {
	rows := []*row{}
	for _, scenario := range scenarios {
		for _, us := range users {
			for _, policy := range policies() {
				rows = append(rows, &row{scenario: scenario, user: us, policy: policy})
			}
		}
	}
	return rows
}

// runRows runs every row with every seed and stores the results. It runs half as many simulations in
// parallel as there are processors, but at least one.
func runRows(rows []*row, seeds int) {
	group, semaphore := sync.WaitGroup{}, make(chan struct{}, max(runtime.NumCPU()/2, 1))
	for _, rw := range rows {
		rw.results = make([]*Result, seeds)
		for seed := range seeds {
			group.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				rw.results[seed] = Run(rw.user.document, rw.scenario, rw.policy, rw.user.instances, uint64(seed+1))
			})
		}
	}
	group.Wait()
}

// heading returns the introduction of the report.
func heading(seeds int) string {
	return fmt.Sprintf(`# Figures

Written by `+"`make figures`"+`: the decision packages over small fakes with fake time, %d seeds, both users'
deployments, the same arrivals for each policy. *baseline* sends each call to the next upstream in turn,
first come first served, with no limits, refusals or retries. *divided* and *adaptive* are the program's
decisions with each of the two ways of limiting calls on an upstream; *divided* gives each instance
an equal part of an upstream's slots, *adaptive* is what runs now, and *no brownout* the same without leaving
anything out when time is short. The instances' balancer is uneven: the first instance gets 30%% of the load beyond its share.

Each cell is the median over the seeds with the lowest and the highest. *urgent*, *standard* and
*background* are the parts of the ordinary requests of each rank answered within the rank's deadline, with
refusals counted as missed; *small* the same for the urgent requests of the two smallest organisations;
*useful* is answers in time in parts of what the narrowest pool can carry; *cost* is busy upstream seconds
for each answer; *retries* is calls beyond the first in percent of offered requests; *broken* is the part of the
admitted requests that got no answer in time.
`, seeds)
}

// spread returns the median, the lowest and the highest value of a figure over the seeds.
func (rw *row) spread(figure func(rs *Result) float64) (median, lowest, highest float64) {
	values := []float64{}
	for _, result := range rw.results {
		values = append(values, figure(result))
	}
	slices.Sort(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}

// cell formats the spread of a figure for the table.
func (rw *row) cell(figure func(rs *Result) float64) string {
	median, lowest, highest := rw.spread(figure)
	return fmt.Sprintf("%.2f (%.2f to %.2f)", median, lowest, highest)
}

// percentOf returns the figure in percent.
func percentOf(figure func(rs *Result) float64) func(rs *Result) float64 {
	return func(rs *Result) float64 { return 100 * figure(rs) }
}

// answeredPercent returns the figure AnsweredShare of a rank in percent.
func answeredPercent(rank string) func(rs *Result) float64 {
	return percentOf(func(rs *Result) float64 { return rs.AnsweredShare(rank) })
}

// retryPercent returns the number of retries in percent of all requests.
func retryPercent(rs *Result) float64 {
	total := 0
	for _, outcomes := range rs.outcomes {
		total += outcomes
	}
	return 100 * float64(rs.retries) / float64(max(total, 1))
}

// writeScenario writes the table of one scenario and a link to its plot; plots is the folder of the plots,
// relative to the report. The table has a row for each user, which is one of the two example deployments, and
// policy; heading explains the columns, whose cells show the spread of a figure over the seeds.
func writeScenario(text *strings.Builder, scenario *Scenario, rows []*row, plots string) {
	fmt.Fprintf(text, "\n## %s\n\n`experiments/%s.ini`\n\n", scenario.Config.GetTitle(), scenario.Name)
	text.WriteString("| user | policy | urgent % | standard % | background % | small % | useful % | cost s | retries % | broken % |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, rw := range rows {
		if rw.scenario != scenario {
			continue
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", rw.user.name, rw.policy.Name(),
			rw.cell(answeredPercent("Urgent")), rw.cell(answeredPercent("Standard")), rw.cell(answeredPercent("Background")),
			rw.cell(percentOf((*Result).SmallOrganisationShare)), rw.cell(percentOf((*Result).GoodputShare)), rw.cell((*Result).CostPerAnswer), rw.cell(retryPercent), rw.cell(percentOf((*Result).UnansweredShare)))
	}
	fmt.Fprintf(text, "\n![answers in time each second](%s/%s.png)\n", plots, scenario.Name)
}
