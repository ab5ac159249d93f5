package entry

import (
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// changeListener applies changed rows to the catalog and announces new versions to the other instances.
type changeListener struct {
	entry *Instance
}

// RowsChanged applies changed rows and triggers a heartbeat that carries the new version.
func (ch changeListener) RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool) {
	ch.entry.catalog.RowsChanged(table, rows, version, fromPeer)
	ch.entry.peer.TriggerHeartbeat()
	ch.entry.streams.Refresh()
}

// ChangesMissed reports to the directory of streams that versions may have come and gone.
func (ch changeListener) ChangesMissed(string) {
	ch.entry.streams.Missed()
}

// StoreRestored reports to the catalog that the store has come back from an older copy.
func (ch changeListener) StoreRestored(table string, before, after replica.Position) {
	ch.entry.catalog.StoreRestored(table, before, after)
}

// ReadOverdue records that this instance reads the store itself.
func (ch changeListener) ReadOverdue(table string, staleness time.Duration) {
	ch.entry.events.Record(&wire.Event{Kind: wire.EventKind_EventStoreReadOverdue, Stage: table, Detail: fmt.Sprintf("age=%dms", staleness.Milliseconds())})
}

// StoreUnavailable reports the start of an outage to the catalog.
func (ch changeListener) StoreUnavailable(table string, cause error) {
	ch.entry.catalog.StoreUnavailable(table, cause)
}

// StoreRecovered reports the end of an outage to the catalog.
func (ch changeListener) StoreRecovered(table string) {
	ch.entry.catalog.StoreRecovered(table)
}

// peerReplicas exposes the table replicas to other instances.
type peerReplicas struct {
	entry *Instance
}

// Versions returns the version and the staleness of each replica.
func (rp peerReplicas) Versions() []*wire.TableVersion {
	list := []*wire.TableVersion{}
	for _, each := range rp.entry.watches {
		position := each.Position()
		list = append(list, &wire.TableVersion{
			Table: each.Table(), Era: position.Era, Version: position.Version, Revision: position.Revision, Newest: each.NewestChange().Version,
			AgeMs: each.Staleness().Milliseconds(),
		})
	}
	return list
}

// ChangesSince returns the rows of a table that a replica lacks.
func (rp peerReplicas) ChangesSince(request *wire.FetchRowsRequest) *wire.FetchRowsReply {
	after := replica.Position{Era: request.GetEra(), Version: request.GetAfter(), Revision: request.GetRevision()}
	reply := &wire.FetchRowsReply{GraceMs: rp.entry.catalog.GraceLeft().Milliseconds()}
	for _, each := range rp.entry.watches {
		if each.Table() != request.GetTable() {
			continue
		}
		page := each.ChangesSince(after)
		reply.Era, reply.Version, reply.Whole = page.Era, page.Version, page.Full
		for _, row := range page.Rows {
			reply.Rows = append(reply.Rows, &wire.TableRow{
				Key: row.Key, Value: row.Value, Version: row.Version, Revision: row.Revision, Deleted: row.Deleted,
			})
		}
	}
	return reply
}

// ObserveVersion records another instance's version of a table and reports whether to fetch rows from that instance.
func (rp peerReplicas) ObserveVersion(version *wire.TableVersion) bool {
	for _, each := range rp.entry.watches {
		if each.Table() != version.GetTable() {
			// All tables are of the same era.
			each.ObservePeerNewest(replica.Position{Era: version.GetEra()})
			continue
		}
		own, newest := each.Position(), replica.Position{Era: version.GetEra(), Version: version.GetNewest()}
		if own.IsBefore(newest) {
			each.ObservePeerNewest(newest)
			return true
		}
		each.ObservePeerFreshness(newest, timer.Milliseconds(version.GetAgeMs()))
		return newest.Era == own.Era && version.GetRevision() > own.Revision
	}
	return false
}

// ApplyRows applies rows that another instance sent.
func (rp peerReplicas) ApplyRows(table string, reply *wire.FetchRowsReply) {
	rp.entry.catalog.ExtendGrace(timer.Milliseconds(reply.GetGraceMs()))
	page := replica.Update{Era: reply.GetEra(), Version: reply.GetVersion(), Full: reply.GetWhole()}
	for _, row := range reply.GetRows() {
		page.Rows = append(page.Rows, replica.Row{
			Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Revision: row.GetRevision(), Deleted: row.GetDeleted(),
		})
	}
	for _, each := range rp.entry.watches {
		if each.Table() == table && page.Version > 0 {
			each.ApplyFromPeer(page)
		}
	}
}

// peerListener passes blocked parts to the gateway and ignores the peer's other notifications: the number of live
// instances is read where it is needed.
type peerListener struct {
	entry *Instance
}

// MembersChanged does nothing.
func (peerListener) MembersChanged([]member.Change, int) {}

// UpstreamLeaving does nothing: leaving upstreams are marked in the registrations.
func (peerListener) UpstreamLeaving(gossip.LeavingUpstream) {}

// PartsBlocked ends the requests in flight that have one of the parts.
func (pl peerListener) PartsBlocked(parts []poison.Part) {
	pl.entry.gateway.PartsBlocked(parts)
}

// DocumentFetched does nothing: the configuration is replicated as table rows.
func (peerListener) DocumentFetched(document.Text) {}
