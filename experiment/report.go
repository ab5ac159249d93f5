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

// user is one deployment of the brief.
type user struct {
	name      string
	instances int
	document  *document.Document
}

// policies are what is compared in every scenario.
func policies() []Policy {
	return []Policy{
		Baseline{},
		Decisions{Title: "divided", Limit: limit.Divided{}},
		Decisions{Title: "no brownout", Limit: limit.Adaptive{}, Whole: true},
		Decisions{Title: "adaptive", Limit: limit.Adaptive{}},
	}
}

// row is the results of one scenario, user and policy over all seeds.
type row struct {
	scenario *Scenario
	user     user
	policy   Policy
	results  []*Result
}

// WriteReport runs every scenario of a folder and writes a report in Markdown with a plot for each scenario.
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
	runAll(rows, seeds)
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

func loadFolder(folder string) ([]*Scenario, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.ini"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	list := []*Scenario{}
	for _, path := range paths {
		scenario, err := Load(strings.TrimSuffix(filepath.Base(path), ".ini"), path)
		if err != nil {
			return nil, err
		}
		list = append(list, scenario)
	}
	return list, nil
}

// loadUsers reads both users' documents.
func loadUsers(examples string) ([]user, error) {
	list := []user{}
	for _, one := range []user{{name: "asante", instances: 8}, {name: "gravura", instances: 7}} {
		paths, err := filepath.Glob(filepath.Join(examples, one.name, "document", "*.ini"))
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
			return nil, fmt.Errorf("%s: %s", one.name, faults[0])
		}
		one.document = parsed
		list = append(list, one)
	}
	return list, nil
}

func plannedRows(scenarios []*Scenario, users []user) []*row {
	rows := []*row{}
	for _, scenario := range scenarios {
		for _, one := range users {
			for _, policy := range policies() {
				rows = append(rows, &row{scenario: scenario, user: one, policy: policy})
			}
		}
	}
	return rows
}

// runAll makes every run, as many at a time as there are processors to half.
func runAll(rows []*row, seeds int) {
	group, room := sync.WaitGroup{}, make(chan struct{}, max(runtime.NumCPU()/2, 1))
	for _, one := range rows {
		one.results = make([]*Result, seeds)
		for seed := range seeds {
			group.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				one.results[seed] = Run(one.user.document, one.scenario, one.policy, one.user.instances, uint64(seed+1))
			})
		}
	}
	group.Wait()
}

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

// spread is the median, lowest and highest of a figure over the seeds.
func (rw *row) spread(figure func(rs *Result) float64) (median, lowest, highest float64) {
	values := []float64{}
	for _, result := range rw.results {
		values = append(values, figure(result))
	}
	slices.Sort(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}

func (rw *row) cell(figure func(rs *Result) float64) string {
	median, lowest, highest := rw.spread(figure)
	return fmt.Sprintf("%.2f (%.2f to %.2f)", median, lowest, highest)
}

func percentOf(figure func(rs *Result) float64) func(rs *Result) float64 {
	return func(rs *Result) float64 { return 100 * figure(rs) }
}

func rankShare(rank string) func(rs *Result) float64 {
	return percentOf(func(rs *Result) float64 { return rs.Urgent(rank) })
}

func retryShare(rs *Result) float64 {
	total := 0
	for _, outcomes := range rs.outcomes {
		total += outcomes
	}
	return 100 * float64(rs.retries) / float64(max(total, 1))
}

func writeScenario(text *strings.Builder, scenario *Scenario, rows []*row, plots string) {
	fmt.Fprintf(text, "\n## %s\n\n`experiments/%s.ini`\n\n", scenario.Config.GetTitle(), scenario.Name)
	text.WriteString("| user | policy | urgent % | standard % | background % | small % | useful % | cost s | retries % | broken % |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, one := range rows {
		if one.scenario != scenario {
			continue
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", one.user.name, one.policy.Name(),
			one.cell(rankShare("Urgent")), one.cell(rankShare("Standard")), one.cell(rankShare("Background")),
			one.cell(percentOf((*Result).Small)), one.cell(percentOf((*Result).Useful)), one.cell((*Result).Cost), one.cell(retryShare), one.cell(percentOf((*Result).Broken)))
	}
	fmt.Fprintf(text, "\n![answers in time each second](%s/%s.png)\n", plots, scenario.Name)
}
