package gather

import (
	"context"
	"errors"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

func (cl *Client) runAt(ctx context.Context, owner member.Member, at QueueKey, work Job) Result {
	if owner.ID == cl.self {
		return cl.runHere(ctx, at, work)
	}
	link, err := cl.link(owner.Address)
	if err != nil {
		return Unfinished{Cause: causeSilent}
	}
	result := cl.runThere(ctx, link, at, work)
	if unfinished, is := result.(Unfinished); is && unfinished.Cause == causeSilent && ctx.Err() == nil {
		cl.drop(owner)
	}
	return result
}

// runHere gathers the work in this instance.
func (cl *Client) runHere(ctx context.Context, at QueueKey, work Job) Result {
	ticket, refused := cl.submitHere(at, work)
	switch {
	case refused == nil:
	case refused.FullPool != "":
		return *refused
	case refused.Cause == causeMoved:
		return Unfinished{Cause: causeMoved}
	default:
		cl.learn(at.Pool, []*wire.PoolLoad{cl.gatherer.Load(at).toWire(at.FailureDomain)})
		return *refused
	}
	cl.learn(at.Pool, []*wire.PoolLoad{cl.gatherer.Load(at).toWire(at.FailureDomain)})
	cl.learnUpcoming(at, cl.gatherer.Upcoming(at))
	select {
	case result := <-ticket.Done:
		return result
	case <-ctx.Done():
		ticket.Cancel()
		return Unfinished{Cause: ctx.Err().Error()}
	}
}

// submitHere enters own or another instance's work at a place of this instance, or returns why it is refused.
func (cl *Client) submitHere(at QueueKey, work Job) (*Ticket, *Refused) {
	if full := cl.laterFull(at, work); full != nil {
		return nil, full
	}
	return cl.gatherer.Submit(at.FailureDomain, work)
}

// runThere hands the work to another instance.
func (cl *Client) runThere(ctx context.Context, link Link, at QueueKey, work Job) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(cl.timers, cancel, acceptTimeout)
	defer watchdog.stop()
	stream, err := link.Gather(ctx, cl.request(at, work))
	if err != nil {
		return cl.lost(ctx, err, false)
	}
	accepted := false
	for {
		reply, err := stream.Recv()
		if err != nil {
			return cl.lost(ctx, err, accepted)
		}
		if full := reply.GetFullPool(); full != "" {
			cl.learn(full, reply.GetLoads())
			cl.learnUpcoming(at, fromWireItems(reply.GetUpcoming()))
			return Refused{Wait: timer.Milliseconds(reply.GetWaitMs()), Cause: full + " is full", FullPool: full}
		}
		cl.learn(at.Pool, reply.GetLoads())
		switch {
		case reply.GetRefused():
			return Refused{Wait: timer.Milliseconds(reply.GetWaitMs()), Cause: "refused by the gatherer"}
		case reply.GetAccepted():
			accepted = true
			watchdog.extend(aliveTimeout)
			if reply.GetWaitMs() > 0 {
				cl.learnUpcoming(at, fromWireItems(reply.GetUpcoming()))
			}
		case reply.GetFailed() != "":
			return Unfinished{
				Cause: reply.GetFailed(), Wait: timer.Milliseconds(reply.GetWaitMs()), MayHaveRun: reply.GetMayHaveRun(),
				Results: fromWireResults(reply.GetResults()),
			}
		default:
			return Finished{Results: fromWireResults(reply.GetResults())}
		}
	}
}

// errSilent cancels a call to an instance that does not answer.
var errSilent = errors.New(causeSilent)

// lost tells an instance that broke off from a caller that has left.
func (cl *Client) lost(ctx context.Context, err error, accepted bool) Result {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
		return Unfinished{Cause: causeSilent, MayHaveRun: accepted}
	}
	return Unfinished{Cause: err.Error()}
}

func (cl *Client) request(at QueueKey, work Job) *wire.GatherRequest {
	now := cl.timers.Now()
	return &wire.GatherRequest{
		Pool: at.Pool, FailureDomain: at.FailureDomain, RequestId: work.RequestID, Stage: int64(work.Stage),
		Items: int64(work.Count), Key: work.Key, Inputs: work.Inputs, Rank: int64(work.Rank),
		DueMs: work.Due.Sub(now).Milliseconds(), ExpiresMs: work.Expires.Sub(now).Milliseconds(),
		ResultBytes: work.ResultBytes, Later: toWireItems(work.LaterItems), MayHaveRun: work.MayHaveRun,
		FinishMs: until(now, work.FinishBy), Patient: work.LowUrgency,
	}
}

// until is the time left in milliseconds, or 0 without an end.
func until(now, end time.Time) int64 {
	if end.IsZero() {
		return 0
	}
	return max(end.Sub(now).Milliseconds(), 1)
}
