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
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Run is one load run.
type Run struct {
	config  *plan.Load
	streams []stream
	client  *http.Client
	began   time.Time
	next    int
	group   sync.WaitGroup
	report  *report
}

// maxOpen bounds the requests in flight, so that a dead target does not use up the machine; requests beyond
// it are counted as not sent.
const maxOpen = 4096

// New reads a load file.
func New(path string) (*Run, error) {
	config, streams, err := readPlan(path)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpen, MaxConnsPerHost: maxOpen}
	return &Run{config: config, streams: streams, client: &http.Client{Transport: transport}, report: newReport()}, nil
}

// progressInterval is the time between two lines of progress.
const progressInterval = 2 * time.Second

// Do sends all requests at their times and returns once each has ended; progress goes to out.
func (rn *Run) Do(ctx context.Context, out io.Writer) {
	rn.began = time.Now()
	random := rand.New(rand.NewPCG(uint64(rn.config.GetSeed()), 1))
	due := make([]time.Duration, len(rn.streams))
	for at, one := range rn.streams {
		due[at] = timer.Milliseconds(one.config.GetFromMs()) + gap(random, one)
	}
	shown := rn.began
	for ctx.Err() == nil {
		at := earliest(due)
		if due[at] >= timer.Milliseconds(rn.config.GetDurationMs()) {
			break
		}
		intended := rn.began.Add(due[at])
		time.Sleep(time.Until(intended))
		if rn.isDue(rn.streams[at], due[at]) {
			rn.send(ctx, rn.streams[at], intended)
		}
		due[at] += gap(random, rn.streams[at])
		if time.Since(shown) >= progressInterval {
			shown = time.Now()
			fmt.Fprintf(out, "%6.1fs %s\n", time.Since(rn.began).Seconds(), rn.report.progress())
		}
	}
	rn.group.Wait()
}

// gap draws the time until a stream's next request.
func gap(random *rand.Rand, one stream) time.Duration {
	rate := float64(one.config.GetRatePerMinute()) / 60
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func earliest(due []time.Duration) int {
	best := 0
	for at := range due {
		if due[at] < due[best] {
			best = at
		}
	}
	return best
}

func (rn *Run) isDue(one stream, at time.Duration) bool {
	to := timer.Milliseconds(one.config.GetToMs())
	return at >= timer.Milliseconds(one.config.GetFromMs()) && (to == 0 || at < to)
}

// send makes one request without waiting for its answer.
func (rn *Run) send(ctx context.Context, one stream, intended time.Time) {
	rn.next++
	target, number := rn.config.GetTargets()[rn.next%len(rn.config.GetTargets())], rn.next
	if !rn.report.open() {
		rn.report.ended(one, outcomeOf{outcome: "NotSent", at: intended.Sub(rn.began)})
		return
	}
	rn.group.Go(func() {
		defer rn.report.close()
		got, stages := rn.ask(ctx, target, one, number)
		rn.report.ended(one, outcomeOf{
			outcome: got, took: time.Since(intended), at: intended.Sub(rn.began), stages: stages,
			deadline: timer.Milliseconds(one.config.GetDeadlineMs()),
		})
	})
}

// ask sends one request and returns its outcome: that of the answer, or why there was none.
func (rn *Run) ask(ctx context.Context, target string, one stream, number int) (string, []answer.StageReport) {
	input, _ := json.Marshal(fmt.Sprintf("%s %d", one.name, number))
	body := caller.RequestBody{Rank: one.config.GetRank(), DeadlineMs: one.config.GetDeadlineMs(), Input: input}
	if one.config.GetNonIdempotent() {
		body.IdempotencyKey = fmt.Sprintf("load-%d-%d", rn.began.UnixNano(), number)
	}
	encoded, _ := json.Marshal(body)
	url := "http://" + target + "/v1/pipelines/" + one.config.GetPipeline()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(encoded)))
	if err != nil {
		return "NotSent", nil
	}
	request.Header.Set("Authorization", "Bearer "+one.config.GetKey())
	response, err := rn.client.Do(request)
	if err != nil {
		return "NoAnswer", nil
	}
	defer response.Body.Close()
	got := caller.AnswerBody{}
	if json.NewDecoder(response.Body).Decode(&got) != nil {
		return "CutShort", nil
	}
	return string(got.Outcome), got.Stages
}
