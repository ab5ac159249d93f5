package peer

import (
	"context"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// fetchMissingRows fetches the rows of each table of which another instance has a newer version.
func (pr *Peer) fetchMissingRows(ctx context.Context, address string, versions []*wire.TableVersion) {
	for _, version := range versions {
		if pr.replicas.ObserveVersion(version) {
			pr.fetchRows(ctx, address, version.GetTable())
		}
	}
}

// fetchRows fetches the rows of a table that changed after the version of this instance's replica.
func (pr *Peer) fetchRows(ctx context.Context, address, table string) {
	request := &wire.FetchRowsRequest{Table: table}
	for _, own := range pr.replicas.Versions() {
		if own.GetTable() == table {
			request.After, request.Era, request.Revision = own.GetVersion(), own.GetEra(), own.GetRevision()
		}
	}
	pr.inFlight.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		client, err := pr.client(address)
		if err != nil {
			return
		}
		reply, err := client.FetchRows(callCtx, request)
		if err != nil {
			pr.dropLink(address)
			return
		}
		pr.replicas.ApplyRows(table, reply)
	})
}

// FetchRows returns the rows that changed in this instance's replica of a table.
func (pr *Peer) FetchRows(_ context.Context, request *wire.FetchRowsRequest) (*wire.FetchRowsReply, error) {
	if pr.replicas == nil {
		return &wire.FetchRowsReply{}, nil
	}
	return pr.replicas.ChangesSince(request), nil
}
