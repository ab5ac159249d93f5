package peer

import (
	"context"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// takeVersions fetches the rows that another instance has and this one does not.
func (pr *Peer) takeVersions(ctx context.Context, address string, versions []*wire.TableVersion) {
	for _, version := range versions {
		if pr.rows.ObserveVersion(version) {
			pr.fetchRows(ctx, address, version.GetTable())
		}
	}
}

// fetchRows asks another instance for the rows of a table that changed since the own replica's version.
func (pr *Peer) fetchRows(ctx context.Context, address, table string) {
	own := int64(0)
	for _, version := range pr.rows.Versions() {
		if version.GetTable() == table {
			own = version.GetVersion()
		}
	}
	pr.inFlight.Go(func() {
		limited, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		client, err := pr.client(address)
		if err != nil {
			return
		}
		reply, err := client.FetchRows(limited, &wire.FetchRowsRequest{Table: table, After: own})
		if err != nil {
			pr.dropLink(address)
			return
		}
		pr.rows.ApplyRows(table, reply)
	})
}

// FetchRows sends what changed in the own replica of a table.
func (pr *Peer) FetchRows(_ context.Context, request *wire.FetchRowsRequest) (*wire.FetchRowsReply, error) {
	if pr.rows == nil {
		return &wire.FetchRowsReply{}, nil
	}
	return pr.rows.ChangesSince(request.GetTable(), request.GetAfter()), nil
}
