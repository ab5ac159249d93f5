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
	"github.com/turmericdoor/turmericdoor/storereader"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/watch"
)

// changeListener applies changed rows to the catalog and announces new versions to the other instances.
type changeListener struct {
	entry *Instance
}

// RowsChanged applies changed rows and triggers a heartbeat that carries the new version.
func (ch changeListener) RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool) {
	ch.entry.catalog.RowsChanged(table, rows, version, fromPeer)
	ch.entry.throttle.UpstreamsChanged()
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

// Confirmed lets the other instances know that this one has found the table up to date.
func (ch changeListener) Confirmed(table string, at time.Time) {
	ch.entry.confirmed(table, at)
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

// Versions returns the state of each replica.
func (rp peerReplicas) Versions() []*wire.TableVersion {
	list := []*wire.TableVersion{}
	for _, each := range rp.entry.watches {
		list = append(list, rp.version(each))
	}
	return list
}

// version returns the state of a table's replica.
func (rp peerReplicas) version(of *watch.Watcher) *wire.TableVersion {
	position := of.Position()
	return &wire.TableVersion{
		Table: of.Table(), Era: position.Era, Version: position.Version, Revision: position.Revision, Newest: of.NewestChange().Version,
		AgeMs: of.Staleness().Milliseconds(), StoreMs: rp.entry.storeClock.Reading(of.FreshAt()).Milliseconds(),
	}
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
		reply.Source = rp.version(each)
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
		rp.observeFreshness(each, version)
		return newest.Era == own.Era && version.GetRevision() > own.Revision
	}
	return false
}

// ReadTurn returns the turn of reading the store that ended last.
func (rp peerReplicas) ReadTurn() *wire.ReadTurn {
	ended := rp.entry.rotation.Ended()
	return &wire.ReadTurn{Number: ended.Number, Reader: ended.Reader, Failures: ended.Failures}
}

// ObserveReadTurn records a turn of reading the store that ended at another instance.
func (rp peerReplicas) ObserveReadTurn(turn *wire.ReadTurn) {
	ended := storereader.Ended{Number: turn.GetNumber(), Reader: turn.GetReader(), Failures: turn.GetFailures()}
	if rp.entry.rotation.LearnEnded(ended) {
		rp.entry.beginTurn()
	}
}

// observeFreshness records how up to date another instance's replica of a table was.
func (rp peerReplicas) observeFreshness(own *watch.Watcher, version *wire.TableVersion) {
	at, known := rp.confirmedAt(version)
	if !known {
		return
	}
	peer := watch.Confirmation{
		Newest: replica.Position{Era: version.GetEra(), Version: version.GetNewest()}, At: at,
		Position: replica.Position{Era: version.GetEra(), Version: version.GetVersion()},
	}
	if own.ObservePeerFreshness(peer) && rp.entry.rotation.Learn(own.Table(), at) {
		rp.entry.peer.TriggerHeartbeat()
	}
}

// wayAllowance is the longest time that an age is expected to be on its way, which it does not say. Without it, ages that instances tell
// each other in turn would shrink.
const wayAllowance = 250 * time.Millisecond

// maxAge is the greatest age that counts: a replica that has never been up to date states one of centuries.
const maxAge = time.Hour

// confirmedAt returns when another instance's replica was last known to be up to date. An instance that does not state the store's time,
// as those of an earlier version, states an age.
func (rp peerReplicas) confirmedAt(version *wire.TableVersion) (time.Time, bool) {
	now := rp.entry.timers.Now()
	if version.GetStoreMs() > 0 && rp.entry.storeClock.IsKnown() {
		return rp.entry.storeClock.Local(now, timer.Milliseconds(version.GetStoreMs()))
	}
	age := timer.Milliseconds(version.GetAgeMs())
	if age < 0 || age > maxAge {
		return time.Time{}, false
	}
	return now.Add(-age - wayAllowance), true
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
		if each.Table() != table || page.Version == 0 {
			continue
		}
		each.ApplyFromPeer(page)
		if reply.GetSource() != nil {
			rp.observeFreshness(each, reply.GetSource())
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
