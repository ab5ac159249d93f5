package experiment

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotScenario draws the requests answered within their deadline per second for each policy, for the user asante
// and the first seed.
func plotScenario(path string, scenario *Scenario, rows []*row) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	chart := plot.New()
	chart.Title.Text = scenario.Config.GetTitle() + ", asante"
	chart.X.Label.Text = "second"
	chart.Y.Label.Text = "answers in time a second"
	chart.Y.Min = 0
	lines := []any{}
	for _, rw := range rows {
		if rw.scenario == scenario && rw.user.name == "asante" {
			lines = append(lines, rw.policy.Name(), rw.points())
		}
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return err
	}
	chart.Legend.Top = true
	// The factor leaves space for the legend above the lines.
	chart.Y.Max *= 1.4
	return chart.Save(14*vg.Centimeter, 8*vg.Centimeter, path)
}

// points returns, for each second of the scenario, the number of requests answered within their deadline. It
// uses the run with the first seed.
func (rw *row) points() plotter.XYs {
	points := plotter.XYs{}
	for second, answers := range rw.results[0].AnswersPerSecond() {
		if float64(second) < rw.results[0].seconds {
			points = append(points, plotter.XY{X: float64(second), Y: answers})
		}
	}
	return points
}
