package catalog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/evacuation"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Decoder decodes the rows of the platform's tables.
type Decoder interface {
	// Configuration decodes a configuration; it returns nil for a row that holds none.
	Configuration(row replica.Row) (*route.Table, error)
	// Registration decodes an upstream's registration.
	Registration(row replica.Row, now time.Time) (roster.Upstream, error)
	// Evacuation returns the failure domain that a row of the configuration table evacuates; ok is false if the row is not about an
	// evacuation. The presence of the row counts, not its value: an unreadable value gives an error, which the caller logs, and ok is
	// still true.
	Evacuation(row replica.Row) (domain string, ok bool, err error)
}

// TableNames names the tables that hold the configuration, with the evacuations, and the registrations.
type TableNames struct {
	Configuration string
	Registrations string
}

// Catalog holds the current configuration, upstreams and evacuated failure domains. Reading RoutingTable, Snapshot, Pool, Upstreams,
// Evacuated, IsUsable and Find takes no lock.
type Catalog struct {
	decoder    Decoder
	tableNames TableNames
	timers     *timer.Service
	events     *timeline.Ring

	routingTable        atomic.Pointer[route.Table]
	snapshot            atomic.Pointer[roster.Snapshot]
	mu                  sync.Mutex
	roster              *roster.Roster
	evacuations         *evacuation.Register
	registrationsLoaded bool
	// restoredVersion is the version up to which the registrations are those of an older copy from which the store came back.
	restoredVersion int64
	// versionBefore is the version up to which the registrations were known when the store came back from that copy.
	versionBefore int64
	// leaving holds the incarnations whose answers have said that they are leaving, and since when.
	leaving map[roster.Incarnation]time.Time
	wake    chan struct{}
}

// New returns a catalog without a configuration; Run must be called.
func New(decoder Decoder, tables TableNames, timers *timer.Service, events *timeline.Ring) *Catalog {
	ct := &Catalog{
		decoder: decoder, tableNames: tables, timers: timers, events: events, roster: roster.New(),
		evacuations: evacuation.New(), wake: make(chan struct{}, 1),
	}
	ct.snapshot.Store(ct.roster.Snapshot())
	return ct
}

// RoutingTable returns the current configuration, or nil before the first one.
func (ct *Catalog) RoutingTable() *route.Table {
	return ct.routingTable.Load()
}

// Snapshot returns the registrations.
func (ct *Catalog) Snapshot() *roster.Snapshot {
	return ct.snapshot.Load()
}

// IsLoaded reports whether a configuration and the registrations have been received.
func (ct *Catalog) IsLoaded() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.registrationsLoaded && ct.routingTable.Load() != nil
}

// Pool returns a pool of the current configuration.
func (ct *Catalog) Pool(name string) (route.Pool, bool) {
	table := ct.routingTable.Load()
	if table == nil {
		return route.Pool{}, false
	}
	pool, known := table.Pools[name]
	return pool, known
}

// Upstreams returns the usable upstreams of a pool in one failure domain, or in all if it is empty.
func (ct *Catalog) Upstreams(pool, failureDomain string) []*roster.Upstream {
	all := ct.snapshot.Load().Usable(pool)
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

// Evacuated returns the upstreams of a pool that get no new requests because their failure domain is evacuated.
func (ct *Catalog) Evacuated(pool string) []*roster.Upstream {
	return ct.snapshot.Load().Evacuated(pool)
}

// IsPoolEvacuated reports whether a pool has no usable upstream because failure domains are evacuated.
func (ct *Catalog) IsPoolEvacuated(pool string) bool {
	snapshot := ct.snapshot.Load()
	return len(snapshot.Usable(pool)) == 0 && len(snapshot.Evacuated(pool)) > 0
}

// IsUsable reports whether an incarnation may receive new requests: it is registered, not leaving, and not in an evacuated failure domain.
func (ct *Catalog) IsUsable(incarnation roster.Incarnation) bool {
	return ct.snapshot.Load().IsUsable(incarnation)
}

// Find returns the registered upstream with an id, or nil.
func (ct *Catalog) Find(id string) *roster.Upstream {
	return ct.snapshot.Load().Find(id)
}

// RowsChanged applies changed rows of a table.
func (ct *Catalog) RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if table == ct.tableNames.Configuration {
		// An instance that starts must not serve requests by its first configuration before it knows the evacuations.
		ct.applyEvacuations(rows, fromPeer)
	}
	for _, row := range rows {
		switch table {
		case ct.tableNames.Configuration:
			ct.applyConfiguration(row, fromPeer)
		case ct.tableNames.Registrations:
			ct.applyRegistration(row)
		}
	}
	if table == ct.tableNames.Registrations {
		ct.registrationsLoaded = true
		ct.publish()
	}
	ct.events.Record(&wire.Event{
		Kind: wire.EventKind_EventRowsInstalled, Stage: table, Revision: version, Attempt: int64(len(rows)),
		Detail: fmt.Sprintf("peer=%t", fromPeer),
	})
}

// applyConfiguration publishes a configuration if it is newer. A row that can't be decoded is ignored.
func (ct *Catalog) applyConfiguration(row replica.Row, fromPeer bool) {
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
	before := ct.routingTable.Load()
	if before != nil && fresh.Revision <= before.Revision {
		return
	}
	ct.routingTable.Store(fresh)
	invariant.Check(before == nil || before.Revision < fresh.Revision, "a document's revision never decreases", "%d", fresh.Revision)
	ct.events.Record(&wire.Event{
		Kind: wire.EventKind_EventDocumentInstalled, Revision: fresh.Revision,
		Detail: fmt.Sprintf("version=%d peer=%t pipelines=%d pools=%d", row.Version, fromPeer, len(fresh.Pipelines), len(fresh.Pools)),
	})
}

// applyRegistration adds or removes a registration. A row that can't be decoded removes it.
func (ct *Catalog) applyRegistration(row replica.Row) {
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
	if row.Version <= ct.restoredVersion {
		ct.roster.PutRestored(now, upstream, row.Version <= ct.versionBefore)
		ct.signal()
		return
	}
	ct.roster.Put(upstream)
}

// applyEvacuations applies the evacuations among the rows, and publishes the result if the evacuated failure domains changed. Their events are
// recorded after that: no request that is logged later is sent to an evacuated upstream.
func (ct *Catalog) applyEvacuations(rows []replica.Row, fromPeer bool) {
	changed, recorded := false, []*wire.Event{}
	for _, row := range rows {
		domain, ok, err := ct.decoder.Evacuation(row)
		if err != nil {
			recorded = append(recorded, &wire.Event{Kind: wire.EventKind_EventRowUnreadable, Stage: ct.tableNames.Configuration, Revision: row.Version, Detail: err.Error()})
		}
		if !ok {
			continue
		}
		hasChanged, event := ct.applyEvacuation(domain, row, fromPeer)
		changed = changed || hasChanged
		if event != nil {
			event.Revision = row.Version
			recorded = append(recorded, event)
		}
	}
	if changed {
		ct.publishEvacuations()
	}
	for _, event := range recorded {
		ct.events.Record(event)
	}
}

// applyEvacuation applies a row that evacuates a failure domain, or the removal of one. It reports whether the evacuated failure domains
// changed, and returns the event to record, or nil.
func (ct *Catalog) applyEvacuation(domain string, row replica.Row, fromPeer bool) (changed bool, event *wire.Event) {
	now := ct.timers.Now()
	defer ct.signal()
	if !row.Deleted {
		if !ct.evacuations.Put(now, domain, row.Version) {
			return false, nil
		}
		detail := fmt.Sprintf("domain=%s peer=%t upstreams=%d", domain, fromPeer, ct.snapshot.Load().CountIn(domain))
		return true, &wire.Event{Kind: wire.EventKind_EventDomainEvacuated, Detail: detail}
	}
	since, wasEvacuated := ct.evacuations.Domains(now)[domain]
	if ct.evacuations.Remove(now, domain) {
		detail := fmt.Sprintf("domain=%s peer=%t", domain, fromPeer)
		return true, &wire.Event{Kind: wire.EventKind_EventDomainRestored, DurationMicros: now.Sub(since).Microseconds(), Detail: detail}
	}
	if !wasEvacuated {
		return false, nil
	}
	left := ct.evacuations.NextExpiry().Sub(now)
	return false, &wire.Event{Kind: wire.EventKind_EventDomainEvacuated, Detail: fmt.Sprintf("domain=%s source=held left=%dms", domain, left.Milliseconds())}
}

// publishEvacuations publishes a snapshot without the upstreams of evacuated failure domains.
func (ct *Catalog) publishEvacuations() {
	ct.roster.SetEvacuated(ct.evacuations.Domains(ct.timers.Now()))
	ct.publish()
}

// publish makes the roster's state visible and records the upstreams that joined, are leaving or are gone.
func (ct *Catalog) publish() {
	before, after := ct.snapshot.Load(), ct.roster.Snapshot()
	ct.snapshot.Store(after)
	for _, id := range after.IDs() {
		current, previous := after.Find(id), before.Find(id)
		switch {
		case current.Leaving && (previous == nil || !previous.Leaving):
			ct.events.Record(&wire.Event{
				Kind: wire.EventKind_EventUpstreamLeaving, Upstream: id, Stage: current.Pool, Detail: ct.leavingDetail(current),
			})
		case !current.Leaving && (previous == nil || previous.StartUnixMs != current.StartUnixMs):
			ct.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamJoined, Upstream: id, Stage: current.Pool, Detail: current.Address})
		}
	}
	for _, id := range before.IDs() {
		if after.Find(id) == nil {
			ct.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamGone, Upstream: id})
		}
	}
}

// SetLeaving sets the incarnations whose answers have said that they are leaving, and since when.
func (ct *Catalog) SetLeaving(since map[roster.Incarnation]time.Time) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.leaving = since
	ct.roster.SetLeaving(since)
	ct.publish()
}

// leavingDetail returns how it is known that an upstream is leaving, for the log.
func (ct *Catalog) leavingDetail(up *roster.Upstream) string {
	since, said := ct.leaving[up.Incarnation()]
	if !said {
		return "source=registration"
	}
	return fmt.Sprintf("source=answer age=%dms", ct.timers.Now().Sub(since).Milliseconds())
}

// StoreUnavailable records the start of an outage of the store for a table.
func (ct *Catalog) StoreUnavailable(table string, cause error) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if table == ct.tableNames.Registrations {
		ct.roster.StoreUnavailable(ct.timers.Now())
	}
	ct.events.Record(&wire.Event{Kind: wire.EventKind_EventPlatformUnavailable, Stage: table, Detail: cause.Error()})
}

// StoreRecovered records the end of an outage of the store for a table.
func (ct *Catalog) StoreRecovered(table string) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if table == ct.tableNames.Registrations {
		ct.roster.StoreRecovered(ct.timers.Now())
		ct.signal()
	}
	ct.events.Record(&wire.Event{Kind: wire.EventKind_EventPlatformBack, Stage: table})
}

// StoreRestored records that the store has come back from an older copy, whose rows are delivered next.
func (ct *Catalog) StoreRestored(table string, before, after replica.Position) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if table == ct.tableNames.Registrations {
		ct.restoredVersion, ct.versionBefore = after.Version, before.Version
		ct.roster.StoreRestored(ct.timers.Now())
	}
	if table == ct.tableNames.Configuration {
		ct.evacuations.StoreRestored(ct.timers.Now())
		ct.signal()
	}
	ct.events.Record(&wire.Event{
		Kind: wire.EventKind_EventStoreRestored, Stage: table, Revision: after.Version,
		Detail: fmt.Sprintf("era=%d before=%d of era %d", after.Era, before.Version, before.Era),
	})
}

// GraceLeft returns the remaining grace period for registrations that lapsed in an outage.
func (ct *Catalog) GraceLeft() time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.roster.GraceLeft(ct.timers.Now())
}

// ExtendGrace extends the grace period to at least the remaining one of another instance.
func (ct *Catalog) ExtendGrace(left time.Duration) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.roster.ExtendGrace(ct.timers.Now().Add(left))
}

// signal wakes Run to recompute the next expiry.
func (ct *Catalog) signal() {
	select {
	case ct.wake <- struct{}{}:
	default:
	}
}

// Run drops registrations whose grace period is over, and evacuations that were held because an older copy of the store lacks their rows, until ctx ends; done is closed
// at the end.
func (ct *Catalog) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		ct.mu.Lock()
		at := ct.roster.NextExpiry()
		if held := ct.evacuations.NextExpiry(); at.IsZero() || !held.IsZero() && held.Before(at) {
			at = held
		}
		ct.mu.Unlock()
		wait := ct.timers.After(max(at.Sub(ct.timers.Now()), 0))
		if at.IsZero() {
			wait = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-ct.wake:
		case <-wait:
			ct.expire()
		}
	}
}

func (ct *Catalog) expire() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	now := ct.timers.Now()
	if changed := ct.roster.Expire(now); len(changed) > 0 {
		ct.publish()
	}
	expired := ct.evacuations.Expire(now)
	for domain, version := range expired {
		ct.events.Record(&wire.Event{Kind: wire.EventKind_EventDomainRestored, Revision: version, Detail: fmt.Sprintf("domain=%s source=expired", domain)})
	}
	if len(expired) > 0 {
		ct.publishEvacuations()
	}
}
