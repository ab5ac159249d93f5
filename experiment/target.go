package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// target is one figure that the decisions are meant to reach, in percent or points of it.
type target struct {
	what   string
	wanted float64
	figure func(results func(scenario string) []*Result) float64
}

// targets are the figures to reach under load; each looks at the worst seed.
func targets() []target {
	worst := func(list []*Result, figure func(rs *Result) float64) float64 {
		// A folder without the scenario leaves the figure at zero.
		values := []float64{}
		if len(list) == 0 {
			return 0
		}
		for _, result := range list {
			values = append(values, 100*figure(result))
		}
		return slices.Min(values)
	}
	urgent := func(rs *Result) float64 { return rs.Urgent("Urgent") }
	return []target{
		{"urgent requests in time at 0.8 of capacity, %", 99.9, func(of func(string) []*Result) float64 {
			return worst(of("02-steady-80"), urgent)
		}},
		{"urgent requests in time in a 10 times background flood, points beside no flood", -0.1, func(of func(string) []*Result) float64 {
			return worst(of("04-background-flood"), urgent) - worst(of("01-steady-50"), urgent)
		}},
		{"small organisations in time while one sends 20 times all others, %", 99, func(of func(string) []*Result) float64 {
			return worst(of("06-one-organisation"), (*Result).Small)
		}},
		{"the same, points beside no flood", -1, func(of func(string) []*Result) float64 {
			return worst(of("06-one-organisation"), (*Result).Small) - worst(of("01-steady-50"), (*Result).Small)
		}},
		{"useful work at 3 times capacity, % of what capacity allows", 95, func(of func(string) []*Result) float64 {
			return worst(of("14-three-times"), (*Result).Useful)
		}},
		{"answers from 5 s after four of ten engines died, % of what the rest can carry", 90, func(of func(string) []*Result) float64 {
			return worst(of("08-third-dead"), func(rs *Result) float64 { return rs.after(10) / 0.6 })
		}},
		{"urgent requests in time with four of ten dead and then slow, load 0.6, %", 90, func(of func(string) []*Result) float64 {
			return worst(of("10-dead-and-slow"), urgent)
		}},
	}
}

// after is the answers in time from a second of the run on, as a part of what the capacity allows.
func (rs *Result) after(second int) float64 {
	total := 0.0
	last := int(rs.seconds)
	for at := second; at < last && at < len(rs.perSecond); at++ {
		total += rs.perSecond[at]
	}
	return total / (rs.capacity * float64(last-second))
}

// writeTargets writes each figure beside its target, for the policy that runs now.
func writeTargets(text *strings.Builder, rows []*row) {
	text.WriteString("\n## Figures to reach\n\nThe worst of the seeds, with the policy that runs now.\n\n")
	text.WriteString("| figure | target | asante | gravura | reached |\n| --- | --- | --- | --- | --- |\n")
	for _, one := range targets() {
		got := map[string]float64{}
		for _, user := range []string{"asante", "gravura"} {
			got[user] = one.figure(func(scenario string) []*Result { return resultsOf(rows, scenario, user) })
		}
		reached := "yes"
		if min(got["asante"], got["gravura"]) < one.wanted {
			reached = "no"
		}
		fmt.Fprintf(text, "| %s | %g | %.2f | %.2f | %s |\n", one.what, one.wanted, got["asante"], got["gravura"], reached)
	}
}

// resultsOf returns the runs of a scenario and user with the policy that runs now.
func resultsOf(rows []*row, scenario, user string) []*Result {
	for _, one := range rows {
		if one.scenario.Name == scenario && one.user.name == user && one.policy.Name() == "adaptive" {
			return one.results
		}
	}
	return nil
}
