package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/claimant"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/runner"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// Handler serves the requests of callers.
type Handler struct {
	Timers   *timer.Service
	Holder   *revision.Holder
	Runner   *runner.Runner
	Claimant *claimant.Claimant
	Gate     *drain.Gate
	Events   *timeline.Ring
	Metrics  *metric.Set
	Random   *entropy.Source
	MaxBody  int64
}

// Routes returns the HTTP handler for all paths.
func (hd *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{Pipeline}", hd.serve)
	mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		writeAnswer(writer, answer.NewNotRun(answer.UnknownPipeline, 0, "the path is POST /v1/pipelines/NAME"))
	})
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		hd.announceStop(writer)
		mux.ServeHTTP(writer, incoming)
	})
}

// announceStop asks the caller of a stopping instance to close its connection after the answer. Closing unused connections
// from this side instead could cut off a request that is on its way.
func (hd *Handler) announceStop(writer http.ResponseWriter) {
	if hd.Gate.Phase() >= drain.Draining {
		writer.Header().Set("Connection", "close")
	}
}

// serve handles one request, from admission at the gate to its answer.
func (hd *Handler) serve(writer http.ResponseWriter, incoming *http.Request) {
	arrived := hd.Timers.Now()
	if !hd.Gate.Enter() {
		writeAnswer(writer, hd.notServing())
		return
	}
	defer hd.Gate.Leave()
	parsed, refusal := hd.parse(writer, incoming, arrived)
	if parsed == nil {
		writeAnswer(writer, refusal)
		return
	}
	hd.recordEvent(wire.EventKind_EventRequestArrived, parsed, answer.Answer{}, 0)
	ended := hd.execute(incoming.Context(), parsed)
	ended.RequestID = parsed.request.ID
	took := hd.Timers.Now().Sub(arrived)
	hd.recordEvent(wire.EventKind_EventRequestEnded, parsed, ended, took)
	hd.recordMetrics(parsed, ended, took)
	parsed.reply(writer, ended)
}

// notServing returns the answer to a request that arrives before the first document or during a shutdown.
func (hd *Handler) notServing() answer.Answer {
	if hd.Gate.Phase() == drain.Starting {
		return answer.NewNotRun(answer.InstanceNotReady, time.Second, "the instance has no document yet")
	}
	return answer.NewNotRun(answer.InstanceStopping, time.Second, "the instance is stopping")
}

// parsedRequest is a validated request with its idempotency key, and its stream if the caller asked for one.
type parsedRequest struct {
	request *runner.Request
	key     string
	stream  *stream
}

func (pr *parsedRequest) reply(writer http.ResponseWriter, ended answer.Answer) {
	if pr.stream != nil && pr.stream.started {
		pr.stream.end(ended)
		return
	}
	writeAnswer(writer, ended)
}

// parse authenticates the caller and validates the request, or returns the refusal.
func (hd *Handler) parse(writer http.ResponseWriter, incoming *http.Request, arrived time.Time) (*parsedRequest, answer.Answer) {
	current := hd.Holder.Current()
	key, _ := strings.CutPrefix(incoming.Header.Get("Authorization"), "Bearer ")
	organisation, known := current.OrganisationByKey(key)
	if !known {
		return nil, answer.NewNotRun(answer.UnknownKey, 0, "the header Authorization must be \"Bearer\" and a key of an organisation")
	}
	body, refusal := hd.readBody(writer, incoming)
	if body == nil {
		return nil, refusal
	}
	pipeline, refusal := findPipeline(current, organisation, incoming.PathValue("Pipeline"))
	if pipeline == nil {
		return nil, refusal
	}
	rank, ranked := current.Ranks[body.Rank]
	if !ranked {
		return nil, answer.NewNotRun(answer.UnknownRank, 0, "Rank must be one of "+rankNames(current))
	}
	request := &runner.Request{
		ID: body.RequestID, Document: current, Organisation: organisation, Rank: rank, Pipeline: pipeline,
		Deadline: arrived.Add(rank.Deadline), Fingerprint: digest.Of([]byte(pipeline.Name), body.Input),
	}
	return hd.finishParsing(writer, request, body, arrived)
}

// finishParsing validates the fields whose meaning depends on the pipeline and the rank.
func (hd *Handler) finishParsing(writer http.ResponseWriter, request *runner.Request, body *RequestBody, arrived time.Time) (*parsedRequest, answer.Answer) {
	if body.DeadlineMs < 0 {
		return nil, answer.NewNotRun(answer.DeadlinePassed, 0, "DeadlineMs lies in the past")
	}
	if body.DeadlineMs > 0 {
		own := arrived.Add(time.Duration(body.DeadlineMs) * time.Millisecond)
		if own.Before(request.Deadline) {
			request.Deadline = own
		}
	}
	if !request.Pipeline.Idempotent && body.IdempotencyKey == "" {
		return nil, answer.NewNotRun(answer.IdempotencyKeyMissing, 0, "the pipeline is not idempotent and needs an IdempotencyKey")
	}
	payload, understood := firstPayload(request.Pipeline, body.Input)
	if !understood {
		return nil, answer.NewNotRun(answer.BadRequest, 0, "Input must be a JSON string for this pipeline")
	}
	request.Payload = payload
	if request.ID == "" {
		request.ID = hd.Random.NewID()
	}
	pr := &parsedRequest{request: request, key: body.IdempotencyKey}
	if body.Stream {
		pr.stream = newStream(writer)
		request.OnToken = pr.stream.token
	}
	return pr, answer.Answer{}
}

// readBody reads and parses the body, or returns the refusal.
func (hd *Handler) readBody(writer http.ResponseWriter, incoming *http.Request) (*RequestBody, answer.Answer) {
	raw, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, hd.MaxBody))
	tooLarge := &http.MaxBytesError{}
	if errors.As(err, &tooLarge) {
		return nil, answer.NewNotRun(answer.BodyTooLarge, 0, "the body is larger than "+strconv.FormatInt(hd.MaxBody, 10)+" bytes")
	}
	if err != nil {
		return nil, answer.NewNotRun(answer.BadRequest, 0, "the body could not be read")
	}
	return ParseBody(raw)
}

// maxRequestID is the largest length of a caller's request id, in bytes.
const maxRequestID = 128

// ParseBody parses the JSON body of a request, or returns the refusal.
func ParseBody(raw []byte) (*RequestBody, answer.Answer) {
	body := &RequestBody{}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, answer.NewNotRun(answer.BadRequest, 0, "the body is not the JSON that is expected: "+err.Error())
	}
	if decoder.More() {
		return nil, answer.NewNotRun(answer.BadRequest, 0, "the body holds more than one JSON value")
	}
	if len(body.RequestID) > maxRequestID || strings.ContainsFunc(body.RequestID, notPrintable) {
		return nil, answer.NewNotRun(answer.BadRequest, 0, "RequestId must be at most 128 printable ASCII characters")
	}
	return body, answer.Answer{}
}

func notPrintable(char rune) bool {
	return char < '!' || char > '~'
}

// findPipeline returns a pipeline that the organisation may call, or the refusal.
func findPipeline(current *document.Document, organisation *document.Organisation, name string) (*document.Pipeline, answer.Answer) {
	pipeline, found := current.Pipelines[name]
	if !found {
		return nil, answer.NewNotRun(answer.UnknownPipeline, 0, "there is no pipeline "+strconv.Quote(name))
	}
	if !organisation.Allows(name) {
		return nil, answer.NewNotRun(answer.PipelineNotAllowed, 0, "the organisation may not call pipeline "+strconv.Quote(name))
	}
	return pipeline, answer.Answer{}
}

func rankNames(current *document.Document) string {
	names := []string{}
	for _, rank := range current.RanksByPrecedence {
		names = append(names, rank.Name)
	}
	return strings.Join(names, ", ")
}

// firstPayload returns the payload of the first stage; it reports false if the input does not fit the stage.
func firstPayload(pipeline *document.Pipeline, input json.RawMessage) (upstream.Payload, bool) {
	if pipeline.Stages[0].Pool.Kind == document.Service {
		return upstream.Payload{Body: input}, len(input) > 0
	}
	text := ""
	err := json.Unmarshal(input, &text)
	return upstream.Payload{Query: text}, err == nil
}

// execute admits a request and runs it, under a claim if the pipeline is not idempotent.
func (hd *Handler) execute(ctx context.Context, pr *parsedRequest) answer.Answer {
	admitted, refusal := hd.Runner.Admit(pr.request)
	if admitted == nil {
		return refusal
	}
	if pr.request.Pipeline.Idempotent {
		return hd.Runner.Run(ctx, admitted)
	}
	defer admitted.Release()
	return hd.executeClaimed(ctx, admitted, pr)
}

// platformRetryAfter is the retry delay in answers to requests that could not be claimed in time or whose claim
// another request holds.
const platformRetryAfter = 2 * time.Second

// executeClaimed runs a non-idempotent request under a claim.
func (hd *Handler) executeClaimed(ctx context.Context, admitted *runner.Admitted, pr *parsedRequest) answer.Answer {
	claimCtx, cancel := context.WithDeadline(ctx, pr.request.Deadline)
	defer cancel()
	outcome := hd.Claimant.Claim(claimCtx, pr.request.Organisation.Name, pr.key, pr.request.Fingerprint.String(), hd.Random.NewID())
	switch claimed := outcome.(type) {
	case *claimant.Granted:
		return hd.runClaimed(ctx, admitted, pr, claimed)
	case claimant.Replay:
		return replayedAnswer(claimed.Answer)
	case claimant.KeyReused:
		return answer.NewNotRun(answer.IdempotencyKeyReused, 0, "the IdempotencyKey was used for another request")
	case claimant.HeldByOther:
		return answer.Answer{
			Outcome: answer.Unknown, Code: answer.InProgressOrUnknown, RetryAfter: platformRetryAfter,
			Message: "a request with this IdempotencyKey is under way or ended without a known result",
		}
	case claimant.Unavailable:
		return answer.NewNotRun(answer.PlatformUnavailable, platformRetryAfter, "no claim could be made: "+claimed.Cause)
	}
	return answer.NewNotRun(answer.PlatformUnavailable, platformRetryAfter, "no claim could be made")
}

// runClaimed runs a claimed request, unless its deadline passed or its caller disconnected while the claim was made. A
// process that was paused at that point must not run the request any more.
func (hd *Handler) runClaimed(ctx context.Context, admitted *runner.Admitted, pr *parsedRequest, granted *claimant.Granted) answer.Answer {
	hd.recordEvent(wire.EventKind_EventClaimed, pr, answer.Answer{}, 0)
	if !hd.Timers.Now().Before(pr.request.Deadline) || ctx.Err() != nil {
		granted.Release()
		return answer.NewNotRun(answer.DeadlineExceeded, platformRetryAfter, "the deadline passed while the claim was made")
	}
	ended := hd.Runner.Run(ctx, admitted)
	switch ended.Outcome {
	case answer.NotRun:
		granted.Release()
	case answer.Answered, answer.Failed:
		encoded, _ := json.Marshal(ended)
		granted.Complete(encoded)
	case answer.Unknown:
		// The claim stays in place, so that the request is not run again.
	}
	return ended
}

// replayedAnswer decodes the stored answer of an earlier request with the same idempotency key. A part of an answer has
// no known outcome.
func replayedAnswer(stored json.RawMessage) answer.Answer {
	ended := answer.Answer{}
	if json.Unmarshal(stored, &ended) != nil || !isKept(ended) {
		return answer.Answer{Outcome: answer.Unknown, Code: answer.InProgressOrUnknown, Message: "the kept answer can't be read"}
	}
	ended.Replayed = true
	return ended
}

// isKept reports whether an answer is one that runClaimed keeps: an output, or the reason of a failure.
func isKept(ended answer.Answer) bool {
	switch ended.Outcome {
	case answer.Answered:
		return len(ended.Output) > 0
	case answer.Failed:
		return ended.Code != answer.NoCode
	case answer.NotRun, answer.Unknown:
	}
	return false
}

func (hd *Handler) recordEvent(kind wire.EventKind, pr *parsedRequest, ended answer.Answer, took time.Duration) {
	hd.Events.Record(&wire.Event{
		Kind: kind, RequestId: pr.request.ID, Organisation: pr.request.Organisation.Name, Rank: pr.request.Rank.Name,
		Pipeline: pr.request.Pipeline.Name, Outcome: string(ended.Outcome), Detail: string(ended.Code),
		DurationMicros: took.Microseconds(), Revision: pr.request.Document.Revision,
	})
}

func (hd *Handler) recordMetrics(pr *parsedRequest, ended answer.Answer, took time.Duration) {
	hd.Metrics.RecordRequest(metric.Request{
		Rank: pr.request.Rank.Name, Organisation: pr.request.Organisation.Name, Pipeline: pr.request.Pipeline.Name,
		Outcome: string(ended.Outcome), Code: string(ended.Code), Duration: took,
		DeadlineMet: ended.Outcome == answer.Answered && !hd.Timers.Now().After(pr.request.Deadline),
	})
	for _, stage := range ended.Stages {
		hd.Metrics.RecordStage(pr.request.Pipeline.Name, stage.Name, millis(stage.WaitMs), millis(stage.RunMs))
	}
}

// millis converts a number of milliseconds to a duration.
func millis(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// writeAnswer writes an answer as JSON with its HTTP status.
func writeAnswer(writer http.ResponseWriter, ended answer.Answer) {
	body, _ := json.Marshal(newAnswerBody(ended))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if ended.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((ended.RetryAfter+time.Second-1)/time.Second), 10))
	}
	writer.WriteHeader(httpStatus(ended))
	_, _ = writer.Write(body)
}
