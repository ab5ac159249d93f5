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

// requestOutcome is how one request ended. scheduledAt is the scheduled time since the start of the run.
// elapsed counts from there, so that a delay of the generator counts as latency.
type requestOutcome struct {
	outcome     string
	elapsed     time.Duration
	scheduledAt time.Duration
	deadline    time.Duration
	stages      []answer.StageReport
}

// group is the outcomes of the requests of one rank and organisation.
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

// stageCost is the sum of the waiting and running times of one stage over the responses that report it.
type stageCost struct {
	waitMs, runMs float64
	count         int64
}

// report collects the outcomes of a run; its methods lock mu, except recordStage and sorted.
type report struct {
	mu       sync.Mutex
	groups   map[string]*group
	stages   map[string]*stageCost
	inFlight int
	started  int64
	ended    int64
}

func newReport() *report {
	return &report{groups: map[string]*group{}, stages: map[string]*stageCost{}}
}

// acquire counts a started request and reports whether fewer than maxInFlight requests were in flight.
func (rp *report) acquire() bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.started++
	if rp.inFlight >= maxInFlight {
		return false
	}
	rp.inFlight++
	return true
}

// release counts the end of a request for which acquire returned true.
func (rp *report) release() {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.inFlight--
}

const (
	// maxLatencyMicros is the upper end of the histograms; longer latencies are recorded as this one.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// latencyDigits is the number of significant decimal digits of the histograms.
	latencyDigits = 3
)

func (rp *report) record(st stream, result requestOutcome) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.ended++
	key := st.config.GetRank() + "/" + st.config.GetOrganisation()
	gr, known := rp.groups[key]
	if !known {
		gr = &group{
			rank: st.config.GetRank(), organisation: st.config.GetOrganisation(), outcomes: map[string]int64{},
			latency:  hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
			refusals: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		}
		rp.groups[key] = gr
	}
	gr.record(result)
	for _, stage := range result.stages {
		rp.recordStage(stage)
	}
}

// record adds the outcome of one request. An answer counts as in time unless it came later than the
// stream's deadline after the scheduled time. If the stream has no deadline, every answer counts as in
// time, since the instance enforces its own deadline.
func (gr *group) record(result requestOutcome) {
	gr.sent++
	gr.outcomes[result.outcome]++
	micros := min(result.elapsed.Microseconds()+1, maxLatencyMicros)
	if result.outcome == string(answer.NotRun) {
		_ = gr.refusals.RecordValue(micros)
	}
	if result.outcome != string(answer.Answered) {
		return
	}
	gr.answered++
	_ = gr.latency.RecordValue(micros)
	if result.deadline > 0 && result.elapsed > result.deadline {
		return
	}
	gr.inTime++
	second := int(result.scheduledAt / time.Second)
	for len(gr.perSecond) <= second {
		gr.perSecond = append(gr.perSecond, 0)
	}
	gr.perSecond[second]++
}

func (rp *report) recordStage(stage answer.StageReport) {
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
	return fmt.Sprintf("sent=%d ended=%d in-time=%d in-flight=%d", rp.started, rp.ended, inTime, rp.inFlight)
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

// quantileMs formats a percentile of a histogram in milliseconds.
func quantileMs(histogram *hdrhistogram.Histogram, percent float64) string {
	return fmt.Sprintf("%.2f", float64(histogram.ValueAtQuantile(percent))/1000)
}

// attainment returns the percentage of the requests that were answered in time.
func (gr *group) attainment() float64 {
	return 100 * float64(gr.inTime) / float64(max(gr.sent, 1))
}

// columns are the column titles of the table and the CSV file. The columns answered, not-run, unknown and failed count
// the requests by the outcome in the response: "not-run" was sent to no upstream, "unknown" is not idempotent and may
// have run, "failed" was sent but has no output. "none" counts the requests without such a response: they were not
// sent, got no response, or one that was cut short.
var columns = []string{"rank", "organisation", "sent", "answered", "in-time-%", "not-run", "unknown", "failed", "none", "p50-ms", "p95-ms", "p99-ms", "refused-p99-ms"}

func (gr *group) cells() []string {
	none := gr.sent - gr.outcomes["Answered"] - gr.outcomes["NotRun"] - gr.outcomes["Unknown"] - gr.outcomes["Failed"]
	return []string{
		gr.rank, gr.organisation, formatCount(gr.sent), formatCount(gr.answered), fmt.Sprintf("%.2f", gr.attainment()),
		formatCount(gr.outcomes["NotRun"]), formatCount(gr.outcomes["Unknown"]), formatCount(gr.outcomes["Failed"]), formatCount(none),
		quantileMs(gr.latency, 50), quantileMs(gr.latency, 95), quantileMs(gr.latency, 99), quantileMs(gr.refusals, 99),
	}
}

func formatCount(value int64) string {
	return strconv.FormatInt(value, 10)
}

// Print writes a table of the outcomes by rank and organisation, and one of the mean waiting and running
// times by stage.
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
			name, formatCount(cost.count), fmt.Sprintf("%.2f", cost.waitMs/float64(cost.count)), fmt.Sprintf("%.2f", cost.runMs/float64(cost.count)),
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

// WriteCSV writes the table of outcomes to a CSV file at path.
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

// WritePlot draws the requests answered within their deadline per second, by rank and organisation, to an image
// file at path.
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
