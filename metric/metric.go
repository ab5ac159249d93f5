package metric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the metrics of one instance; it is safe for concurrent use.
type Set struct {
	set *metrics.Set
	// events maps an eventKey to its *eventMetrics.
	events sync.Map
}

// New returns a set without metrics.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Write writes all metrics, including those of the process, in the Prometheus text format.
func (st *Set) Write(to io.Writer) {
	st.set.WritePrometheus(to)
	metrics.WriteProcessMetrics(to)
}

// Request describes a finished request.
type Request struct {
	Rank         string
	Organisation string
	Pipeline     string
	Outcome      string
	Code         string
	DeadlineMet  bool
	Duration     time.Duration
}

// RecordRequest counts a finished request and records its duration.
func (st *Set) RecordRequest(request Request) {
	labels := fmt.Sprintf("rank=%q,organisation=%q,pipeline=%q", request.Rank, request.Organisation, request.Pipeline)
	st.set.GetOrCreateCounter(fmt.Sprintf("turmericdoor_requests_total{%s,outcome=%q,code=%q}", labels, request.Outcome, request.Code)).Inc()
	st.set.GetOrCreateHistogram(fmt.Sprintf("turmericdoor_request_seconds{rank=%q}", request.Rank)).Update(request.Duration.Seconds())
	if request.DeadlineMet {
		st.set.GetOrCreateCounter(fmt.Sprintf("turmericdoor_deadline_attained_total{%s}", labels)).Inc()
	}
}

// Response describes how a response that has begun ended: Resumed if more than one upstream wrote it, End as in the log.
type Response struct {
	Pipeline string
	Resumed  bool
	End      string
}

// RecordResponse counts a response that has begun.
func (st *Set) RecordResponse(response Response) {
	st.set.GetOrCreateCounter(fmt.Sprintf("turmericdoor_responses_total{pipeline=%q,resumed=\"%t\",end=%q}", response.Pipeline, response.Resumed, response.End)).Inc()
}

// RecordStage adds the wait and run times of one stage of a request.
func (st *Set) RecordStage(pipeline, stage string, wait, run time.Duration) {
	labels := fmt.Sprintf("pipeline=%q,stage=%q", pipeline, stage)
	st.set.GetOrCreateFloatCounter("turmericdoor_stage_wait_seconds_total{" + labels + "}").Add(wait.Seconds())
	st.set.GetOrCreateFloatCounter("turmericdoor_stage_run_seconds_total{" + labels + "}").Add(run.Seconds())
}

// RecordTableCall counts a call to the platform's table service.
func (st *Set) RecordTableCall(call, outcome string) {
	st.set.GetOrCreateCounter(fmt.Sprintf("turmericdoor_table_calls_total{call=%q,outcome=%q}", call, outcome)).Inc()
}

// RegisterGauge registers a gauge whose value is read at each scrape. The gauge is called "turmericdoor_" followed by name,
// which may end with labels in braces.
func (st *Set) RegisterGauge(name string, read func() float64) {
	st.set.GetOrCreateGauge("turmericdoor_"+name, read)
}
