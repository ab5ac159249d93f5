package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/logbook"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/storereader"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/watch"
)

// Parts are what an entry instance works with; the adapters of a platform implement them.
type Parts struct {
	Settings Settings
	Logger   *log.Logger
	Timers   *timer.Service
	Random   *entropy.Source
	Source   watch.Source
	Decoder  catalog.Decoder
	Tables   catalog.TableNames
	Sender   gateway.Sender
	Caller   gather.Caller
	// PeerDialer and BatchDialer make links to other instances.
	PeerDialer  peer.Dialer
	BatchDialer gather.Dialer
}

// Instance is an entry instance without its sockets.
type Instance struct {
	settings Settings
	timers   *timer.Service
	events   *timeline.Ring
	logbook  *logbook.Logbook
	metrics  *metric.Set
	gate     *drain.Gate
	catalog  *catalog.Catalog
	watches  []*watch.Watcher
	peer     *peer.Peer
	pools    *gateway.Pools
	gateway  *gateway.Gateway
	gatherer *gather.Gatherer
	items    *gather.Client
	batches  *gather.Server

	// serving ends when requests under way are to be ended, stoppedAt is when the instance was told to stop.
	serving     context.Context
	endRequests context.CancelFunc
	stoppedAt   time.Time

	lifetime context.Context
	end      context.CancelFunc
	logLife  context.Context
	endLog   context.CancelFunc
	mu       sync.Mutex
	ends     []<-chan struct{}
	logEnd   chan struct{}
}

const (
	// timelineEvents is how many events are kept in memory.
	timelineEvents = 4096
	heartbeat      = 700 * time.Millisecond
	// suspectAfter is the silence after which another instance is suspected, deadAfter how long that stands unrefuted.
	suspectAfter = 2 * time.Second
	deadAfter    = 1500 * time.Millisecond
	// partners is how many instances get heartbeats from each.
	partners = 4
)

// New builds an entry instance that is not running yet.
func New(parts Parts) *Instance {
	en := &Instance{
		settings: parts.Settings, timers: parts.Timers, metrics: metric.New(), gate: drain.New(),
		logbook: logbook.New(parts.Logger, parts.Timers), logEnd: make(chan struct{}),
	}
	en.serving, en.endRequests = context.WithCancel(context.Background())
	en.lifetime, en.end = context.WithCancel(context.Background())
	en.logLife, en.endLog = context.WithCancel(context.Background())
	clock := hlc.New(parts.Timers)
	en.events = timeline.New(en.settings.Instance, clock, timelineEvents, en.heard)
	en.catalog = catalog.New(parts.Decoder, parts.Tables, parts.Timers, en.events)
	for _, table := range []string{parts.Tables.Configuration, parts.Tables.Registrations} {
		en.watches = append(en.watches, watch.New(table, meteredSource{parts.Source, en.metrics}, parts.Timers, parts.Random.Fork(table), changes{en}, en.reads))
	}
	en.peer = en.newPeer(parts, clock)
	en.pools = gateway.NewPools(parts.Timers, parts.Settings.RetryBudget, func() int { return len(en.peer.Live()) })
	en.gatherer = gather.New(en.lifetime, gather.Parts{
		View: en.catalog, Caller: parts.Caller, RetryBudget: en.pools, Timers: parts.Timers, Events: en.events,
		Owns: func(at gather.QueueKey) bool { return en.items.Owns(at) },
	})
	en.items = gather.NewClient(gather.ClientParts{
		Self: en.settings.Instance, Gatherer: en.gatherer, View: en.catalog, Members: en.peer, Dialer: parts.BatchDialer,
		Timers: parts.Timers, Events: en.events,
	})
	en.batches = gather.NewServer(en.gatherer, en.items, parts.Timers)
	en.gateway = gateway.New(gateway.Parts{
		FailureDomain: en.settings.FailureDomain, Catalog: en.catalog, Pools: en.pools, Stages: en.items, Sender: parts.Sender,
		Crashes: en.peer, Timers: parts.Timers, Events: en.events, Metrics: en.metrics,
	})
	en.gauges()
	return en
}

func (en *Instance) newPeer(parts Parts, clock *hlc.Clock) *peer.Peer {
	now := parts.Timers.Now()
	config := member.Config{Heartbeat: heartbeat, SuspectAfter: suspectAfter, DeadAfter: deadAfter, Partners: partners}
	self := member.Member{
		ID: en.settings.Instance, Address: en.settings.PeerAddress, FailureDomain: en.settings.FailureDomain,
		MilliCores: en.settings.MilliCores, Incarnation: uint64(now.UnixMilli()),
	}
	return peer.New(peer.Parts{
		Timers: parts.Timers, Clock: clock, Events: en.events, Holder: revision.New(nil), Listener: listener{},
		Members: member.New(self, config, parts.Random.Generator("member"), now), Dialer: parts.PeerDialer,
		Random: parts.Random.Fork("peer"), Replicas: replicas{en},
	}, peer.Config{Member: config, Seeds: en.settings.Seeds, Heartbeat: heartbeat})
}

// heard writes an event to the log and books it in the figures.
func (en *Instance) heard(event *wire.Event) {
	en.metrics.RecordEvent(event)
	en.logbook.Write(event)
}

// reads reports whether this instance reads the platform's store for the others.
func (en *Instance) reads() bool {
	return storereader.IsSelected(en.settings.Instance, en.peer.Live())
}

func (en *Instance) gauges() {
	en.metrics.RegisterGauge("requests_in_flight", func() float64 { return float64(en.gate.InFlight()) })
	for _, each := range en.watches {
		en.metrics.RegisterGauge(fmt.Sprintf("table_age_seconds{table=%q}", each.Table()), func() float64 { return each.Staleness().Seconds() })
	}
	en.metrics.RegisterGauge("members_live", func() float64 { return float64(len(en.peer.Live())) })
	en.metrics.RegisterGauge("configuration_revision", func() float64 {
		if table := en.catalog.RoutingTable(); table != nil {
			return float64(table.Revision)
		}
		return 0
	})
}

// Start starts every part.
func (en *Instance) Start() {
	go en.logbook.Run(en.logLife, en.logEnd)
	en.events.Record(&wire.Event{
		Kind:   wire.EventKind_EventStarted,
		Detail: "domain=" + en.settings.FailureDomain + " peers=" + en.settings.PeerAddress + " metrics=" + en.settings.MetricsAddress,
	})
	en.start(en.peer.Run)
	en.start(en.catalog.Run)
	en.start(en.gatherer.Run)
	en.start(en.items.ExchangeLoads)
	for _, each := range en.watches {
		en.start(each.Run)
	}
	en.gate.Advance(drain.Serving)
}

func (en *Instance) start(run func(context.Context, chan<- struct{})) {
	done := make(chan struct{})
	en.mu.Lock()
	en.ends = append(en.ends, done)
	en.mu.Unlock()
	go run(en.lifetime, done)
}

// StartDraining makes the instance not ready while it still serves.
func (en *Instance) StartDraining() {
	en.stoppedAt = en.timers.Now()
	en.gate.Advance(drain.Draining)
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventStopping})
}

// Stop ends every part, once nothing is in flight.
func (en *Instance) Stop() {
	en.gate.Advance(drain.Closed)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeat)
	en.peer.Leave(ctx)
	cancel()
	graceLeft := en.settings.GracePeriod - en.timers.Now().Sub(en.stoppedAt) - graceReserve
	ctx, cancel = context.WithTimeout(context.Background(), min(graceLeft, handOnTime))
	en.gatherer.Drain(ctx)
	cancel()
	en.endRequests()
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventStopped})
	en.end()
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, done := range en.ends {
		<-done
	}
	en.endLog()
	<-en.logEnd
}

const (
	// handOnTime is how long calls that were begun for other instances may take when this one stops.
	handOnTime = 2 * time.Second
	// graceReserve is how long before the end of the grace time the instance must have ended.
	graceReserve = 100 * time.Millisecond
)

// CancelRequests ends the requests under way, as if their time were over: those that were not sent are refused.
func (en *Instance) CancelRequests() {
	en.endRequests()
}

// Ready reports whether the instance should get new connections.
func (en *Instance) Ready() bool {
	return en.gate.Phase() == drain.Serving && en.catalog.IsLoaded()
}

// Stopping reports whether callers should leave their connections.
func (en *Instance) Stopping() bool {
	return en.gate.Phase() >= drain.Draining
}

// firstBodyLimit bounds bodies before a configuration says how large they may be, in bytes.
const firstBodyLimit = 4 << 20

// MaxBodyBytes is the largest body that is read, in bytes.
func (en *Instance) MaxBodyBytes() int64 {
	if table := en.catalog.RoutingTable(); table != nil && table.Limits.BodyBytes > 0 {
		return table.Limits.BodyBytes
	}
	return firstBodyLimit
}

// Serve takes a caller's request to its end.
func (en *Instance) Serve(request *http.Request, decoded *gateway.Request, sink gateway.Sink) gateway.Outcome {
	if !en.gate.Enter() {
		return gateway.Refused{RetryAfter: closedRetry, Cause: gateway.Closed}
	}
	defer en.gate.Leave()
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := context.AfterFunc(en.serving, func() { cancel(gateway.ErrTimeout) })
	defer stop()
	return en.gateway.Serve(ctx, decoded, sink)
}

// closedRetry is when to come back to another instance.
const closedRetry = 50 * time.Millisecond

// Peer returns the part that other instances call for membership and rows.
func (en *Instance) Peer() *peer.Peer {
	return en.peer
}

// Batches returns the part that other instances call to have items gathered.
func (en *Instance) Batches() *gather.Server {
	return en.batches
}

// Metrics returns the figures of the instance.
func (en *Instance) Metrics() *metric.Set {
	return en.metrics
}

// Catalog returns the configuration and the upstreams in force.
func (en *Instance) Catalog() *catalog.Catalog {
	return en.catalog
}

// RecordReload records that the settings were read again.
func (en *Instance) RecordReload(detail string) {
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventReloaded, Detail: detail})
}
