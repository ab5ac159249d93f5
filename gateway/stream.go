package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/route"
)

// streamBuffer is how much of a stream is read at once, in bytes.
const streamBuffer = 4096

// passStream passes a stream on as it comes.
func (at *attempt) passStream(ctx context.Context, reply *UpstreamResponse) ended {
	rn := at.run
	buffer := make([]byte, streamBuffer)
	total := 0
	for {
		count, err := reply.Body.Read(buffer)
		if part := rn.whole(buffer[:count]); len(part) > 0 {
			if !at.answered {
				at.begin(reply)
			}
			total += len(part)
			if failure := rn.sink.Write(part); failure != nil {
				at.end(placement.Abandoned, "Abandoned", "caller has left")
				return ended{outcome: Gone{}}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return at.streamEnded(ctx, reply, total)
		case err != nil:
			return at.broken(ctx, err)
		}
	}
}

// whole returns what may be passed on of a part of a stream: of one that can be resumed, whole events only.
func (rn *run) whole(part []byte) []byte {
	if rn.pipeline.RetryPolicy != route.Resumable {
		return part
	}
	return rn.cutter.Push(part)
}

// begin passes the head of the answer on with its first part.
func (at *attempt) begin(reply *UpstreamResponse) {
	rn := at.run
	at.answering()
	if rn.passed {
		return
	}
	rn.passed = true
	if rn.pipeline.RetryPolicy == route.Resumable {
		// The answer keeps its head when another upstream goes on with it, and has no length of its own.
		rn.sink.Start(reply.Status, reply.Header, -1)
		return
	}
	rn.sink.Start(reply.Status, reply.Header, reply.Length)
	at.stages.releaseAll()
}

func (at *attempt) streamEnded(ctx context.Context, reply *UpstreamResponse, total int) ended {
	rn := at.run
	if !at.answered && rn.pipeline.RetryPolicy != route.Idempotent && reply.Length != 0 {
		return at.lost(ctx, "stream without an event")
	}
	if !at.answered {
		at.begin(reply)
	}
	if rest := rn.cutter.Partial(); len(rest) > 0 {
		if failure := rn.sink.Write(rest); failure != nil {
			return ended{outcome: Gone{}}
		}
	}
	if rn.Crashes.Status(rn.fingerprint) != quarantine.Clear {
		rn.Crashes.ReportSuccess(rn.fingerprint)
	}
	at.end(placement.Served, "Answered", fmt.Sprintf("status=%d bytes=%d", reply.Status, total))
	rn.cause = fmt.Sprintf("status=%d", reply.Status)
	return ended{outcome: Answered{}}
}

// broken handles a stream that its upstream broke off.
func (at *attempt) broken(ctx context.Context, cause error) ended {
	rn := at.run
	result := at.lost(ctx, cause.Error())
	if !rn.passed || result.next {
		rn.cutter.DiscardPartial()
		return result
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout) {
		return ended{outcome: Gone{}}
	}
	rn.cause = "stream broke off: " + cause.Error()
	return ended{outcome: CutOff{}}
}
