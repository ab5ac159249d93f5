package gather

import (
	"context"

	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Server answers the calls of other instances' clients.
type Server struct {
	wire.UnimplementedBatchesServer

	gatherer *Gatherer
	client   *Client
	timers   *timer.Service
}

// NewServer returns a server for the gatherer; the client knows the loads of other places.
func NewServer(gatherer *Gatherer, client *Client, timers *timer.Service) *Server {
	return &Server{gatherer: gatherer, client: client, timers: timers}
}

// Gather accepts work, or refuses it, and then sends its results.
func (sv *Server) Gather(request *wire.GatherRequest, stream grpc.ServerStreamingServer[wire.GatherReply]) error {
	now := sv.timers.Now()
	work := Job{
		Pool: request.GetPool(), RequestID: request.GetRequestId(), Stage: int(request.GetStage()), Count: int(request.GetItems()),
		Key: request.GetKey(), Inputs: request.GetInputs(), Rank: int(request.GetRank()),
		Due: now.Add(timer.Milliseconds(request.GetDueMs())), Expires: now.Add(timer.Milliseconds(request.GetExpiresMs())),
		ResultBytes: request.GetResultBytes(), LaterItems: fromWireItems(request.GetLater()), MayHaveRun: request.GetMayHaveRun(), LowUrgency: request.GetPatient(),
	}
	at := QueueKey{Pool: request.GetPool(), FailureDomain: request.GetFailureDomain()}
	if request.GetFinishMs() > 0 {
		work.FinishBy = now.Add(timer.Milliseconds(request.GetFinishMs()))
	}
	ticket, refused := sv.client.submitHere(at, work)
	if refused != nil {
		return stream.Send(sv.refusal(at, refused))
	}
	err := stream.Send(&wire.GatherReply{
		Accepted: true, WaitMs: ticket.Wait.Milliseconds(), Loads: sv.loads(at),
		Upcoming: toWireItems(sv.gatherer.Upcoming(at)),
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
		case <-sv.timers.After(aliveInterval):
			if err := stream.Send(&wire.GatherReply{Accepted: true}); err != nil {
				ticket.Cancel()
				return err
			}
		}
	}
}

// refusal tells the other instance why its work is refused, with what decided it.
func (sv *Server) refusal(at QueueKey, refused *Refused) *wire.GatherReply {
	switch {
	case refused.FullPool != "":
		return &wire.GatherReply{
			FullPool: refused.FullPool, WaitMs: refused.Wait.Milliseconds(), Loads: sv.client.loadsOf(refused.FullPool),
			Upcoming: toWireItems(sv.gatherer.Upcoming(at)),
		}
	case refused.Cause == causeMoved:
		return &wire.GatherReply{Failed: causeMoved}
	}
	return &wire.GatherReply{Refused: true, WaitMs: refused.Wait.Milliseconds(), Loads: sv.loads(at)}
}

// loads returns the loads of all places of a pool, with the own one as it is now.
func (sv *Server) loads(at QueueKey) []*wire.PoolLoad {
	sv.client.learn(at.Pool, []*wire.PoolLoad{sv.gatherer.Load(at).toWire(at.FailureDomain)})
	return sv.client.loadsOf(at.Pool)
}

// Release frees results.
func (sv *Server) Release(_ context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	sv.gatherer.Release(request.GetPool(), request.GetHandles())
	return &wire.ReleaseReply{}, nil
}

// Load takes another gatherer's load and answers with the own one.
func (sv *Server) Load(_ context.Context, request *wire.LoadRequest) (*wire.LoadReply, error) {
	if request.GetLoad() != nil {
		sv.client.learn(request.GetPool(), []*wire.PoolLoad{request.GetLoad()})
	}
	if domain := request.GetFailureDomain(); domain != "" {
		at := QueueKey{Pool: request.GetPool(), FailureDomain: domain}
		return &wire.LoadReply{Load: sv.gatherer.Load(at).toWire(domain)}, nil
	}
	for at, load := range sv.gatherer.ActiveLoads(sv.timers.Now().Add(-loadLife)) {
		if at.Pool == request.GetPool() {
			return &wire.LoadReply{Load: load.toWire(at.FailureDomain)}, nil
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
