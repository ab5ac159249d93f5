package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/claimant"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/editor"
	"github.com/turmericdoor/turmericdoor/guard"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/platform"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/runner"
	"github.com/turmericdoor/turmericdoor/schema/settings"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// Instance is one entry instance.
type Instance struct {
	settings  *settings.Settings
	logger    *log.Logger
	timers    *timer.Service
	events    *timeline.Ring
	metrics   *metric.Set
	store     table.Store
	platform  *platform.Client
	listing   *platform.Client
	gate      *drain.Gate
	holder    *revision.Holder
	editor    *editor.Editor
	claimant  *claimant.Claimant
	peer      *peer.Peer
	runner    *runner.Runner
	pools     atomic.Pointer[map[string]*pool.Pool]
	poolsMu   sync.Mutex
	live      atomic.Int64
	up        atomic.Bool
	stop      chan struct{}
	stopOnce  sync.Once
	lifetime  context.Context
	end       context.CancelFunc
	partsMu   sync.Mutex
	parts     []<-chan struct{}
	caller    *http.Server
	operator  *http.Server
	peerCalls *grpc.Server
}

// New builds an instance that is not running yet.
func New(loaded *settings.Settings, logger *log.Logger) *Instance {
	lifetime, end := context.WithCancel(context.Background())
	in := &Instance{
		settings: loaded, logger: logger, timers: timer.New(), metrics: metric.New(), gate: drain.New(),
		stop: make(chan struct{}), lifetime: lifetime, end: end,
	}
	id := loaded.GetInstance().GetId()
	callTimeout := milliseconds(loaded.GetPlatform().GetCallTimeoutMs())
	clock := hlc.New(in.timers)
	in.events = timeline.New(id, clock, loaded.GetLimits().GetTimelineEvents(), in.logEvent)
	in.platform = platform.New(loaded.GetPlatform().GetTableAddress())
	in.store = meteredStore{next: in.platform, metrics: in.metrics}
	if address := loaded.GetPlatform().GetListingAddress(); address != "" {
		in.listing = platform.New(address)
	}
	in.holder = revision.New(in.documentInstalled)
	in.editor = editor.New(in.store, in.timers)
	in.claimant = claimant.New(lifetime, in.store, in.timers, id, callTimeout)
	in.pools.Store(&map[string]*pool.Pool{})
	in.live.Store(1)
	in.peer = in.newPeer(clock)
	in.runner = &runner.Runner{
		Timers: in.timers, FailureDomain: loaded.GetInstance().GetFailureDomain(), Caller: upstream.New(), Pools: in,
		Events: in.events, Guard: &guard.Guard{
			Reports: in.peer, Store: in.store, Timers: in.timers, Events: in.events, Instance: id, CallTimeout: callTimeout,
		},
	}
	in.gauges()
	return in
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func (in *Instance) newPeer(clock *hlc.Clock) *peer.Peer {
	own, peers := in.settings.GetInstance(), in.settings.GetPeers()
	heartbeat := milliseconds(peers.GetHeartbeatMs())
	config := member.Config{
		Heartbeat: heartbeat, SuspectAfter: milliseconds(peers.GetSuspectAfterMs()),
		DeadAfter: milliseconds(peers.GetDeadAfterMs()), Partners: int(peers.GetPartners()),
	}
	now := in.timers.Now()
	self := member.Member{
		ID: own.GetId(), Address: own.GetPeerAddress(), FailureDomain: own.GetFailureDomain(),
		Incarnation: uint64(now.UnixMilli()),
	}
	members := member.New(self, config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
	parts := peer.Parts{
		Timers: in.timers, Clock: clock, Events: in.events, Holder: in.holder, Listener: in, Members: members,
		Dialer: in.dialPeer,
	}
	return peer.New(parts, peer.Config{Member: config, Seeds: peers.GetSeeds(), Heartbeat: heartbeat})
}

// logEvent writes an event of the time line to the log: those of single requests at debug level only.
func (in *Instance) logEvent(event *wire.Event) {
	level := log.InfoLevel
	if event.GetRequestId() != "" {
		level = log.DebugLevel
	}
	if in.logger.GetLevel() > level {
		return
	}
	facts := []any{}
	for _, pair := range timeline.Pairs(event) {
		facts = append(facts, pair.Name, pair.Value)
	}
	in.logger.Log(level, timeline.KindName(event.GetKind()), facts...)
}

func (in *Instance) gauges() {
	in.metrics.Gauge("document_revision", func() float64 { return float64(in.holder.Revision()) })
	in.metrics.Gauge("requests_in_flight", func() float64 { return float64(in.gate.InFlight()) })
	in.metrics.Gauge("members_live", func() float64 { return float64(in.live.Load()) })
	in.metrics.Gauge("claims_owed", func() float64 { return float64(in.claimant.Owed()) })
}

// Run serves until ctx ends or an operator asks for a stop, then stops gracefully.
func (in *Instance) Run(ctx context.Context) error {
	defer in.end()
	if err := in.listen(); err != nil {
		return err
	}
	in.events.Record(&wire.Event{Kind: wire.EventKind_EventStarted, Detail: in.settings.GetInstance().GetFailureDomain()})
	in.start(in.claimant.Run)
	in.start(in.peer.Run)
	in.start(in.poll)
	select {
	case <-ctx.Done():
	case <-in.stop:
	}
	in.shutdown(in.lifetime)
	in.end()
	in.await()
	in.events.Record(&wire.Event{Kind: wire.EventKind_EventStopped})
	return nil
}

// start runs a part of the instance and remembers the channel on which it reports its end.
func (in *Instance) start(run func(context.Context, chan<- struct{})) {
	done := make(chan struct{})
	in.partsMu.Lock()
	in.parts = append(in.parts, done)
	in.partsMu.Unlock()
	go run(in.lifetime, done)
}

// await returns once every part has reported its end.
func (in *Instance) await() {
	in.partsMu.Lock()
	defer in.partsMu.Unlock()
	for _, done := range in.parts {
		<-done
	}
}

// listen opens all addresses before anything is served, so that a start fails whole.
func (in *Instance) listen() error {
	own, limits := in.settings.GetInstance(), in.settings.GetLimits()
	callers, err := net.Listen("tcp", own.GetCallerAddress())
	if err != nil {
		return fmt.Errorf("CallerAddress: %w", err)
	}
	operators, err := net.Listen("tcp", own.GetOperatorAddress())
	if err != nil {
		return fmt.Errorf("OperatorAddress: %w", err)
	}
	peers, err := net.Listen("tcp", own.GetPeerAddress())
	if err != nil {
		return fmt.Errorf("PeerAddress: %w", err)
	}
	handler := &caller.Handler{
		Timers: in.timers, Holder: in.holder, Runner: in.runner, Claimant: in.claimant, Gate: in.gate,
		Events: in.events, Metrics: in.metrics, MaxBody: limits.GetMaxBodyBytes(),
	}
	in.caller = in.server(handler.Routes())
	keyDigest, _ := digest.Parse(in.settings.GetOperators().GetKeyDigest())
	in.operator = in.server((&operator.Handler{
		KeyDigest: keyDigest, Holder: in.holder, Editor: in.editor, Peer: in.peer, Metrics: in.metrics,
		Instance: in, MaxBody: limits.GetMaxBodyBytes(),
	}).Routes())
	in.peerCalls, err = in.peerServer()
	if err != nil {
		return err
	}
	wire.RegisterPeerServer(in.peerCalls, in.peer)
	return in.serve(callers, operators, peers)
}

func (in *Instance) server(handler http.Handler) *http.Server {
	limits := in.settings.GetLimits()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols,
		ReadHeaderTimeout: milliseconds(limits.GetReadTimeoutMs()), ReadTimeout: milliseconds(limits.GetReadTimeoutMs()),
		IdleTimeout: milliseconds(limits.GetIdleTimeoutMs()), MaxHeaderBytes: int(limits.GetMaxHeaderBytes()),
		ErrorLog: in.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// serve starts the three servers; their ends are seen by shutdown.
func (in *Instance) serve(callers, operators, peers net.Listener) error {
	callers, operators, err := in.secure(callers, operators)
	if err != nil {
		return err
	}
	go func() { in.served("callers", in.caller.Serve(callers)) }()
	go func() { in.served("operators", in.operator.Serve(operators)) }()
	go func() { in.served("peers", in.peerCalls.Serve(peers)) }()
	return nil
}

func (in *Instance) served(name string, err error) {
	if err != nil && err != http.ErrServerClosed {
		in.logger.Error("server ended", "server", name, "err", err)
	}
}

// Pool returns the pool of a name; pools are never removed while the instance runs.
func (in *Instance) Pool(name string) *pool.Pool {
	return (*in.pools.Load())[name]
}
