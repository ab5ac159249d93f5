package catalog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Decoder reads the rows of the platform's tables.
type Decoder interface {
	// Configuration reads a configuration, or returns nil for a row that holds none.
	Configuration(row replica.Row) (*route.Table, error)
	// Registration reads an upstream's registration.
	Registration(row replica.Row, now time.Time) (roster.Upstream, error)
}

// TableNames names the tables that hold the configuration and the registrations.
type TableNames struct {
	Configuration string
	Registrations string
}

// Catalog is the configuration and the upstreams in force; reading takes no lock.
type Catalog struct {
	decoder Decoder
	tables  TableNames
	timers  *timer.Service
	events  *timeline.Ring

	table  atomic.Pointer[route.Table]
	list   atomic.Pointer[roster.Snapshot]
	mu     sync.Mutex
	roster *roster.Roster
	listed bool
	due    chan struct{}
}

// New returns a catalog without a configuration; Run must be running.
func New(decoder Decoder, tables TableNames, timers *timer.Service, events *timeline.Ring) *Catalog {
	ct := &Catalog{
		decoder: decoder, tables: tables, timers: timers, events: events, roster: roster.New(),
		due: make(chan struct{}, 1),
	}
	ct.list.Store(ct.roster.Snapshot())
	return ct
}

// RoutingTable returns the configuration in force, or nil before the first one.
func (ct *Catalog) RoutingTable() *route.Table {
	return ct.table.Load()
}

// Snapshot returns the registrations.
func (ct *Catalog) Snapshot() *roster.Snapshot {
	return ct.list.Load()
}

// IsLoaded reports whether a configuration and the registrations are known.
func (ct *Catalog) IsLoaded() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.listed && ct.table.Load() != nil
}

// Pool returns a pool of the configuration in force.
func (ct *Catalog) Pool(name string) (route.Pool, bool) {
	table := ct.table.Load()
	if table == nil {
		return route.Pool{}, false
	}
	pool, known := table.Pools[name]
	return pool, known
}

// Upstreams returns the upstreams of a pool that may get work, of one failure domain or of all if it is empty.
func (ct *Catalog) Upstreams(pool, failureDomain string) []*roster.Upstream {
	all := ct.list.Load().Usable(pool)
	if failureDomain == "" {
		return all
	}
	near := []*roster.Upstream{}
	for _, up := range all {
		if up.FailureDomain == failureDomain {
			near = append(near, up)
		}
	}
	return near
}

// IsUsable reports whether an incarnation is registered and not leaving.
func (ct *Catalog) IsUsable(incarnation roster.Incarnation) bool {
	return ct.list.Load().IsUsable(incarnation)
}

// Find returns a registered upstream by id, or nil.
func (ct *Catalog) Find(id string) *roster.Upstream {
	return ct.list.Load().Find(id)
}

// RowsChanged takes changed rows over.
func (ct *Catalog) RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, row := range rows {
		switch table {
		case ct.tables.Configuration:
			ct.takeConfiguration(row, fromPeer)
		case ct.tables.Registrations:
			ct.takeRegistration(row)
		}
	}
	if table == ct.tables.Registrations {
		ct.listed = true
		ct.publish()
	}
	ct.events.Record(&wire.Event{
		Kind: wire.EventKind_EventRowsInstalled, Stage: table, Revision: version, Attempt: int64(len(rows)),
		Detail: fmt.Sprintf("peer=%t", fromPeer),
	})
}

// takeConfiguration puts a configuration in force if it is newer. One that can't be read changes nothing.
func (ct *Catalog) takeConfiguration(row replica.Row, fromPeer bool) {
	if row.Deleted {
		return
	}
	fresh, err := ct.decoder.Configuration(row)
	if err != nil {
		ct.events.Record(&wire.Event{Kind: wire.EventKind_EventDocumentRefused, Revision: row.Version, Detail: err.Error()})
		return
	}
	if fresh == nil {
		return
	}
	before := ct.table.Load()
	if before != nil && fresh.Revision <= before.Revision {
		return
	}
	ct.table.Store(fresh)
	invariant.Check(before == nil || before.Revision < fresh.Revision, "a revision never reverts", "%d", fresh.Revision)
	ct.events.Record(&wire.Event{
		Kind: wire.EventKind_EventDocumentInstalled, Revision: fresh.Revision,
		Detail: fmt.Sprintf("version=%d peer=%t pipelines=%d pools=%d", row.Version, fromPeer, len(fresh.Pipelines), len(fresh.Pools)),
	})
}

// takeRegistration enters a registration. One that can't be read names no upstream to use.
func (ct *Catalog) takeRegistration(row replica.Row) {
	now := ct.timers.Now()
	if row.Deleted {
		ct.roster.Remove(now, row.Key)
		ct.signal()
		return
	}
	upstream, err := ct.decoder.Registration(row, now)
	if err != nil {
		ct.roster.Remove(now, row.Key)
		ct.events.Record(&wire.Event{Kind: wire.EventKind_EventRowUnreadable, Upstream: row.Key, Revision: row.Version, Detail: err.Error()})
		return
	}
	ct.roster.Put(upstream)
}

// publish makes the roster visible and records who came and went.
func (ct *Catalog) publish() {
	before, after := ct.list.Load(), ct.roster.Snapshot()
	ct.list.Store(after)
	for _, id := range after.IDs() {
		now, was := after.Find(id), before.Find(id)
		switch {
		case now.Leaving && (was == nil || !was.Leaving):
			ct.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamLeaving, Upstream: id, Stage: now.Pool})
		case !now.Leaving && (was == nil || was.StartUnixMs != now.StartUnixMs):
			ct.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamJoined, Upstream: id, Stage: now.Pool, Detail: now.Address})
		}
	}
	for _, id := range before.IDs() {
		if after.Find(id) == nil {
			ct.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamGone, Upstream: id})
		}
	}
}

// StoreUnavailable takes note of an outage.
func (ct *Catalog) StoreUnavailable(table string, cause error) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if table == ct.tables.Registrations {
		ct.roster.StoreUnavailable(ct.timers.Now())
	}
	ct.events.Record(&wire.Event{Kind: wire.EventKind_EventPlatformUnavailable, Stage: table, Detail: cause.Error()})
}

// StoreRecovered takes note of the end of an outage.
func (ct *Catalog) StoreRecovered(table string) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if table == ct.tables.Registrations {
		ct.roster.StoreRecovered(ct.timers.Now())
		ct.signal()
	}
	ct.events.Record(&wire.Event{Kind: wire.EventKind_EventPlatformBack, Stage: table})
}

// GraceLeft returns how much longer registrations that lapsed in an outage may come back.
func (ct *Catalog) GraceLeft() time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.roster.GraceLeft(ct.timers.Now())
}

// ExtendGrace lets registrations that lapsed in an outage come back that much longer, as another instance has seen it.
func (ct *Catalog) ExtendGrace(left time.Duration) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.roster.ExtendGrace(ct.timers.Now().Add(left))
}

func (ct *Catalog) signal() {
	select {
	case ct.due <- struct{}{}:
	default:
	}
}

// Run drops registrations that lapsed during an outage and did not come back, until ctx ends.
func (ct *Catalog) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		ct.mu.Lock()
		at := ct.roster.NextExpiry()
		ct.mu.Unlock()
		wait := ct.timers.After(max(at.Sub(ct.timers.Now()), 0))
		if at.IsZero() {
			wait = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-ct.due:
		case <-wait:
			ct.expire()
		}
	}
}

func (ct *Catalog) expire() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if dropped := ct.roster.Expire(ct.timers.Now()); len(dropped) > 0 {
		ct.publish()
	}
}
