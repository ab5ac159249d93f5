package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/route"
)

const (
	// streamBuffer is the size of one read from a stream, in bytes.
	streamBuffer = 4096
	// maxStream bounds the stream of one attempt, in bytes.
	maxStream = 16 << 20
)

// forwardStream forwards the events of a stream to the caller as they arrive, each when it is complete.
func (at *attempt) forwardStream(ctx context.Context, reply *UpstreamResponse) attemptResult {
	rn := at.run
	buffer := make([]byte, streamBuffer)
	received, total := 0, 0
	for {
		count, err := reply.Body.Read(buffer)
		received += count
		if received > maxStream {
			return at.handleBrokenStream(ctx, readlimit.Exceeded{Limit: maxStream})
		}
		part, oversized := rn.framer.Push(buffer[:count])
		if oversized != nil {
			return at.handleBrokenStream(ctx, oversized)
		}
		if len(part) > 0 {
			if !at.gotFirstByte {
				at.startResponse(reply)
			}
			total += len(part)
			if failure := rn.sink.Write(part); failure != nil {
				at.finish(placement.Abandoned, "Abandoned", "caller disconnected")
				return attemptResult{outcome: Gone{}}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return at.finishStream(ctx, reply, total)
		case err != nil:
			return at.handleBrokenStream(ctx, err)
		}
	}
}

// startResponse records the latency of the first byte and writes the response head unless an earlier attempt has written
// it. It then releases the results of the stages if the stream is not resumable: no other upstream can take over such a
// stream, so none will read them.
func (at *attempt) startResponse(reply *UpstreamResponse) {
	rn := at.run
	at.recordFirstByte()
	if rn.responseStarted {
		return
	}
	rn.responseStarted = true
	if rn.pipeline.RetryPolicy == route.Resumable {
		// The length is unknown: another upstream may resume the stream, and the head is not written again.
		rn.sink.Start(reply.Status, reply.Header, -1)
		return
	}
	rn.sink.Start(reply.Status, reply.Header, reply.Length)
	at.stages.releaseAll()
}

// finishStream handles the regular end of a stream.
func (at *attempt) finishStream(ctx context.Context, reply *UpstreamResponse, total int) attemptResult {
	rn := at.run
	withoutEvent := rn.pipeline.RetryPolicy == route.Resumable || len(rn.framer.Partial()) == 0
	if !at.gotFirstByte && withoutEvent && rn.pipeline.RetryPolicy != route.Idempotent && reply.Length != 0 {
		return at.handleLost(ctx, "stream ended without an event")
	}
	if !at.gotFirstByte {
		at.startResponse(reply)
	}
	if rest := rn.framer.Partial(); len(rest) > 0 {
		if failure := rn.sink.Write(rest); failure != nil {
			return attemptResult{outcome: Gone{}}
		}
	}
	if rn.Crashes.Status(rn.fingerprint) != quarantine.Clear {
		rn.Crashes.ReportSuccess(rn.fingerprint)
	}
	at.finish(placement.Served, "Answered", fmt.Sprintf("status=%d bytes=%d", reply.Status, total))
	rn.detail = fmt.Sprintf("status=%d", reply.Status)
	return attemptResult{outcome: Answered{}}
}

// handleBrokenStream handles a stream that ended with a read error.
func (at *attempt) handleBrokenStream(ctx context.Context, cause error) attemptResult {
	rn := at.run
	result := at.handleLost(ctx, cause.Error())
	if !rn.responseStarted || result.tryNext {
		rn.framer.DiscardPartial()
		return result
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout) {
		return attemptResult{outcome: Gone{}}
	}
	rn.detail = "stream interrupted: " + cause.Error()
	return attemptResult{outcome: CutOff{}}
}
