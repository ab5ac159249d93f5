package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Run is one load run: the streams of a load file, the requests in flight, and the outcomes so far.
type Run struct {
	config    *plan.Load
	streams   []stream
	client    *http.Client
	startedAt time.Time
	sent      int
	inFlight  sync.WaitGroup
	report    *report
}

// maxInFlight bounds the requests in flight, so that an unresponsive target does not exhaust the sockets
// and memory of this machine. Requests beyond the bound are reported as NotSent.
const maxInFlight = 4096

const (
	// maxHead bounds the head of a response, and maxAnswer its body, in bytes.
	maxHead   = 64 << 10
	maxAnswer = 32 << 20
)

// New reads the load file at path and returns a run that has not started. The error lists all faults of the
// file.
func New(path string) (*Run, error) {
	config, streams, err := readLoadFile(path)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, MaxConnsPerHost: maxInFlight, MaxResponseHeaderBytes: maxHead}
	return &Run{config: config, streams: streams, client: &http.Client{Transport: transport}, report: newReport()}, nil
}

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// Do sends all requests at their scheduled times, which are a Poisson process for each stream, and returns
// once each has ended. It writes progress lines to out. It stops early once ctx is done.
func (rn *Run) Do(ctx context.Context, out io.Writer) {
	rn.startedAt = time.Now()
	random := rand.New(rand.NewPCG(uint64(rn.config.GetSeed()), 1))
	due := make([]time.Duration, len(rn.streams))
	for at, st := range rn.streams {
		due[at] = timer.Milliseconds(st.config.GetFromMs()) + nextGap(random, st)
	}
	lastProgress := rn.startedAt
	for ctx.Err() == nil {
		at := earliestIndex(due)
		if due[at] >= timer.Milliseconds(rn.config.GetDurationMs()) {
			break
		}
		scheduled := rn.startedAt.Add(due[at])
		if !sleepUntil(ctx, scheduled) {
			break
		}
		if rn.isActive(rn.streams[at], due[at]) {
			rn.send(ctx, rn.streams[at], scheduled)
		}
		due[at] += nextGap(random, rn.streams[at])
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			fmt.Fprintf(out, "%6.1fs %s\n", time.Since(rn.startedAt).Seconds(), rn.report.progress())
		}
	}
	rn.inFlight.Wait()
}

// sleepUntil waits until a time and reports whether ctx has not ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	reached := time.NewTimer(time.Until(at))
	defer reached.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-reached.C:
		return true
	}
}

// nextGap draws the exponentially distributed time until a stream's next request.
func nextGap(random *rand.Rand, st stream) time.Duration {
	rate := float64(st.config.GetRatePerMinute()) / 60
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// earliestIndex returns the index of the stream whose next request is due first.
func earliestIndex(due []time.Duration) int {
	best := 0
	for at := range due {
		if due[at] < due[best] {
			best = at
		}
	}
	return best
}

// isActive reports whether a stream sends requests at this time since the start of the run.
func (rn *Run) isActive(st stream, at time.Duration) bool {
	to := timer.Milliseconds(st.config.GetToMs())
	return at >= timer.Milliseconds(st.config.GetFromMs()) && (to == 0 || at < to)
}

// send starts one request, to the targets in turn, and returns without waiting for the response. It reports
// the request as NotSent if maxInFlight requests are in flight.
func (rn *Run) send(ctx context.Context, st stream, scheduled time.Time) {
	rn.sent++
	target, number := rn.config.GetTargets()[rn.sent%len(rn.config.GetTargets())], rn.sent
	if !rn.report.acquire() {
		rn.report.record(st, requestOutcome{outcome: "NotSent", scheduledAt: scheduled.Sub(rn.startedAt)})
		return
	}
	rn.inFlight.Go(func() {
		defer rn.report.release()
		outcome, stages := rn.post(ctx, target, st, number)
		rn.report.record(st, requestOutcome{
			outcome: outcome, elapsed: time.Since(scheduled), scheduledAt: scheduled.Sub(rn.startedAt), stages: stages,
			deadline: timer.Milliseconds(st.config.GetDeadlineMs()),
		})
	})
}

// post sends one request and returns the outcome and the stages of its response, or NotSent, NoAnswer or
// CutShort if there is no response that can be decoded.
func (rn *Run) post(ctx context.Context, target string, st stream, number int) (string, []answer.StageReport) {
	input, _ := json.Marshal(fmt.Sprintf("%s %d", st.name, number))
	body := caller.RequestBody{Rank: st.config.GetRank(), DeadlineMs: st.config.GetDeadlineMs(), Input: input}
	if st.config.GetNonIdempotent() {
		body.IdempotencyKey = fmt.Sprintf("load-%d-%d", rn.startedAt.UnixNano(), number)
	}
	encoded, _ := json.Marshal(body)
	url := "http://" + target + "/v1/pipelines/" + st.config.GetPipeline()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(encoded)))
	if err != nil {
		return "NotSent", nil
	}
	request.Header.Set("Authorization", "Bearer "+st.config.GetKey())
	response, err := rn.client.Do(request)
	if err != nil {
		return "NoAnswer", nil
	}
	defer response.Body.Close()
	reply := caller.AnswerBody{}
	if json.NewDecoder(readlimit.NewReader(response.Body, maxAnswer)).Decode(&reply) != nil {
		return "CutShort", nil
	}
	return string(reply.Outcome), reply.Stages
}
