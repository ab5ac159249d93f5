package streamdirectory

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/confirmation"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/originhistory"
	"github.com/turmericdoor/turmericdoor/ownership"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/tombstone"
)

// Fleet is the connection to the other instances.
type Fleet interface {
	// Live returns the live instances, this one included.
	Live() []member.Member
	// RecordOriginsAt has another instance keep the origins of streams.
	RecordOriginsAt(ctx context.Context, keeper member.Member, request *wire.RecordOriginsRequest) error
	// FindOriginAt asks another instance for the origin of a stream.
	FindOriginAt(ctx context.Context, keeper member.Member, request *wire.FindOriginRequest) (*wire.FindOriginReply, error)
	// TriggerHeartbeat sends the news to the other instances without delay.
	TriggerHeartbeat()
}

// Parts holds the dependencies of a Directory.
type Parts struct {
	Self string
	// IsFirst says that there were no streams before this process, as when the whole fleet starts for the first time.
	IsFirst bool
	Fleet   Fleet
	// Present returns where the streams of each pipeline may begin now, and the longest time that a stream may last.
	Present func() (map[string][]origin.Origin, time.Duration)
	// Confirm brings the configuration and the registrations up to date with the store.
	Confirm func(ctx context.Context) error
	// Staleness returns how old the configuration and the registrations are that Present is taken from.
	Staleness func() time.Duration
	Timers    *timer.Service
	Events    *timeline.Ring
}

// Directory holds the origins of recent streams and the upstreams that have ended. It is safe for concurrent use.
type Directory struct {
	Parts

	// ended holds the incarnations that have ended.
	ended      atomic.Pointer[map[roster.Incarnation]bool]
	background inflight.Group
	// lifetime ends when Run ends.
	lifetime       context.Context
	cancelLifetime context.CancelFunc
	refresh        chan struct{}
	confirmations  confirmation.Group
	endedMu        sync.Mutex
	stones         *tombstone.Set
	// missedAt is when changes of the registrations were missed the last time, or nil.
	missedAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	table   *origin.Table
	history *originhistory.History
	// retention is how long the origin of a stream is kept at least: callers take up no streams that are older.
	retention time.Duration
	// replicated holds the pipelines whose streams are replicated.
	replicated map[string]bool
	// corrected holds, by stream, a channel that is closed when the instances that keep its record know of another origin.
	corrected map[origin.Stream]chan struct{}
	// corrections is the number of corrections that are being repeated.
	corrections int
	// outgoing holds the records to be sent to other instances, by their ids, and keepers those instances.
	outgoing map[string][]origin.Record
	keepers  map[string]member.Member
}

const (
	// minRetention is the least retention, and retentionMargin how much longer than the longest stream it is.
	minRetention    = 20 * time.Second
	retentionMargin = 5 * time.Second
	// keeperCount is how many other instances keep a record, askedCount how many are asked for it: after instances came and
	// went, those that keep it are no longer the first.
	keeperCount = 2
	askedCount  = 5
	// flushDelay is how long records are collected for one call; the first event of a stream comes later.
	flushDelay = 20 * time.Millisecond
	// callTimeout bounds a call to another instance.
	callTimeout = 150 * time.Millisecond
	// maxStaleness is how old the registrations may be for this instance to know all versions.
	maxStaleness = 2 * time.Second
	// replicationStaleness is how old they may be while streams are not replicated: a store that has no changes is waited for, and
	// the others learn of its answer by heartbeats. A version that joins meanwhile has the earlier streams replicated.
	replicationStaleness = 8 * time.Second
	// maxOutgoing bounds the records that wait to be sent to one instance, and maxRepeated those of a pipeline that are sent
	// when its streams begin to be replicated.
	maxOutgoing = 4096
	maxRepeated = 4096
	// refreshInterval is how often it is checked, also without a change, which records have to be replicated.
	refreshInterval = 2 * time.Second
)

// New returns a directory that knows no streams.
func New(parts Parts) *Directory {
	dr := &Directory{
		Parts: parts, table: origin.New(parts.Timers.Now()), history: originhistory.New(parts.IsFirst), retention: minRetention, stones: tombstone.New(),
		refresh: make(chan struct{}, 1), replicated: map[string]bool{}, corrected: map[origin.Stream]chan struct{}{}, outgoing: map[string][]origin.Record{}, keepers: map[string]member.Member{},
	}
	dr.confirmations.Read, dr.confirmations.Go = dr.confirm, dr.background.Go
	dr.lifetime, dr.cancelLifetime = context.WithCancel(context.Background())
	dr.ended.Store(&map[roster.Incarnation]bool{})
	return dr
}

// Run follows the origins that streams can have until ctx ends, and waits for all background calls; done is closed at the end.
func (dr *Directory) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer dr.background.Wait()
	defer dr.cancelLifetime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-dr.refresh:
		case <-dr.Timers.After(refreshInterval):
		}
		dr.update()
		dr.expireEnded()
	}
}

// Refresh has Run read the origins that streams can have; it returns at once.
func (dr *Directory) Refresh() {
	select {
	case dr.refresh <- struct{}{}:
	default:
	}
}

// Missed records that versions may have come and gone which this instance has not seen. It takes no lock: it is called while the
// registrations are locked, whose staleness is read with the directory locked.
func (dr *Directory) Missed() {
	now := dr.Timers.Now()
	dr.missedAt.Store(&now)
}

func (dr *Directory) update() {
	present, longest := dr.Present()
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if len(present) > 0 {
		dr.retention = max(minRetention, longest+retentionMargin)
		dr.history.Update(dr.Timers.Now(), dr.retention, present)
	}
	for pipeline := range present {
		dr.needsReplication(pipeline)
	}
}

// Begin records that a request of a pipeline is sent to an upstream, where its stream begins if no later send does it, and
// returns the origin.
func (dr *Directory) Begin(attemptID, pipeline string, send int, upstream *roster.Upstream) origin.Origin {
	began := origin.Origin{Pool: upstream.Pool, Version: upstream.SoftwareVersion, IsUnknown: dr.IsEnded(upstream.Incarnation())}
	dr.record(origin.Record{Stream: origin.StreamOf(attemptID), Pipeline: pipeline, Origin: began, Send: send, Beginner: dr.Self})
	return began
}

// Continue records the origin of a stream that a caller has taken up at this instance.
func (dr *Directory) Continue(attemptID, pipeline string, known origin.Origin) {
	dr.record(origin.Record{Stream: origin.StreamOf(attemptID), Pipeline: pipeline, Origin: known, Beginner: dr.Self, IsFinal: true})
}

func (dr *Directory) record(record origin.Record) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	earlier, found := dr.table.Find(record.Stream)
	dr.table.Put(dr.Timers.Now(), dr.retention, record)
	switch {
	case !dr.needsReplication(record.Pipeline) && !record.Origin.IsUnknown:
	case found && earlier.Send < record.Send && earlier.Origin != record.Origin:
		dr.correct(record)
	default:
		dr.replicate(record)
	}
}

// needsReplication reports whether the origins of a pipeline's streams are known only from their records. When that begins,
// the records of its earlier streams are replicated, too. The caller holds the lock.
func (dr *Directory) needsReplication(pipeline string) bool {
	now := dr.Timers.Now()
	needed := !dr.hasHistory(now) || dr.Staleness() >= replicationStaleness || len(dr.history.Recent(now, pipeline)) != 1
	before := dr.replicated[pipeline]
	dr.replicated[pipeline] = needed
	if needed && !before {
		for _, record := range dr.table.OfPipeline(pipeline, maxRepeated) {
			dr.replicate(record)
		}
	}
	return needed
}

// isComplete reports whether this instance knows all origins that streams can have. The caller holds the lock.
func (dr *Directory) isComplete(now time.Time) bool {
	return dr.hasHistory(now) && dr.Staleness() < maxStaleness
}

// hasHistory reports whether this instance knew all origins that streams can have when its registrations were last up to date. The
// caller holds the lock.
func (dr *Directory) hasHistory(now time.Time) bool {
	missedAt := dr.missedAt.Load()
	missed := missedAt != nil && now.Sub(*missedAt) < dr.retention
	return !missed && dr.history.IsComplete(now)
}

// replicate has the instances that keep a stream's record receive it. The caller holds the lock.
func (dr *Directory) replicate(record origin.Record) {
	for _, keeper := range dr.others(record.Stream, keeperCount) {
		if len(dr.outgoing[keeper.ID]) >= maxOutgoing {
			continue
		}
		if len(dr.outgoing) == 0 {
			dr.background.Go(dr.flush)
		}
		dr.outgoing[keeper.ID] = append(dr.outgoing[keeper.ID], record)
		dr.keepers[keeper.ID] = keeper
	}
}

// others returns the first count of the other instances that keep or may keep a stream's record.
func (dr *Directory) others(stream origin.Stream, count int) []member.Member {
	list := []member.Member{}
	for _, other := range ownership.Spread(dr.Fleet.Live(), keyOf(stream), count+1) {
		if other.ID != dr.Self && len(list) < count {
			list = append(list, other)
		}
	}
	return list
}

func keyOf(stream origin.Stream) string {
	return strconv.FormatUint(uint64(stream), 16)
}

// flush sends the collected records.
func (dr *Directory) flush() {
	_ = dr.Timers.Sleep(context.Background(), flushDelay)
	dr.mu.Lock()
	outgoing, keepers := dr.outgoing, dr.keepers
	dr.outgoing, dr.keepers = map[string][]origin.Record{}, map[string]member.Member{}
	dr.mu.Unlock()
	for id, records := range outgoing {
		if len(records) == 0 {
			continue
		}
		dr.background.Go(func() { _ = dr.send(keepers[id], records) })
	}
}

// send sends records to an instance that keeps them. One that does not answer has no record; the others do.
func (dr *Directory) send(keeper member.Member, records []origin.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request := &wire.RecordOriginsRequest{}
	for _, record := range records {
		request.Origins = append(request.Origins, toWire(record))
	}
	return dr.Fleet.RecordOriginsAt(ctx, keeper, request)
}

// IsRecent reports whether streams of a pipeline can have an origin, as far as this instance knows.
func (dr *Directory) IsRecent(pipeline string, one origin.Origin) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return slices.Contains(dr.history.Recent(dr.Timers.Now(), pipeline), one)
}

// Len returns the number of streams whose origin this instance keeps.
func (dr *Directory) Len() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.table.Len()
}

// Keep keeps the records of another instance.
func (dr *Directory) Keep(request *wire.RecordOriginsRequest) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, record := range request.GetOrigins() {
		dr.table.Put(dr.Timers.Now(), dr.retention, fromWire(record))
	}
}

func toWire(record origin.Record) *wire.StreamOrigin {
	return &wire.StreamOrigin{
		Stream: uint64(record.Stream), Pool: record.Origin.Pool, Version: record.Origin.Version, Unknown: record.Origin.IsUnknown, Send: int32(record.Send),
		Beginner: record.Beginner, Final: record.IsFinal,
	}
}

func fromWire(record *wire.StreamOrigin) origin.Record {
	return origin.Record{
		Stream: origin.Stream(record.GetStream()), Send: int(record.GetSend()),
		Origin:   origin.Origin{Pool: record.GetPool(), Version: record.GetVersion(), IsUnknown: record.GetUnknown()},
		Beginner: record.GetBeginner(), IsFinal: record.GetFinal(),
	}
}
