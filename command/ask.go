package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/integrii/flaggy"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/caller"
)

func askFlags(op *options, sub *flaggy.Subcommand) {
	remoteFlags(op, sub)
	sub.String(&op.pipeline, "p", "pipeline", "Pipeline to call")
	sub.String(&op.rank, "n", "rank", "Rank of the request")
	sub.String(&op.input, "i", "input", "Input: text, or JSON with --raw")
	sub.Bool(&op.raw, "w", "raw", "The input is JSON, as plain services take it")
	sub.String(&op.idempotencyKey, "d", "idempotency-key", "Key that a non-idempotent pipeline needs")
	sub.String(&op.request, "r", "request", "Id of the request; drawn at random if empty")
	sub.Bool(&op.stream, "s", "stream", "Print the answer as it is generated")
}

// ask sends a caller's request to the caller address of an instance and prints its answer.
func (tb *CLI) ask() error {
	input := json.RawMessage(tb.options.input)
	if !tb.options.raw {
		input, _ = json.Marshal(tb.options.input)
	}
	encoded, err := json.Marshal(caller.RequestBody{
		RequestID: tb.options.request, Rank: tb.options.rank, Input: input,
		IdempotencyKey: tb.options.idempotencyKey, Stream: tb.options.stream,
	})
	if err != nil {
		return exitErrorf(ExitBadInput, "--input is not JSON: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(tb.options.timeoutMs)*time.Millisecond)
	defer cancel()
	response, err := tb.send(ctx, http.MethodPost, "/v1/pipelines/"+url.PathEscape(tb.options.pipeline), encoded)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return tb.printAnswer(response)
}

// printAnswer copies the answer and turns its outcome into an exit code.
func (tb *CLI) printAnswer(response *http.Response) error {
	if tb.options.stream && response.StatusCode == http.StatusOK {
		_, err := io.Copy(tb.out, response.Body)
		return err
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return exitErrorf(ExitUnreachable, "answer cut short: %v", err)
	}
	fmt.Fprintln(tb.out, string(raw))
	got := caller.AnswerBody{}
	if json.Unmarshal(raw, &got) != nil {
		return exitErrorf(ExitFailed, "answer is not JSON")
	}
	switch got.Outcome {
	case answer.Answered:
		return nil
	case answer.NotRun:
		return exitErrorf(ExitRefused, "not run: %s", got.Error.Code)
	case answer.Unknown:
		return exitErrorf(ExitUndecided, "not known whether it ran: %s", got.Error.Code)
	default:
		return exitErrorf(ExitFailed, "failed: %s", got.Error.Code)
	}
}
