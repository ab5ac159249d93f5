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

// peerLink carries calls from one node to another through the fleet's faults.
type peerLink struct {
	fleet  *fleet
	from   *node
	to     string
	chance *entropy.Source
}

func (fl *fleet) dialer(from *node) peer.Dialer {
	return func(address string) (peer.Link, error) {
		return peerLink{fleet: fl, from: from, to: address, chance: from.chance.Fork(address)}, nil
	}
}

func (peerLink) Close() error { return nil }

// reach waits for the way to the other node and returns it, or nil if the message is lost.
func (pl peerLink) reach(ctx context.Context) *node {
	number := 0
	_, _ = fmt.Sscanf(pl.to, "10.0.0.%d:1", &number)
	nodes := pl.fleet.all()
	pl.fleet.mu.Lock()
	lost := pl.fleet.loss > 0 && pl.chance.IntN(100) < pl.fleet.loss
	delay := time.Millisecond + pl.chance.DurationUpTo(time.Millisecond)
	pl.fleet.mu.Unlock()
	if !pause(ctx, delay) || number >= len(nodes) || lost {
		return nil
	}
	to := nodes[number]
	if pl.fleet.isCut(pl.from.domain, to.domain) || to.dead.Load() || pl.from.dead.Load() {
		return nil
	}
	answers := to.awaitThaw(ctx)
	pl.from.holdWhileFrozen()
	if !answers {
		return nil
	}
	return to
}

func (pl peerLink) back(to *node) bool {
	return !pl.fleet.isCut(to.domain, pl.from.domain)
}

func (fl *fleet) isCut(from, to string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.cut[[2]string{from, to}]
}

func (pl peerLink) Exchange(ctx context.Context, in *wire.Heartbeat, _ ...grpc.CallOption) (*wire.Heartbeat, error) {
	to := pl.reach(ctx)
	if to == nil {
		return nil, context.DeadlineExceeded
	}
	reply, err := to.core.Peer().Exchange(ctx, in)
	pl.fleet.count(proto.Size(in))
	pl.fleet.count(proto.Size(reply))
	if !pl.back(to) {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

func (pl peerLink) FetchDocument(ctx context.Context, in *wire.FetchDocumentRequest, _ ...grpc.CallOption) (*wire.FetchDocumentReply, error) {
	to := pl.reach(ctx)
	if to == nil || !pl.back(to) {
		return nil, context.DeadlineExceeded
	}
	reply, err := to.core.Peer().FetchDocument(ctx, in)
	pl.fleet.keepDocument(reply.GetDocument())
	pl.fleet.count(proto.Size(reply))
	if old := pl.fleet.oldDocument(pl.chance); old != nil {
		reply.Document = old
	}
	return reply, err
}

func (fl *fleet) keepDocument(text *wire.DocumentText) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if text != nil {
		fl.documents = append(fl.documents, text)
	}
}

func (fl *fleet) oldDocument(chance *entropy.Source) *wire.DocumentText {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.documents) == 0 || chance.IntN(100) >= fl.stale {
		return nil
	}
	return fl.documents[chance.IntN(len(fl.documents))]
}

func (pl peerLink) FetchEvents(ctx context.Context, in *wire.FetchEventsRequest, _ ...grpc.CallOption) (*wire.FetchEventsReply, error) {
	to := pl.reach(ctx)
	if to == nil || !pl.back(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().FetchEvents(ctx, in)
}

func (pl peerLink) FetchRows(ctx context.Context, in *wire.FetchRowsRequest, _ ...grpc.CallOption) (*wire.FetchRowsReply, error) {
	to := pl.reach(ctx)
	if to == nil || !pl.back(to) {
		return nil, context.DeadlineExceeded
	}
	return to.core.Peer().FetchRows(ctx, in)
}
