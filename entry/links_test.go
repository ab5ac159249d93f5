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

// errUnreachable is the error of calls to an instance that is stopped or disconnected.
var errUnreachable = errors.New("instance is unreachable")

// link is a simulated connection from one instance to an address.
type link struct {
	fleet *fleet
	from  *node
	to    string
}

// peerLink and batchLink are the clients of the two gRPC services.
type (
	peerLink  struct{ link }
	batchLink struct{ link }
)

func (fl *fleet) dialPeer(from *node) peer.Dialer {
	return func(address string) (peer.Link, error) { return peerLink{link{fl, from, address}}, nil }
}

func (fl *fleet) dialBatches(from *node) gather.Dialer {
	return func(address string) (gather.Link, error) { return batchLink{link{fl, from, address}}, nil }
}

// Close does nothing.
func (ln link) Close() error { return nil }

// connect returns the instance at the address after the network delay, or nil if it is unreachable.
func (ln link) connect(ctx context.Context) *node {
	if !sleep(ctx, time.Millisecond) {
		return nil
	}
	to := ln.fleet.nodeAt(ln.to)
	if to == nil || !ln.fleet.connected(ln.from, to) || !ln.from.awaitThaw(ctx) || !to.awaitThaw(ctx) {
		return nil
	}
	return to
}

// Exchange exchanges heartbeats.
func (lk peerLink) Exchange(ctx context.Context, in *wire.Heartbeat, _ ...grpc.CallOption) (*wire.Heartbeat, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().Exchange(ctx, in)
}

// FetchDocument fetches the document.
func (lk peerLink) FetchDocument(ctx context.Context, in *wire.FetchDocumentRequest, _ ...grpc.CallOption) (*wire.FetchDocumentReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().FetchDocument(ctx, in)
}

// FetchEvents fetches events.
func (lk peerLink) FetchEvents(ctx context.Context, in *wire.FetchEventsRequest, _ ...grpc.CallOption) (*wire.FetchEventsReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().FetchEvents(ctx, in)
}

// FetchRows fetches the changed rows of a table.
func (lk peerLink) FetchRows(ctx context.Context, in *wire.FetchRowsRequest, _ ...grpc.CallOption) (*wire.FetchRowsReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().FetchRows(ctx, in)
}

// AcquirePermit asks for a permit.
func (lk peerLink) AcquirePermit(ctx context.Context, in *wire.PermitRequest, _ ...grpc.CallOption) (*wire.PermitReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().AcquirePermit(ctx, in)
}

// ReportLimit reports what an answer announced.
func (lk peerLink) ReportLimit(ctx context.Context, in *wire.LimitReport, _ ...grpc.CallOption) (*wire.LimitReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().ReportLimit(ctx, in)
}

// RecordOrigins has the other instance keep the origins of streams.
func (lk peerLink) RecordOrigins(ctx context.Context, in *wire.RecordOriginsRequest, _ ...grpc.CallOption) (*wire.RecordOriginsReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().RecordOrigins(ctx, in)
}

// FindOrigin asks for the origin of a stream.
func (lk peerLink) FindOrigin(ctx context.Context, in *wire.FindOriginRequest, _ ...grpc.CallOption) (*wire.FindOriginReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Peer().FindOrigin(ctx, in)
}

// Release frees results that no request needs any more.
func (lk batchLink) Release(ctx context.Context, in *wire.ReleaseRequest, _ ...grpc.CallOption) (*wire.ReleaseReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Batches().Release(ctx, in)
}

// Load exchanges the load of two gatherers.
func (lk batchLink) Load(ctx context.Context, in *wire.LoadRequest, _ ...grpc.CallOption) (*wire.LoadReply, error) {
	to := lk.connect(ctx)
	if to == nil {
		return nil, errUnreachable
	}
	return to.entry.Batches().Load(ctx, in)
}

// Gather submits items and streams the replies; an unreachable instance sends none.
func (lk batchLink) Gather(ctx context.Context, in *wire.GatherRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.GatherReply], error) {
	sm := &stream{ctx: ctx, link: lk.link, replies: make(chan *wire.GatherReply, 64)}
	if to := lk.connect(ctx); to != nil {
		sm.to = to
		lk.fleet.calls.Go(func() { _ = to.entry.Batches().Gather(in, sm) })
	}
	return sm, nil
}

// stream is both ends of a streaming call; the methods of the embedded interfaces are not used.
type stream struct {
	grpc.ClientStream
	grpc.ServerStream
	link
	ctx     context.Context
	to      *node
	replies chan *wire.GatherReply
}

// Context returns the context of the call.
func (sm *stream) Context() context.Context { return sm.ctx }

// Send delivers a reply; it drops the reply without an error if the instances are disconnected.
func (sm *stream) Send(reply *wire.GatherReply) error {
	if sm.fleet.connected(sm.to, sm.from) {
		sm.replies <- reply
	}
	return nil
}

// Recv waits for the next reply.
func (sm *stream) Recv() (*wire.GatherReply, error) {
	select {
	case reply := <-sm.replies:
		return reply, nil
	case <-sm.ctx.Done():
		return nil, context.Cause(sm.ctx)
	}
}

// SendMsg and RecvMsg resolve the ambiguity between the two embedded interfaces.
func (sm *stream) SendMsg(any) error { return nil }
func (sm *stream) RecvMsg(any) error { return nil }
