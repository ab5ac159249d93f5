package propertytest

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// peerLink is a peer.Link from one node to another, subject to the fleet's faults.
type peerLink struct {
	fleet  *fleet
	from   *node
	to     string
	random *entropy.Source
}

func (fl *fleet) dialer(from *node) peer.Dialer {
	return func(address string) (peer.Link, error) {
		return peerLink{fleet: fl, from: from, to: address, random: from.random.Fork(address)}, nil
	}
}

func (peerLink) Close() error { return nil }

// deliver waits for the network delay and returns the other node, or nil if the message is lost.
func (pl peerLink) deliver(ctx context.Context) *node {
	number := 0
	_, _ = fmt.Sscanf(pl.to, "10.0.0.%d:1", &number)
	nodes := pl.fleet.all()
	pl.fleet.mu.Lock()
	lost := pl.fleet.loss > 0 && pl.random.IntN(100) < pl.fleet.loss
	delay := time.Millisecond + pl.random.DurationUpTo(time.Millisecond)
	pl.fleet.mu.Unlock()
	if !sleep(ctx, delay) || number >= len(nodes) || lost {
		return nil
	}
	to := nodes[number]
	if pl.fleet.isBlocked(pl.from.domain, to.domain) || to.dead.Load() || pl.from.dead.Load() {
		return nil
	}
	answers := to.awaitThaw(ctx)
	pl.from.waitWhileFrozen()
	if !answers {
		return nil
	}
	return to
}

// canReply reports whether responses from the other node arrive.
func (pl peerLink) canReply(to *node) bool {
	return !pl.fleet.isBlocked(to.domain, pl.from.domain)
}

func (fl *fleet) isBlocked(from, to string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.blocked[[2]string{from, to}]
}

func (pl peerLink) Exchange(ctx context.Context, in *wire.Heartbeat, _ ...grpc.CallOption) (*wire.Heartbeat, error) {
	to := pl.deliver(ctx)
	if to == nil {
		return nil, context.DeadlineExceeded
	}
	reply, err := to.core.Peer().Exchange(ctx, in)
	pl.fleet.countMessage(proto.Size(in))
	pl.fleet.countMessage(proto.Size(reply))
	if !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

func (pl peerLink) FetchDocument(ctx context.Context, in *wire.FetchDocumentRequest, _ ...grpc.CallOption) (*wire.FetchDocumentReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	reply, err := to.core.Peer().FetchDocument(ctx, in)
	pl.fleet.recordDocument(reply.GetDocument())
	pl.fleet.countMessage(proto.Size(reply))
	if old := pl.fleet.staleDocument(pl.random); old != nil {
		reply.Document = old
	}
	return reply, err
}

func (fl *fleet) recordDocument(text *wire.DocumentText) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if text != nil {
		fl.documents = append(fl.documents, text)
	}
}

// staleDocument returns an earlier document with probability stale, and nil otherwise.
func (fl *fleet) staleDocument(random *entropy.Source) *wire.DocumentText {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.documents) == 0 || random.IntN(100) >= fl.stale {
		return nil
	}
	return fl.documents[random.IntN(len(fl.documents))]
}

func (pl peerLink) FetchEvents(ctx context.Context, in *wire.FetchEventsRequest, _ ...grpc.CallOption) (*wire.FetchEventsReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().FetchEvents(ctx, in)
}

func (pl peerLink) FetchRows(ctx context.Context, in *wire.FetchRowsRequest, _ ...grpc.CallOption) (*wire.FetchRowsReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().FetchRows(ctx, in)
}

func (pl peerLink) AcquirePermit(ctx context.Context, in *wire.PermitRequest, _ ...grpc.CallOption) (*wire.PermitReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().AcquirePermit(ctx, in)
}

func (pl peerLink) ReportLimit(ctx context.Context, in *wire.LimitReport, _ ...grpc.CallOption) (*wire.LimitReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().ReportLimit(ctx, in)
}

func (pl peerLink) RecordOrigins(ctx context.Context, in *wire.RecordOriginsRequest, _ ...grpc.CallOption) (*wire.RecordOriginsReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().RecordOrigins(ctx, in)
}

func (pl peerLink) FindOrigin(ctx context.Context, in *wire.FindOriginRequest, _ ...grpc.CallOption) (*wire.FindOriginReply, error) {
	to := pl.deliver(ctx)
	if to == nil || !pl.canReply(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().FindOrigin(ctx, in)
}
