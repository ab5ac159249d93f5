package entry

import (
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// changes hands changed rows to the catalog, and has other instances told that there are any.
type changes struct {
	entry *Instance
}

// RowsChanged takes changed rows.
func (ch changes) RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool) {
	ch.entry.catalog.RowsChanged(table, rows, version, fromPeer)
	ch.entry.peer.TriggerHeartbeat()
}

// StoreUnavailable takes note of an outage.
func (ch changes) StoreUnavailable(table string, cause error) {
	ch.entry.catalog.StoreUnavailable(table, cause)
}

// StoreRecovered takes note of the end of an outage.
func (ch changes) StoreRecovered(table string) {
	ch.entry.catalog.StoreRecovered(table)
}

// replicas are the watches as other instances see them.
type replicas struct {
	entry *Instance
}

// Versions returns how far the replicas have come.
func (rp replicas) Versions() []*wire.TableVersion {
	list := []*wire.TableVersion{}
	for _, each := range rp.entry.watches {
		list = append(list, &wire.TableVersion{
			Table: each.Table(), Version: each.Version(), Newest: each.NewestChange(), AgeMs: each.Staleness().Milliseconds(),
		})
	}
	return list
}

// ChangesSince returns what changed in a table after a version.
func (rp replicas) ChangesSince(table string, version int64) *wire.FetchRowsReply {
	reply := &wire.FetchRowsReply{GraceMs: rp.entry.catalog.GraceLeft().Milliseconds()}
	for _, each := range rp.entry.watches {
		if each.Table() != table {
			continue
		}
		page := each.ChangesSince(version)
		reply.Version, reply.Whole = page.Version, page.Full
		for _, row := range page.Rows {
			reply.Rows = append(reply.Rows, &wire.TableRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
		}
	}
	return reply
}

// ObserveVersion takes note of how far another instance has come, and reports whether rows should be fetched from it.
func (rp replicas) ObserveVersion(version *wire.TableVersion) bool {
	for _, each := range rp.entry.watches {
		if each.Table() != version.GetTable() {
			continue
		}
		if version.GetNewest() > each.Version() {
			each.ObservePeerVersion(version.GetNewest())
			return true
		}
		each.ObservePeerFreshness(version.GetNewest(), timer.Milliseconds(version.GetAgeMs()))
	}
	return false
}

// ApplyRows applies rows that another instance sent.
func (rp replicas) ApplyRows(table string, reply *wire.FetchRowsReply) {
	rp.entry.catalog.ExtendGrace(timer.Milliseconds(reply.GetGraceMs()))
	page := replica.Update{Version: reply.GetVersion(), Full: reply.GetWhole()}
	for _, row := range reply.GetRows() {
		page.Rows = append(page.Rows, replica.Row{
			Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetDeleted(),
		})
	}
	for _, each := range rp.entry.watches {
		if each.Table() == table && page.Version > 0 {
			each.ApplyFromPeer(page)
		}
	}
}

// listener hears of membership; live instances are counted where they are needed.
type listener struct{}

// MembersChanged needs nothing done.
func (listener) MembersChanged([]member.Change, int) {}

// UpstreamLeaving needs nothing done: upstreams that leave stand in the registrations.
func (listener) UpstreamLeaving(gossip.LeavingUpstream) {}

// DocumentFetched needs nothing done: the configuration comes as rows.
func (listener) DocumentFetched(document.Text) {}
