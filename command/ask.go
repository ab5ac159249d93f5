package command

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/readlimit"
)

func askFlags(op *options, sub *flaggy.Subcommand) {
	remoteFlags(op, sub)
	sub.String(&op.pipeline, "p", "pipeline", "Pipeline to call")
	sub.String(&op.rank, "n", "rank", "Rank of the request")
	sub.String(&op.input, "i", "input", "Input: text, or JSON with --raw")
	sub.Bool(&op.raw, "w", "raw", "Treat the input as JSON, which plain services expect")
	sub.String(&op.idempotencyKey, "d", "idempotency-key", "Idempotency key, required by a pipeline that is not idempotent")
	sub.String(&op.request, "r", "request", "Id of the request; a random id if empty")
	sub.Bool(&op.stream, "s", "stream", "Print the answer as it is generated")
}

// ask sends a request to the caller address of an instance and prints the answer.
func (cl *CLI) ask() error {
	input := json.RawMessage(cl.options.input)
	if !cl.options.raw {
		input, _ = json.Marshal(cl.options.input)
	}
	encoded, err := json.Marshal(caller.RequestBody{
		RequestID: cl.options.request, Rank: cl.options.rank, Input: input,
		IdempotencyKey: cl.options.idempotencyKey, Stream: cl.options.stream,
	})
	if err != nil {
		return exitErrorf(ExitBadInput, "parse --input as JSON: %v", err)
	}
	ctx, cancel := cl.withTimeout()
	defer cancel()
	response, err := cl.send(ctx, http.MethodPost, "/v1/pipelines/"+url.PathEscape(cl.options.pipeline), encoded)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return cl.printAnswer(response)
}

// printAnswer prints the answer and returns an error with the exit code of its outcome.
func (cl *CLI) printAnswer(response *http.Response) error {
	if cl.options.stream && response.StatusCode == http.StatusOK {
		return cl.printStream(response)
	}
	raw, err := readlimit.All(response.Body, maxAnswer)
	if err != nil {
		return exitErrorf(ExitUnreachable, "read answer of %q: %v", cl.options.address, err)
	}
	fmt.Fprintln(cl.out, string(raw))
	return cl.outcomeError(raw)
}

// outcomeError returns an error with the exit code of an answer's outcome, or nil for a success.
func (cl *CLI) outcomeError(raw []byte) error {
	parsed := caller.AnswerBody{}
	if json.Unmarshal(raw, &parsed) != nil {
		return exitErrorf(ExitFailed, "answer of %q is not valid JSON", cl.options.address)
	}
	if parsed.Error == nil {
		parsed.Error = &caller.ErrorBody{}
	}
	switch parsed.Outcome {
	case answer.Answered:
		return nil
	case answer.NotRun:
		return exitErrorf(ExitRefused, "request was not run: %s", parsed.Error.Code)
	case answer.Unknown:
		return exitErrorf(ExitUndecided, "unknown whether the request ran: %s", parsed.Error.Code)
	default:
		return exitErrorf(ExitFailed, "request failed: %s", parsed.Error.Code)
	}
}

const (
	// endEvent and dataField begin the lines of the last event of a stream.
	endEvent  = "event: End"
	dataField = "data: "
)

// printStream prints a stream as it arrives and returns an error with the exit code of its End event.
func (cl *CLI) printStream(response *http.Response) error {
	lines := bufio.NewReader(io.TeeReader(readlimit.NewReader(response.Body, maxStream), cl.out))
	name, data, end := "", []byte(nil), []byte(nil)
	for {
		line, err := lines.ReadBytes('\n')
		text := strings.TrimRight(string(line), "\r\n")
		switch {
		case errors.Is(err, io.EOF) && end != nil:
			return cl.outcomeError(end)
		case errors.Is(err, io.EOF):
			return exitErrorf(ExitFailed, "the stream of %q was cut off: it has no End event", cl.options.address)
		case err != nil:
			return exitErrorf(ExitUnreachable, "read answer of %q: %v", cl.options.address, err)
		case text == "" && name == endEvent:
			end = data
		case text == "":
			name = ""
		case strings.HasPrefix(text, "event: "):
			name = text
		case strings.HasPrefix(text, dataField):
			data = []byte(text[len(dataField):])
		}
	}
}
