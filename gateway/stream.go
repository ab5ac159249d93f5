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
func (at *attempt) passStream(ctx context.Context, reply *Reply) ended {
	rn := at.run
	buffer := make([]byte, streamBuffer)
	total := 0
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 {
			if !at.answered {
				at.begin(reply)
			}
			total += count
			if failure := rn.sink.Write(buffer[:count]); failure != nil {
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

// begin passes the head of the answer on with its first part.
func (at *attempt) begin(reply *Reply) {
	rn := at.run
	at.answering()
	rn.passed = true
	rn.sink.Start(reply.Status, reply.Header, reply.Length)
	at.stages.releaseAll()
}

func (at *attempt) streamEnded(ctx context.Context, reply *Reply, total int) ended {
	rn := at.run
	if !at.answered && rn.pipeline.Repeat != route.Idempotent && reply.Length != 0 {
		return at.lost(ctx, "stream without an event")
	}
	if !at.answered {
		at.begin(reply)
	}
	if rn.Crashes.Standing(rn.fingerprint) != quarantine.Clear {
		rn.Crashes.Passed(rn.fingerprint)
	}
	at.end(placement.Served, "Answered", fmt.Sprintf("status=%d bytes=%d", reply.Status, total))
	rn.cause = fmt.Sprintf("status=%d", reply.Status)
	return ended{outcome: Answered{}}
}

// broken handles a stream that its upstream broke off.
func (at *attempt) broken(ctx context.Context, cause error) ended {
	rn := at.run
	if !rn.passed {
		return at.lost(ctx, cause.Error())
	}
	at.lost(ctx, cause.Error())
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTime) {
		return ended{outcome: Gone{}}
	}
	rn.cause = "stream broke off: " + cause.Error()
	return ended{outcome: CutOff{}}
}
