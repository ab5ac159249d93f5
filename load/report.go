package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/turmericdoor/turmericdoor/answer"
)

// outcomeOf is how one request ended; took counts from the time at which it should have been sent.
type outcomeOf struct {
	outcome  string
	took     time.Duration
	at       time.Duration
	deadline time.Duration
	stages   []answer.StageReport
}

// group is the requests of one rank and organisation.
type group struct {
	rank         string
	organisation string
	sent         int64
	answered     int64
	inTime       int64
	outcomes     map[string]int64
	latency      *hdrhistogram.Histogram
	refusals     *hdrhistogram.Histogram
	perSecond    []float64
}

// stageCost is what the answers spent on one stage.
type stageCost struct {
	waitMs, runMs float64
	count         int64
}

// report collects outcomes.
type report struct {
	mu      sync.Mutex
	groups  map[string]*group
	stages  map[string]*stageCost
	inUse   int
	started int64
	done    int64
}

func newReport() *report {
	return &report{groups: map[string]*group{}, stages: map[string]*stageCost{}}
}

// open counts a request in flight and reports whether there was room.
func (rp *report) open() bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.started++
	if rp.inUse >= maxOpen {
		return false
	}
	rp.inUse++
	return true
}

func (rp *report) close() {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.inUse--
}

const (
	// maxLatencyMicros is the longest latency that is told apart.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// latencyDigits is the precision of latencies.
	latencyDigits = 3
)

func (rp *report) ended(one stream, ended outcomeOf) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.done++
	key := one.config.GetRank() + "/" + one.config.GetOrganisation()
	gr, known := rp.groups[key]
	if !known {
		gr = &group{
			rank: one.config.GetRank(), organisation: one.config.GetOrganisation(), outcomes: map[string]int64{},
			latency:  hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
			refusals: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		}
		rp.groups[key] = gr
	}
	gr.add(ended)
	for _, stage := range ended.stages {
		rp.addStage(stage)
	}
}

// add books an outcome. An answer counts as in time unless the plan's deadline passed, from the intended
// time; without one the instance's own deadline decides, since it does not answer later.
func (gr *group) add(ended outcomeOf) {
	gr.sent++
	gr.outcomes[ended.outcome]++
	micros := min(ended.took.Microseconds()+1, maxLatencyMicros)
	if ended.outcome == string(answer.NotRun) {
		_ = gr.refusals.RecordValue(micros)
	}
	if ended.outcome != string(answer.Answered) {
		return
	}
	gr.answered++
	_ = gr.latency.RecordValue(micros)
	if ended.deadline > 0 && ended.took > ended.deadline {
		return
	}
	gr.inTime++
	second := int(ended.at / time.Second)
	for len(gr.perSecond) <= second {
		gr.perSecond = append(gr.perSecond, 0)
	}
	gr.perSecond[second]++
}

func (rp *report) addStage(stage answer.StageReport) {
	cost, known := rp.stages[stage.Name]
	if !known {
		cost = &stageCost{}
		rp.stages[stage.Name] = cost
	}
	cost.count++
	cost.waitMs += stage.WaitMs
	cost.runMs += stage.RunMs
}

func (rp *report) progress() string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	inTime := int64(0)
	for _, gr := range rp.groups {
		inTime += gr.inTime
	}
	return fmt.Sprintf("sent=%d ended=%d in-time=%d in-flight=%d", rp.started, rp.done, inTime, rp.inUse)
}

func (rp *report) sorted() []*group {
	list := []*group{}
	for _, gr := range rp.groups {
		list = append(list, gr)
	}
	slices.SortFunc(list, func(left, right *group) int {
		if left.rank != right.rank {
			return compare(left.rank, right.rank)
		}
		return compare(left.organisation, right.organisation)
	})
	return list
}

func compare(left, right string) int {
	if left < right {
		return -1
	}
	return 1
}

// quantile is a quantile of latencies, in milliseconds.
func quantile(of *hdrhistogram.Histogram, percent float64) string {
	return fmt.Sprintf("%.2f", float64(of.ValueAtQuantile(percent))/1000)
}

func (gr *group) attainment() float64 {
	return 100 * float64(gr.inTime) / float64(max(gr.sent, 1))
}

// columns are the heads of the table and the CSV.
var columns = []string{"rank", "organisation", "sent", "answered", "in-time-%", "not-run", "unknown", "failed", "none", "p50-ms", "p95-ms", "p99-ms", "refused-p99-ms"}

func (gr *group) cells() []string {
	none := gr.sent - gr.outcomes["Answered"] - gr.outcomes["NotRun"] - gr.outcomes["Unknown"] - gr.outcomes["Failed"]
	return []string{
		gr.rank, gr.organisation, number(gr.sent), number(gr.answered), fmt.Sprintf("%.2f", gr.attainment()),
		number(gr.outcomes["NotRun"]), number(gr.outcomes["Unknown"]), number(gr.outcomes["Failed"]), number(none),
		quantile(gr.latency, 50), quantile(gr.latency, 95), quantile(gr.latency, 99), quantile(gr.refusals, 99),
	}
}

func number(value int64) string {
	return strconv.FormatInt(value, 10)
}

// Print writes the attainment by rank and organisation and the cost by stage.
func (rn *Run) Print(out io.Writer) {
	rn.report.mu.Lock()
	defer rn.report.mu.Unlock()
	printRow(out, columns)
	for _, gr := range rn.report.sorted() {
		printRow(out, gr.cells())
	}
	fmt.Fprintln(out)
	printRow(out, []string{"stage", "answers", "wait-ms", "run-ms"})
	names := []string{}
	for name := range rn.report.stages {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		cost := rn.report.stages[name]
		printRow(out, []string{
			name, number(cost.count), fmt.Sprintf("%.2f", cost.waitMs/float64(cost.count)), fmt.Sprintf("%.2f", cost.runMs/float64(cost.count)),
		})
	}
}

func printRow(out io.Writer, cells []string) {
	for at, cell := range cells {
		width := 10
		if at < 2 {
			width = 18
		}
		fmt.Fprintf(out, "%-*s ", width, cell)
	}
	fmt.Fprintln(out)
}

// WriteCSV writes the table to a file.
func (rn *Run) WriteCSV(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	rows := [][]string{columns}
	for _, gr := range rn.report.sorted() {
		rows = append(rows, gr.cells())
	}
	return csv.NewWriter(file).WriteAll(rows)
}

// WritePlot draws the answers in time each second by rank and organisation.
func (rn *Run) WritePlot(path string) error {
	chart := plot.New()
	chart.X.Label.Text = "second"
	chart.Y.Label.Text = "answers in time a second"
	chart.Y.Min = 0
	lines := []any{}
	for _, gr := range rn.report.sorted() {
		points := plotter.XYs{}
		for second, count := range gr.perSecond {
			points = append(points, plotter.XY{X: float64(second), Y: count})
		}
		lines = append(lines, gr.rank+" "+gr.organisation, points)
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return err
	}
	chart.Legend.Top = true
	return chart.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
