package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// target is a minimum for one figure, in percent or in percentage points.
type target struct {
	title   string
	minimum float64
	figure  func(results func(scenario string) []*Result) float64
}

// targets returns the minimums for the program's decisions; each figure is that of the worst seed. "In time"
// means within the deadline of the request's rank.
func targets() []target {
	worst := func(list []*Result, figure func(rs *Result) float64) float64 {
		// The list is empty if the folder does not have the scenario; the figure is 0 then.
		values := []float64{}
		if len(list) == 0 {
			return 0
		}
		for _, result := range list {
			values = append(values, 100*figure(result))
		}
		return slices.Min(values)
	}
	urgent := func(rs *Result) float64 { return rs.AnsweredShare("Urgent") }
	return []target{
		{"urgent requests in time at 0.8 of capacity, %", 99.9, func(of func(string) []*Result) float64 {
			return worst(of("02-steady-80"), urgent)
		}},
		{"urgent requests in time in a 10 times background flood, points beside no flood", -0.1, func(of func(string) []*Result) float64 {
			return worst(of("04-background-flood"), urgent) - worst(of("01-steady-50"), urgent)
		}},
		{"small organisations in time while one sends 20 times all others, %", 99, func(of func(string) []*Result) float64 {
			return worst(of("06-one-organisation"), (*Result).SmallOrganisationShare)
		}},
		{"the same, points beside no flood", -1, func(of func(string) []*Result) float64 {
			return worst(of("06-one-organisation"), (*Result).SmallOrganisationShare) - worst(of("01-steady-50"), (*Result).SmallOrganisationShare)
		}},
		{"useful work at 3 times capacity, % of what capacity allows", 95, func(of func(string) []*Result) float64 {
			return worst(of("14-three-times"), (*Result).GoodputShare)
		}},
		{"answers from 5 s after four of ten engines died, % of what the rest can carry", 90, func(of func(string) []*Result) float64 {
			return worst(of("08-third-dead"), func(rs *Result) float64 { return rs.goodputShareFrom(10) / 0.6 })
		}},
		{"urgent requests in time with four of ten dead and then slow, load 0.6, %", 90, func(of func(string) []*Result) float64 {
			return worst(of("10-dead-and-slow"), urgent)
		}},
	}
}

// goodputShareFrom is GoodputShare for the time from this second to the end of the scenario.
func (rs *Result) goodputShareFrom(second int) float64 {
	total := 0.0
	last := int(rs.seconds)
	for at := second; at < last && at < len(rs.answersPerSecond); at++ {
		total += rs.answersPerSecond[at]
	}
	return total / (rs.capacity * float64(last-second))
}

// writeTargets writes a table of the figures and targets, for the policy that the program uses.
func writeTargets(text *strings.Builder, rows []*row) {
	text.WriteString("\n## Figures to reach\n\nThe worst of the seeds, with the policy that runs now.\n\n")
	text.WriteString("| figure | target | asante | gravura | reached |\n| --- | --- | --- | --- | --- |\n")
	for _, tg := range targets() {
		got := map[string]float64{}
		for _, user := range []string{"asante", "gravura"} {
			got[user] = tg.figure(func(scenario string) []*Result { return resultsOf(rows, scenario, user) })
		}
		reached := "yes"
		if min(got["asante"], got["gravura"]) < tg.minimum {
			reached = "no"
		}
		fmt.Fprintf(text, "| %s | %g | %.2f | %.2f | %s |\n", tg.title, tg.minimum, got["asante"], got["gravura"], reached)
	}
}

// resultsOf returns the results of a scenario and user with the policy that the program uses, or nil.
func resultsOf(rows []*row, scenario, user string) []*Result {
	for _, rw := range rows {
		if rw.scenario.Name == scenario && rw.user.name == user && rw.policy.Name() == "adaptive" {
			return rw.results
		}
	}
	return nil
}
