package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
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
	"github.com/turmericdoor/turmericdoor/memoryguard"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/relay"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/storeclock"
	"github.com/turmericdoor/turmericdoor/storereader"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
	"github.com/turmericdoor/turmericdoor/throttle"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/watch"
)

// Parts holds the dependencies of an entry instance; a platform adapter implements those that reach the platform.
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
	// Dial connects to an upstream, and UseDial sets how Sender and Caller connect; both may be nil.
	Dial    DialUpstream
	UseDial func(dial DialUpstream)
	// PeerDialer and BatchDialer connect to other instances.
	PeerDialer  peer.Dialer
	BatchDialer gather.Dialer
	// RelayDialer connects to the relay service of other instances; it may be nil if Dial is.
	RelayDialer func(address string) (relay.Link, error)
}

// DialUpstream connects to the address of an upstream.
type DialUpstream func(ctx context.Context, address string) (net.Conn, error)

// Instance is an entry instance without its listeners.
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
	throttle *throttle.Throttle
	streams  *streamdirectory.Directory
	pools    *gateway.Pools
	gateway  *gateway.Gateway
	gatherer *gather.Gatherer
	items    *gather.Client
	batches  *gather.Server
	relay    *relay.Relay
	guard    *memoryguard.Guard
	rotation *storereader.Rotation
	// storeClock relates what answers of the store say to the time here.
	storeClock *storeclock.Clock

	// requestsCtx is cancelled when the requests in flight must end; drainStarted is when StartDraining was called.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
	drainStarted   time.Time
	// closing is set once the instance stops.
	closing atomic.Pointer[closing]

	lifetime       context.Context
	cancelLifetime context.CancelFunc
	logLifetime    context.Context
	cancelLog      context.CancelFunc
	mu             sync.Mutex
	loopsDone      []<-chan struct{}
	logDone        chan struct{}
}

const (
	// timelineEvents is the number of events kept in memory.
	timelineEvents = 4096
	heartbeat      = 700 * time.Millisecond
	// suspectAfter is the time without a heartbeat after which another instance is suspected; deadAfter is the time
	// without a refutation after which a suspected instance is declared dead.
	suspectAfter = 2 * time.Second
	deadAfter    = 1500 * time.Millisecond
	// partners is the number of instances to which each instance sends heartbeats.
	partners = 4
)

// New returns an entry instance that is not running yet; Start runs it.
func New(parts Parts) *Instance {
	en := &Instance{
		settings: parts.Settings, timers: parts.Timers, metrics: metric.New(), gate: drain.New(),
		logbook: logbook.New(parts.Logger, parts.Timers), logDone: make(chan struct{}),
	}
	en.requestsCtx, en.cancelRequests = context.WithCancel(context.Background())
	en.lifetime, en.cancelLifetime = context.WithCancel(context.Background())
	en.logLifetime, en.cancelLog = context.WithCancel(context.Background())
	clock := hlc.New(parts.Timers)
	en.events = timeline.New(en.settings.Instance, clock, timelineEvents, en.recordEvent)
	en.catalog = catalog.New(parts.Decoder, parts.Tables, parts.Timers, en.events)
	en.storeClock = storeclock.New()
	en.rotation = storereader.New(en.settings.Instance, en.settings.ChangeBound, parts.Tables.Configuration, parts.Tables.Registrations)
	for _, table := range []string{parts.Tables.Configuration, parts.Tables.Registrations} {
		en.watches = append(en.watches, watch.New(table, watch.Parts{
			Source: meteredSource{parts.Source, en.metrics}, Timers: parts.Timers, Random: parts.Random.Fork(table), Clock: en.storeClock,
			Schedule: readSchedule{en}, Listener: changeListener{en},
		}))
	}
	en.peer = en.newPeer(parts, clock)
	limits := throttle.Parts{
		Self: en.settings.Instance, Fleet: en.peer, Find: en.catalog.Find, LeavingChanged: en.upstreamsLeaving, Timers: parts.Timers, Events: en.events,
	}
	if en.settings.LimitsCold {
		limits.ColdRate, limits.Registered = en.coldRate, en.registered
	}
	en.throttle = throttle.New(limits)
	en.streams = streamdirectory.New(streamdirectory.Parts{
		Self: en.settings.Instance, IsFirst: en.settings.IsFirstStart, Fleet: en.peer, Present: en.presentOrigins, Confirm: en.confirm, Staleness: en.staleness, Timers: parts.Timers, Events: en.events,
	})
	en.pools = gateway.NewPools(parts.Timers, parts.Settings.RetryBudget, func() int { return len(en.peer.Live()) })
	en.gatherer = gather.New(en.lifetime, gather.Parts{
		View: en.catalog, Caller: parts.Caller, RetryBudget: en.pools, Limits: en.throttle, Timers: parts.Timers, Events: en.events,
		Owns: func(at gather.QueueKey) bool { return en.items.Owns(at) },
	})
	en.items = gather.NewClient(gather.ClientParts{
		Self: en.settings.Instance, Gatherer: en.gatherer, View: en.catalog, Members: en.peer, Dialer: parts.BatchDialer,
		Timers: parts.Timers, Events: en.events,
	})
	en.batches = gather.NewServer(en.gatherer, en.items, parts.Timers)
	en.gateway = gateway.New(gateway.Parts{
		FailureDomain: en.settings.FailureDomain, Catalog: en.catalog, Pools: en.pools, Stages: en.items, Sender: parts.Sender,
		Crashes: en.peer, Limits: en.throttle, Streams: en.streams, Timers: parts.Timers, Events: en.events, Metrics: en.metrics,
	})
	en.relay = relay.New(relay.Parts{
		Self: en.settings.Instance, Dial: parts.Dial, Live: en.peer.Live, Open: parts.RelayDialer,
		IsUpstream:  func(address string) bool { return en.catalog.Snapshot().HasAddress(address) },
		IsEvacuated: func(address string) bool { return en.catalog.Snapshot().IsAddressEvacuated(address) },
		Timers:      parts.Timers, Random: parts.Random.Fork("relay"), Events: en.events,
	})
	if parts.UseDial != nil {
		parts.UseDial(en.relay.DialUpstream)
	}
	en.guard = en.newCallerGuard()
	en.registerGauges()
	en.registerMemoryGauges()
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
		Timers: parts.Timers, Clock: clock, Events: en.events, Holder: revision.New(nil), Listener: peerListener{en},
		Members: member.New(self, config, parts.Random.Generator("member"), now), Dialer: parts.PeerDialer,
		Random: parts.Random.Fork("peer"), Replicas: peerReplicas{en}, Limits: peerLimits{en}, Origins: peerOrigins{en},
	}, peer.Config{Seeds: en.settings.Seeds, Heartbeat: heartbeat})
}

// recordEvent counts an event in the metrics and writes it to the log.
func (en *Instance) recordEvent(event *wire.Event) {
	en.metrics.RecordEvent(event)
	en.logbook.Write(event)
}

// readSchedule gives the watchers their turns among the live instances.
type readSchedule struct {
	entry *Instance
}

// Next returns the next turn of this instance.
func (sc readSchedule) Next(table string, staleness time.Duration) storereader.Turn {
	return sc.entry.rotation.Next(sc.entry.timers.Now(), table, staleness, sc.entry.peer.Live())
}

// Begin records the beginning of a turn.
func (sc readSchedule) Begin(table string) {
	sc.entry.rotation.Begin(table)
}

// Fail records that a turn has brought nothing, and has the next one begin.
func (sc readSchedule) Fail(table string) {
	if sc.entry.rotation.Fail(sc.entry.timers.Now(), table) {
		sc.entry.beginTurn()
	}
}

// confirmed records that this instance has found a table up to date at a time, lets the other instances know and has the next turn begin.
func (en *Instance) confirmed(table string, at time.Time) {
	isNews, isNextTurn := en.rotation.Confirm(table, at)
	if isNextTurn {
		en.beginTurn()
	} else if isNews {
		en.peer.TriggerHeartbeat()
	}
}

// beginTurn sends word of a turn that has ended, and has this instance read the store if it is its turn now.
func (en *Instance) beginTurn() {
	en.peer.TriggerHeartbeat()
	for _, each := range en.watches {
		each.Wake()
	}
}

func (en *Instance) registerGauges() {
	en.metrics.RegisterGauge("requests_in_flight", func() float64 { return float64(en.gate.InFlight()) })
	for _, each := range en.watches {
		en.metrics.RegisterGauge(fmt.Sprintf("table_age_seconds{table=%q}", each.Table()), func() float64 { return each.Staleness().Seconds() })
	}
	en.metrics.RegisterGauge("members_live", func() float64 { return float64(len(en.peer.Live())) })
	en.metrics.RegisterGauge("parts_blocked", func() float64 { return float64(en.peer.BlockedParts()) })
	en.metrics.RegisterGauge("upstreams_limited", func() float64 { return float64(len(en.throttle.Limits())) })
	en.metrics.RegisterGauge("upstreams_leaving", func() float64 { return float64(len(en.throttle.Leaving())) })
	en.metrics.RegisterGauge("upstreams_paused", func() float64 { return float64(len(en.throttle.Pauses())) })
	en.metrics.RegisterGauge("upstreams_cold", func() float64 { return float64(len(en.throttle.Cold())) })
	en.metrics.RegisterGauge(`cold_permits{outcome="granted"}`, func() float64 {
		granted, _ := en.throttle.ColdPermits()
		return float64(granted)
	})
	en.metrics.RegisterGauge(`cold_permits{outcome="denied"}`, func() float64 {
		_, denied := en.throttle.ColdPermits()
		return float64(denied)
	})
	en.metrics.RegisterGauge("domains_evacuated", func() float64 { return float64(len(en.catalog.Snapshot().EvacuatedDomains())) })
	en.metrics.RegisterGauge("upstreams_cut_off", func() float64 {
		if en.relay.IsCutOff() {
			return 1
		}
		return 0
	})
	en.metrics.RegisterGauge("sessions_replicated", func() float64 { return float64(en.pools.ReplicatedSessions()) })
	en.metrics.RegisterGauge("connections_relayed", func() float64 { return float64(en.relay.Relayed()) })
	en.metrics.RegisterGauge("streams_kept", func() float64 { return float64(en.streams.Len()) })
	en.metrics.RegisterGauge("configuration_revision", func() float64 {
		if table := en.catalog.RoutingTable(); table != nil {
			return float64(table.Revision)
		}
		return 0
	})
}

// Start starts the background loops and accepts requests from then on.
func (en *Instance) Start() {
	go en.logbook.Run(en.logLifetime, en.logDone)
	en.events.Record(&wire.Event{
		Kind:   wire.EventKind_EventStarted,
		Detail: "domain=" + en.settings.FailureDomain + " peers=" + en.settings.PeerAddress + " metrics=" + en.settings.MetricsAddress,
	})
	en.startLoop(en.peer.Run)
	en.startLoop(en.catalog.Run)
	en.startLoop(en.gatherer.Run)
	en.startLoop(en.items.ExchangeLoads)
	en.startLoop(en.throttle.Run)
	en.startLoop(en.streams.Run)
	en.startLoop(en.relay.Run)
	en.startLoop(en.guard.Run)
	for _, each := range en.watches {
		en.startLoop(each.Run)
	}
	en.gate.Advance(drain.Serving)
}

func (en *Instance) startLoop(run func(context.Context, chan<- struct{})) {
	done := make(chan struct{})
	en.mu.Lock()
	en.loopsDone = append(en.loopsDone, done)
	en.mu.Unlock()
	go run(en.lifetime, done)
}

// StartDraining makes the instance not ready; it still serves requests.
func (en *Instance) StartDraining() {
	en.drainStarted = en.timers.Now()
	en.gate.Advance(drain.Draining)
	en.relay.Refuse()
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventStopping})
}

// Stop announces to the other instances that this one leaves, drains the gatherer, cancels the remaining requests and ends
// all background loops. It expects that StartDraining was called and that callers' requests have ended.
func (en *Instance) Stop() {
	en.gate.Advance(drain.Closed)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeat)
	en.peer.Leave(ctx)
	cancel()
	graceLeft := en.settings.GracePeriod - en.timers.Now().Sub(en.drainStarted) - graceReserve
	ctx, cancel = context.WithTimeout(context.Background(), min(graceLeft, gatherDrainTimeout))
	en.gatherer.Drain(ctx)
	cancel()
	en.cancelRequests()
	ctx, cancel = context.WithTimeout(context.Background(), en.settings.GracePeriod-en.timers.Now().Sub(en.drainStarted)-graceReserve)
	en.relay.Drain(ctx)
	cancel()
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventStopped})
	en.cancelLifetime()
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, done := range en.loopsDone {
		<-done
	}
	en.cancelLog()
	<-en.logDone
}

const (
	// gatherDrainTimeout bounds the time to finish batches that hold items of other instances when this one stops.
	gatherDrainTimeout = 2 * time.Second
	// graceReserve is the part of the grace period that remains when the instance has stopped.
	graceReserve = 100 * time.Millisecond
)

// CancelRequests ends the requests in flight as if their deadlines had passed; requests not yet sent are refused.
func (en *Instance) CancelRequests() {
	en.cancelRequests()
}

// closing is the last part of a stop: from a time on, requests that may not have ended at its end are refused.
type closing struct {
	from, end time.Time
}

// EndRequestsBy refuses requests that come later than a time and may not have ended at another one, at which CancelRequests will be called.
func (en *Instance) EndRequestsBy(from, end time.Time) {
	en.closing.Store(&closing{from: from, end: end})
}

// Ready reports whether the instance should receive new connections.
func (en *Instance) Ready() bool {
	return en.gate.Phase() == drain.Serving && en.catalog.IsLoaded()
}

// Stopping reports whether callers should close their connections.
func (en *Instance) Stopping() bool {
	return en.gate.Phase() >= drain.Draining
}

// Now returns the time by which requests' deadlines are measured.
func (en *Instance) Now() time.Time {
	return en.timers.Now()
}

// Serve processes a caller's request, writes an upstream's answer to sink and returns the outcome.
func (en *Instance) Serve(request *http.Request, decoded *gateway.Request, sink gateway.Sink) gateway.Outcome {
	if !en.gate.Enter() {
		return gateway.Refused{RetryAfter: closedRetryAfter, Cause: gateway.Closed}
	}
	defer en.gate.Leave()
	if last := en.closing.Load(); last != nil && !en.timers.Now().Before(last.from) {
		decoded.EndBy = last.end
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := context.AfterFunc(en.requestsCtx, func() { cancel(gateway.ErrTimeout) })
	defer stop()
	return en.gateway.Serve(ctx, decoded, sink)
}

// closedRetryAfter is the delay after which a caller is asked to retry when its request arrives after the drain; another
// instance serves the retry.
const closedRetryAfter = 50 * time.Millisecond

// Peer returns the gRPC service for membership and table rows.
func (en *Instance) Peer() *peer.Peer {
	return en.peer
}

// Batches returns the gRPC service through which other instances submit items to be batched.
func (en *Instance) Batches() *gather.Server {
	return en.batches
}

// Relay returns the gRPC service through which other instances connect to upstreams.
func (en *Instance) Relay() *relay.Relay {
	return en.relay
}

// Metrics returns the metrics of the instance.
func (en *Instance) Metrics() *metric.Set {
	return en.metrics
}

// Catalog returns the current configuration and upstreams.
func (en *Instance) Catalog() *catalog.Catalog {
	return en.catalog
}

// RecordSignal records in the time line that a signal of the platform has reached the process.
func (en *Instance) RecordSignal(received os.Signal) {
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventSignalReceived, Detail: received.String()})
}

// RecordReload records in the time line that the settings were reloaded; detail is the trigger or the error.
func (en *Instance) RecordReload(detail string) {
	en.events.Record(&wire.Event{Kind: wire.EventKind_EventReloaded, Detail: detail})
}
