package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/turmericdoor/turmericdoor/events"
	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/response"
	"github.com/turmericdoor/turmericdoor/route"
)

const (
	// streamBuffer is the size of one read from a stream, in bytes.
	streamBuffer = 4096
	// maxStream bounds the stream of one attempt, in bytes.
	maxStream = 16 << 20
	// minPart is the size that each part of a stream counts as at least, as its time does not depend on its size, in bytes.
	minPart = 64
	// blankPart is the size that a part without any field counts as besides its own, as it brings no answer, in bytes.
	blankPart = 1 << 10
	// eventBudget bounds the long events that are incomplete at one time, in bytes.
	eventBudget = 8 << 20
)

// resumeStream continues a response that an earlier attempt began; an answer that can't continue it is a failed attempt.
func (at *attempt) resumeStream(ctx context.Context, reply *UpstreamResponse) attemptResult {
	body, err := at.run.response.Resume(at.head(reply))
	if err != nil {
		return at.handleNotContinued(ctx, err)
	}
	at.output = body
	return at.forwardStream(ctx, reply)
}

// head returns the head of a streamed answer.
func (at *attempt) head(reply *UpstreamResponse) response.Head {
	return response.Head{
		Attempt: at.number, Status: reply.Status, Header: reply.Header, Length: reply.Length, Streamed: true,
		Resumable: at.run.pipeline.RetryPolicy == route.Resumable,
	}
}

// forwardStream forwards the events of a stream to the caller as they arrive, each when it is complete.
func (at *attempt) forwardStream(ctx context.Context, reply *UpstreamResponse) attemptResult {
	framer := events.New(at.run.eventBytes)
	defer framer.DiscardPartial()
	buffer := make([]byte, streamBuffer)
	received, total := 0, 0
	for {
		count, err := reply.Body.Read(buffer)
		received += count
		if err == nil {
			received += max(minPart-count, 0)
		}
		if received > maxStream {
			return at.handleLost(ctx, readlimit.Exceeded{Limit: maxStream}.Error())
		}
		part, failed := framer.Push(buffer[:count])
		if failed != nil {
			return at.handleLost(ctx, failed.Error())
		}
		if len(part) > 0 {
			if len(bytes.Trim(part, "\r\n")) == 0 {
				received += blankPart
			}
			total += len(part)
			if failure := at.forwardPart(reply, part); failure != nil {
				return at.handleWriteError(ctx, failure)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return at.finishStream(ctx, reply, total, framer.Partial())
		case err != nil:
			return at.handleLost(ctx, err.Error())
		}
	}
}

// forwardPart writes a part of the stream to the caller.
func (at *attempt) forwardPart(reply *UpstreamResponse, part []byte) error {
	if at.output == nil {
		if err := at.run.response.CheckFirst(at.head(reply), part); err != nil {
			return err
		}
	}
	if !at.gotFirstByte {
		at.recordFirstByte()
	}
	at.reportLastingAnswer()
	at.beginResponse(reply)
	return at.output.Write(part)
}

// handleWriteError handles a part of the stream that could not be written.
func (at *attempt) handleWriteError(ctx context.Context, failure error) attemptResult {
	if errors.As(failure, &response.NotContinued{}) {
		return at.handleNotContinued(ctx, failure)
	}
	at.finish(placement.Abandoned, "Abandoned", "write to the caller: "+failure.Error())
	return attemptResult{outcome: Gone{}}
}

// beginResponse writes the response head unless this or an earlier attempt has written it. It then releases the results of
// the stages if the stream is not resumable: no other upstream can take over such a stream, so none will read them.
func (at *attempt) beginResponse(reply *UpstreamResponse) {
	if at.output != nil {
		return
	}
	at.output = at.begin(at.head(reply))
	at.bindToOrigin()
	if at.run.pipeline.RetryPolicy != route.Resumable {
		at.stages.releaseAll()
	}
}

// begin begins the response to the caller, and observes how long that took against the forecast. The body is released unless another upstream may
// have to continue the response.
func (at *attempt) begin(head response.Head) *response.Body {
	rn := at.run
	if rn.pipeline.RetryPolicy != route.Resumable {
		rn.request.Body.Release()
	}
	rn.Pools.observeLatency(rn.pipeline.Name, rn.forecast, rn.Timers.Now().Sub(rn.request.Arrived))
	return rn.response.Begin(head)
}

// finishStream handles the regular end of a stream of which total bytes were forwarded and the incomplete event rest not.
func (at *attempt) finishStream(ctx context.Context, reply *UpstreamResponse, total int, rest []byte) attemptResult {
	rn := at.run
	// Clients drop an event without its blank line, also at the explicit end of a body: the caller would miss it unnoticed.
	if len(rest) > 0 && (rn.pipeline.RetryPolicy == route.Resumable || at.head(reply).IsEventStream() || reply.EndsWithConnection) {
		return at.handleLost(ctx, "stream ended inside an event")
	}
	if total+len(rest) == 0 && rn.pipeline.RetryPolicy != route.Idempotent && reply.Length != 0 {
		return at.handleLost(ctx, "stream ended without an event")
	}
	if len(rest) > 0 {
		if failure := at.forwardPart(reply, rest); failure != nil {
			return at.handleWriteError(ctx, failure)
		}
	}
	if !at.gotFirstByte {
		at.recordFirstByte()
	}
	at.beginResponse(reply)
	if err := at.output.Complete(); err != nil {
		return at.handleLost(ctx, err.Error())
	}
	rn.reportSuccess()
	at.reportPartsSuccess()
	at.finish(placement.Served, "Answered", fmt.Sprintf("status=%d bytes=%d", reply.Status, total))
	rn.detail = fmt.Sprintf("status=%d", reply.Status)
	return attemptResult{outcome: Answered{}}
}

// handleNotContinued handles an answer that does not continue what an earlier attempt or an earlier response brought.
func (at *attempt) handleNotContinued(ctx context.Context, cause error) attemptResult {
	rn := at.run
	if ctx.Err() != nil {
		at.finish(placement.Abandoned, "Abandoned", cause.Error())
		return attemptResult{outcome: rn.contextOutcome(ctx)}
	}
	at.finish(placement.Failed, "NotContinued", cause.Error())
	rn.detail = cause.Error()
	return attemptResult{outcome: Failed{Cause: cause.Error()}, tryNext: rn.takeRetry(ctx)}
}
