package entry_test

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// errNoWay ends calls whose messages are lost.
var errNoWay = errors.New("no way to the other instance")

// way is the connection from one instance to another's address.
type way struct {
	fleet *fleet
	from  *node
	to    string
}

// peerLink and batchLink carry the calls of the two services.
type (
	peerLink  struct{ way }
	batchLink struct{ way }
)

func (fl *fleet) dialPeer(from *node) peer.Dialer {
	return func(address string) (peer.Link, error) { return peerLink{way{fl, from, address}}, nil }
}

func (fl *fleet) dialBatches(from *node) gather.Dialer {
	return func(address string) (gather.Link, error) { return batchLink{way{fl, from, address}}, nil }
}

// Close has nothing to close.
func (wy way) Close() error { return nil }

// reach returns the other instance, after the time of the way, or nil if it is not reached.
func (wy way) reach(ctx context.Context) *node {
	if !pause(ctx, time.Millisecond) {
		return nil
	}
	to := wy.fleet.at(wy.to)
	if to == nil || !wy.fleet.connected(wy.from, to) {
		return nil
	}
	return to
}

// Exchange carries a heartbeat.
func (lk peerLink) Exchange(ctx context.Context, in *wire.Heartbeat, _ ...grpc.CallOption) (*wire.Heartbeat, error) {
	to := lk.reach(ctx)
	if to == nil {
		return nil, errNoWay
	}
	return to.entry.Peer().Exchange(ctx, in)
}

// FetchDocument carries a request for the document.
func (lk peerLink) FetchDocument(ctx context.Context, in *wire.FetchDocumentRequest, _ ...grpc.CallOption) (*wire.FetchDocumentReply, error) {
	to := lk.reach(ctx)
	if to == nil {
		return nil, errNoWay
	}
	return to.entry.Peer().FetchDocument(ctx, in)
}

// FetchEvents carries a request for events.
func (lk peerLink) FetchEvents(ctx context.Context, in *wire.FetchEventsRequest, _ ...grpc.CallOption) (*wire.FetchEventsReply, error) {
	to := lk.reach(ctx)
	if to == nil {
		return nil, errNoWay
	}
	return to.entry.Peer().FetchEvents(ctx, in)
}

// FetchRows carries a request for rows.
func (lk peerLink) FetchRows(ctx context.Context, in *wire.FetchRowsRequest, _ ...grpc.CallOption) (*wire.FetchRowsReply, error) {
	to := lk.reach(ctx)
	if to == nil {
		return nil, errNoWay
	}
	return to.entry.Peer().FetchRows(ctx, in)
}

// Release carries results that are given up.
func (lk batchLink) Release(ctx context.Context, in *wire.ReleaseRequest, _ ...grpc.CallOption) (*wire.ReleaseReply, error) {
	to := lk.reach(ctx)
	if to == nil {
		return nil, errNoWay
	}
	return to.entry.Batches().Release(ctx, in)
}

// Load carries a load.
func (lk batchLink) Load(ctx context.Context, in *wire.LoadRequest, _ ...grpc.CallOption) (*wire.LoadReply, error) {
	to := lk.reach(ctx)
	if to == nil {
		return nil, errNoWay
	}
	return to.entry.Batches().Load(ctx, in)
}

// Gather carries work and its replies; an instance that is not reached is silent.
func (lk batchLink) Gather(ctx context.Context, in *wire.GatherRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.GatherReply], error) {
	sm := &stream{ctx: ctx, way: lk.way, replies: make(chan *wire.GatherReply, 64)}
	if to := lk.reach(ctx); to != nil {
		sm.to = to
		lk.fleet.calls.Go(func() { _ = to.entry.Batches().Gather(in, sm) })
	}
	return sm, nil
}

// stream is both ends of a call whose replies follow one another; what it does not name is not used.
type stream struct {
	grpc.ClientStream
	grpc.ServerStream
	way
	ctx     context.Context
	to      *node
	replies chan *wire.GatherReply
}

// Context is the call's context.
func (sm *stream) Context() context.Context { return sm.ctx }

// Send delivers a reply unless the way is cut; the sender does not notice.
func (sm *stream) Send(reply *wire.GatherReply) error {
	if sm.fleet.connected(sm.to, sm.from) {
		sm.replies <- reply
	}
	return nil
}

// Recv waits for a reply.
func (sm *stream) Recv() (*wire.GatherReply, error) {
	select {
	case reply := <-sm.replies:
		return reply, nil
	case <-sm.ctx.Done():
		return nil, context.Cause(sm.ctx)
	}
}

// SendMsg and RecvMsg stand in both interfaces.
func (sm *stream) SendMsg(any) error { return nil }
func (sm *stream) RecvMsg(any) error { return nil }
