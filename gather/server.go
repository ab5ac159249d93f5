package gather

import (
	"context"

	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Server implements the batch service for the clients of other instances.
type Server struct {
	wire.UnimplementedBatchesServer

	gatherer *Gatherer
	client   *Client
	timers   *timer.Service
}

// NewServer returns a server for the gatherer; the client caches the loads of other queues.
func NewServer(gatherer *Gatherer, client *Client, timers *timer.Service) *Server {
	return &Server{gatherer: gatherer, client: client, timers: timers}
}

// Gather accepts or refuses a job; once accepted, it sends keepalives and then the result.
func (sv *Server) Gather(request *wire.GatherRequest, stream grpc.ServerStreamingServer[wire.GatherReply]) error {
	now := sv.timers.Now()
	job := Job{
		Pool: request.GetPool(), RequestID: request.GetRequestId(), Stage: int(request.GetStage()), Count: int(request.GetItems()),
		Key: request.GetKey(), Inputs: request.GetInputs(), Rank: int(request.GetRank()),
		Due: now.Add(timer.Milliseconds(request.GetDueMs())), Expires: now.Add(timer.Milliseconds(request.GetExpiresMs())),
		ResultBytes: request.GetResultBytes(), LaterItems: fromWireItems(request.GetLater()), MayHaveRun: request.GetMayHaveRun(), LowUrgency: request.GetPatient(),
	}
	key := QueueKey{Pool: request.GetPool(), FailureDomain: request.GetFailureDomain()}
	if request.GetFinishMs() > 0 {
		job.FinishBy = now.Add(timer.Milliseconds(request.GetFinishMs()))
	}
	ticket, refused := sv.client.submitLocal(key, job)
	if refused != nil {
		return stream.Send(sv.refusalReply(key, refused))
	}
	err := stream.Send(&wire.GatherReply{
		Accepted: true, WaitMs: ticket.Wait.Milliseconds(), Loads: sv.loads(key),
		Upcoming: toWireItems(sv.gatherer.Upcoming(key)),
	})
	if err != nil {
		ticket.Cancel()
		return err
	}
	for {
		select {
		case result := <-ticket.Done:
			return stream.Send(toWireReply(result))
		case <-stream.Context().Done():
			ticket.Cancel()
			return stream.Context().Err()
		case <-sv.timers.After(keepaliveInterval):
			if err := stream.Send(&wire.GatherReply{Accepted: true}); err != nil {
				ticket.Cancel()
				return err
			}
		}
	}
}

// refusalReply converts a job's refusal to a reply, with the state from which the client updates its caches. A refusal for
// a full later pool was decided by that pool's loads and the queue's upcoming items, and carries both; one by the queue
// itself carries the loads of the job's own pool. A reply that another instance owns the queue carries neither.
func (sv *Server) refusalReply(key QueueKey, refused *Refused) *wire.GatherReply {
	switch {
	case refused.FullPool != "":
		return &wire.GatherReply{
			FullPool: refused.FullPool, WaitMs: refused.Wait.Milliseconds(), Loads: sv.client.cachedLoads(refused.FullPool),
			Upcoming: toWireItems(sv.gatherer.Upcoming(key)),
		}
	case refused.Cause == causeNotOwner:
		return &wire.GatherReply{Failed: causeNotOwner}
	}
	return &wire.GatherReply{Refused: true, WaitMs: refused.Wait.Milliseconds(), Loads: sv.loads(key)}
}

// loads updates the cached load of a queue, then returns the cached loads of all queues of its pool.
func (sv *Server) loads(key QueueKey) []*wire.PoolLoad {
	sv.client.updateLoads(key.Pool, []*wire.PoolLoad{sv.gatherer.Load(key).toWire(sv.timers.Now(), key.FailureDomain)})
	return sv.client.cachedLoads(key.Pool)
}

// Release frees results of a pool.
func (sv *Server) Release(_ context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	sv.gatherer.Release(request.GetPool(), request.GetHandles())
	return &wire.ReleaseReply{}, nil
}

// Load caches the load that the request carries, if any. It returns the load of the pool's queue in the requested failure
// domain or, if the request names none, of any active queue of the pool on this instance.
func (sv *Server) Load(_ context.Context, request *wire.LoadRequest) (*wire.LoadReply, error) {
	if request.GetLoad() != nil {
		sv.client.receiveLoads(request.GetPool(), []*wire.PoolLoad{request.GetLoad()})
	}
	if domain := request.GetFailureDomain(); domain != "" {
		key := QueueKey{Pool: request.GetPool(), FailureDomain: domain}
		return &wire.LoadReply{Load: sv.gatherer.Load(key).toWire(sv.timers.Now(), domain)}, nil
	}
	for key, load := range sv.gatherer.ActiveLoads(sv.timers.Now().Add(-loadTTL)) {
		if key.Pool == request.GetPool() {
			return &wire.LoadReply{Load: load.toWire(sv.timers.Now(), key.FailureDomain)}, nil
		}
	}
	return &wire.LoadReply{}, nil
}

func toWireItems(list []PoolItems) []*wire.PoolItems {
	converted := []*wire.PoolItems{}
	for _, one := range list {
		converted = append(converted, &wire.PoolItems{Pool: one.Pool, Items: int64(one.Items), Soon: int64(one.DueSoon)})
	}
	return converted
}

func fromWireItems(list []*wire.PoolItems) []PoolItems {
	converted := []PoolItems{}
	for _, one := range list {
		converted = append(converted, PoolItems{Pool: one.GetPool(), Items: int(one.GetItems()), DueSoon: int(one.GetSoon())})
	}
	return converted
}

func toWireReply(result Result) *wire.GatherReply {
	switch result := result.(type) {
	case Finished:
		return &wire.GatherReply{Results: toWireResults(result.Results)}
	case Unfinished:
		return &wire.GatherReply{Failed: result.Cause, WaitMs: result.Wait.Milliseconds(), Results: toWireResults(result.Results), MayHaveRun: result.MayHaveRun}
	case Refused:
		return &wire.GatherReply{Refused: true, WaitMs: result.Wait.Milliseconds()}
	}
	return &wire.GatherReply{}
}

func toWireResults(list []ItemResult) []*wire.StageResult {
	converted := []*wire.StageResult{}
	for _, one := range list {
		converted = append(converted, &wire.StageResult{Handle: one.Handle, Reason: string(one.Reason), FailureDomain: one.FailureDomain})
	}
	return converted
}

func fromWireResults(list []*wire.StageResult) []ItemResult {
	converted := []ItemResult{}
	for _, one := range list {
		converted = append(converted, ItemResult{
			Handle: one.GetHandle(), Reason: Reason(one.GetReason()), FailureDomain: one.GetFailureDomain(),
		})
	}
	return converted
}
