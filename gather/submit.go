package gather

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

func (cl *Client) runAt(ctx context.Context, owner member.Member, key QueueKey, job Job) Result {
	if owner.ID == cl.self {
		return cl.runLocal(ctx, key, job)
	}
	link, err := cl.link(owner.Address)
	if err != nil {
		return Unfinished{Cause: causeUnresponsive}
	}
	result := cl.runRemote(ctx, link, key, job)
	if unfinished, is := result.(Unfinished); is && unfinished.Cause == causeUnresponsive && ctx.Err() == nil {
		cl.markUnresponsive(owner)
	}
	return result
}

// runLocal submits a job to a queue of this instance and waits for its result.
func (cl *Client) runLocal(ctx context.Context, key QueueKey, job Job) Result {
	ticket, refused := cl.submitLocal(key, job)
	switch {
	case refused == nil:
	case refused.FullPool != "":
		return *refused
	case refused.Cause == causeNotOwner:
		return Unfinished{Cause: causeNotOwner}
	default:
		cl.updateLoads(key.Pool, []*wire.PoolLoad{cl.gatherer.Load(key).toWire(cl.timers.Now(), key.FailureDomain)})
		return *refused
	}
	cl.updateLoads(key.Pool, []*wire.PoolLoad{cl.gatherer.Load(key).toWire(cl.timers.Now(), key.FailureDomain)})
	cl.updateUpcoming(key, cl.gatherer.Upcoming(key))
	select {
	case result := <-ticket.Done:
		return result
	case <-ctx.Done():
		ticket.Cancel()
		return Unfinished{Cause: ctx.Err().Error()}
	}
}

// submitLocal submits a job of this or another instance to a queue of this instance, or returns why it is refused.
func (cl *Client) submitLocal(key QueueKey, job Job) (*Ticket, *Refused) {
	if full := cl.checkLaterPools(key, job); full != nil {
		return nil, full
	}
	return cl.gatherer.Submit(key.FailureDomain, job)
}

// maxReplies bounds the replies to one job: with keepalives every 250 ms, they last for four minutes.
const maxReplies = 1000

// runRemote submits a job to the queue of another instance and waits for its result.
func (cl *Client) runRemote(ctx context.Context, link Link, key QueueKey, job Job) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(cl.timers, cancel, acceptTimeout)
	defer watchdog.stop()
	stream, err := link.Gather(ctx, cl.newRequest(key, job))
	if err != nil {
		return cl.streamFailure(ctx, err, false)
	}
	accepted := false
	for received := 0; ; received++ {
		if received == maxReplies {
			return Unfinished{Cause: causeUnresponsive, MayHaveRun: accepted}
		}
		reply, err := stream.Recv()
		if err != nil {
			return cl.streamFailure(ctx, err, accepted)
		}
		if full := reply.GetFullPool(); full != "" {
			cl.receiveLoads(full, reply.GetLoads())
			cl.updateUpcoming(key, fromWireItems(reply.GetUpcoming()))
			return Refused{Wait: timer.Milliseconds(reply.GetWaitMs()), Cause: fmt.Sprintf("later pool %q is full", full), FullPool: full}
		}
		cl.receiveLoads(key.Pool, reply.GetLoads())
		switch {
		case reply.GetRefused():
			return Refused{Wait: timer.Milliseconds(reply.GetWaitMs()), Cause: "refused by the owner of the queue"}
		case reply.GetAccepted():
			watchdog.reset(keepaliveTimeout)
			if !accepted {
				// Only the acceptance carries upcoming items; the replies after it are keepalives.
				cl.updateUpcoming(key, fromWireItems(reply.GetUpcoming()))
			}
			accepted = true
		case reply.GetFailed() != "":
			return Unfinished{
				Cause: reply.GetFailed(), Wait: timer.Milliseconds(reply.GetWaitMs()), MayHaveRun: reply.GetMayHaveRun(),
				Results: fromWireResults(reply.GetResults()),
			}
		default:
			return newFinished(job, fromWireResults(reply.GetResults()))
		}
	}
}

// newFinished returns Finished if each item of the job has a result of its own. Otherwise the results may be those of
// another job, and the job is Unfinished without them.
func newFinished(job Job, results []ItemResult) Result {
	handles := map[string]bool{}
	for _, one := range results {
		if one.Handle != "" {
			handles[one.Handle] = true
		}
	}
	if len(results) != job.Count || len(handles) != job.Count {
		return Unfinished{Cause: causeIncomplete, MayHaveRun: true}
	}
	return Finished{Results: results}
}

// errUnresponsive cancels a call to an instance that does not respond.
var errUnresponsive = errors.New(causeUnresponsive)

// streamFailure returns the result of a job whose stream broke: unresponsive, unless the job's own context ended.
func (cl *Client) streamFailure(ctx context.Context, err error, accepted bool) Result {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errUnresponsive) {
		return Unfinished{Cause: causeUnresponsive, MayHaveRun: accepted}
	}
	return Unfinished{Cause: err.Error()}
}

func (cl *Client) newRequest(key QueueKey, job Job) *wire.GatherRequest {
	now := cl.timers.Now()
	return &wire.GatherRequest{
		Pool: key.Pool, FailureDomain: key.FailureDomain, RequestId: job.RequestID, Stage: int64(job.Stage),
		Items: int64(job.Count), Key: job.Key, Inputs: job.Inputs, Rank: int64(job.Rank),
		DueMs: job.Due.Sub(now).Milliseconds(), ExpiresMs: job.Expires.Sub(now).Milliseconds(),
		ResultBytes: job.ResultBytes, Later: toWireItems(job.LaterItems), MayHaveRun: job.MayHaveRun,
		FinishMs: millisecondsUntil(now, job.FinishBy), Patient: job.LowUrgency,
	}
}

// millisecondsUntil returns the time left until end, at least 1, or 0 if end is zero.
func millisecondsUntil(now, end time.Time) int64 {
	if end.IsZero() {
		return 0
	}
	return max(end.Sub(now).Milliseconds(), 1)
}
