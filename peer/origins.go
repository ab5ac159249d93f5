package peer

import (
	"context"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Origins are the origins of streams and the upstreams that have ended, which instances tell each other.
type Origins interface {
	// Keep keeps the records of another instance.
	Keep(request *wire.RecordOriginsRequest)
	// Reply answers another instance's search for the origin of a stream.
	Reply(request *wire.FindOriginRequest) *wire.FindOriginReply
	// EndedNews returns the ended incarnations of upstreams for a heartbeat, all of them for a full exchange.
	EndedNews(full bool) []*wire.EndedUpstream
	// AddEndedNews adds the ended incarnations in a heartbeat.
	AddEndedNews(news []*wire.EndedUpstream)
}

// RecordOrigins keeps the origins of streams that another instance began.
func (pr *Peer) RecordOrigins(_ context.Context, request *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error) {
	if pr.origins != nil {
		pr.origins.Keep(request)
	}
	return &wire.RecordOriginsReply{}, nil
}

// FindOrigin answers another instance's search for the origin of a stream.
func (pr *Peer) FindOrigin(_ context.Context, request *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	if pr.origins == nil {
		return &wire.FindOriginReply{}, nil
	}
	return pr.origins.Reply(request), nil
}

// RecordOriginsAt has another instance keep the origins of streams.
func (pr *Peer) RecordOriginsAt(ctx context.Context, keeper member.Member, request *wire.RecordOriginsRequest) error {
	client, err := pr.client(keeper.Address)
	if err != nil {
		return err
	}
	_, err = client.RecordOrigins(ctx, request)
	return err
}

// FindOriginAt asks another instance for the origin of a stream.
func (pr *Peer) FindOriginAt(ctx context.Context, keeper member.Member, request *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	client, err := pr.client(keeper.Address)
	if err != nil {
		return nil, err
	}
	return client.FindOrigin(ctx, request)
}
