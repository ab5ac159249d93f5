package instancecore

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/claimant"
	"github.com/turmericdoor/turmericdoor/controller"
	"github.com/turmericdoor/turmericdoor/crashguard"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/editor"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/runner"
	"github.com/turmericdoor/turmericdoor/schema/settings"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/tableservice"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]tableservice.ListedInstance, error)
}

// Parts holds the dependencies of a Core. InstanceLister may be nil.
type Parts struct {
	Settings       *settings.Settings
	Timers         *timer.Service
	Random         *entropy.Source
	Store          table.Store
	InstanceLister InstanceLister
	UpstreamClient runner.UpstreamClient
	EngineClient   controller.EngineClient
	Prober         pool.Prober
	Dialer         peer.Dialer
	Log            func(*wire.Event)
}

// Core is an entry instance without its sockets.
type Core struct {
	settings       *settings.Settings
	timers         *timer.Service
	random         *entropy.Source
	events         *timeline.Ring
	metrics        *metric.Set
	store          table.Store
	instanceLister InstanceLister
	prober         pool.Prober
	gate           *drain.Gate
	holder         *revision.Holder
	editor         *editor.Editor
	claimant       *claimant.Claimant
	controller     *controller.Controller
	peer           *peer.Peer
	runner         *runner.Runner
	pools          atomic.Pointer[map[string]*pool.Pool]
	poolsMu        sync.Mutex
	liveInstances  atomic.Int64
	platformUp     atomic.Bool
	registeredAt   time.Time
	polls          int
	stopRequested  chan struct{}
	stopOnce       sync.Once
	lifetime       context.Context
	cancel         context.CancelFunc
	tasksMu        sync.Mutex
	tasks          []<-chan struct{}
}

// New creates a Core; Start runs it.
func New(parts Parts) *Core {
	lifetime, end := context.WithCancel(context.Background())
	cr := &Core{
		settings: parts.Settings, timers: parts.Timers, random: parts.Random, metrics: metric.New(), gate: drain.New(),
		instanceLister: parts.InstanceLister, prober: parts.Prober, stopRequested: make(chan struct{}), lifetime: lifetime, cancel: end,
	}
	id := cr.settings.GetInstance().GetId()
	callTimeout := timer.Milliseconds(cr.settings.GetPlatform().GetCallTimeoutMs())
	clock := hlc.New(cr.timers)
	cr.events = timeline.New(id, clock, cr.settings.GetLimits().GetTimelineEvents(), parts.Log)
	cr.store = meteredStore{next: parts.Store, metrics: cr.metrics, onAnswer: func() { cr.setPlatformUp(true) }}
	cr.holder = revision.New(cr.applyDocument)
	cr.editor = editor.New(cr.store, cr.timers, cr.random.Fork("editor"))
	cr.claimant = claimant.New(lifetime, cr.store, cr.timers, cr.random.Fork("claimant"), id, callTimeout)
	cr.pools.Store(&map[string]*pool.Pool{})
	cr.liveInstances.Store(1)
	cr.peer = cr.newPeer(clock, parts.Dialer)
	cr.controller = controller.New(controller.Parts{
		Timers: cr.timers, Store: cr.store, EngineClient: parts.EngineClient, Events: cr.events, Instance: id,
		CallTimeout: callTimeout, Members: cr.peer, Random: cr.random.Fork("controller"),
	})
	cr.runner = &runner.Runner{
		Timers: cr.timers, FailureDomain: cr.settings.GetInstance().GetFailureDomain(), Client: parts.UpstreamClient, Pools: cr, LeavingReporter: cr,
		Events: cr.events, Random: cr.random.Fork("runner"), Guard: &crashguard.Guard{
			CrashReports: cr.peer, Store: cr.store, Timers: cr.timers, Events: cr.events, Random: cr.random.Fork("guard"),
			Instance: id, CallTimeout: callTimeout, RunInBackground: cr.startTask,
		},
	}
	cr.registerGauges()
	return cr
}

func (cr *Core) newPeer(clock *hlc.Clock, dialer peer.Dialer) *peer.Peer {
	own, peers := cr.settings.GetInstance(), cr.settings.GetPeers()
	heartbeat := timer.Milliseconds(peers.GetHeartbeatMs())
	config := member.Config{
		Heartbeat: heartbeat, SuspectAfter: timer.Milliseconds(peers.GetSuspectAfterMs()),
		DeadAfter: timer.Milliseconds(peers.GetDeadAfterMs()), Partners: int(peers.GetPartners()),
	}
	now := cr.timers.Now()
	self := member.Member{
		ID: own.GetId(), Address: own.GetPeerAddress(), FailureDomain: own.GetFailureDomain(),
		Incarnation: uint64(now.UnixMilli()),
	}
	members := member.New(self, config, cr.random.Generator("member"), now)
	parts := peer.Parts{
		Timers: cr.timers, Clock: clock, Events: cr.events, Holder: cr.holder, Listener: cr, Members: members,
		Dialer: dialer, Random: cr.random.Fork("peer"),
	}
	return peer.New(parts, peer.Config{Seeds: peers.GetSeeds(), Heartbeat: heartbeat})
}

func (cr *Core) registerGauges() {
	cr.metrics.RegisterGauge("document_revision", func() float64 { return float64(cr.holder.Revision()) })
	cr.metrics.RegisterGauge("requests_in_flight", func() float64 { return float64(cr.gate.InFlight()) })
	cr.metrics.RegisterGauge("members_live", func() float64 { return float64(cr.liveInstances.Load()) })
	cr.metrics.RegisterGauge("claims_owed", func() float64 { return float64(cr.claimant.PendingUpdates()) })
}

// Start starts the background tasks of the instance.
func (cr *Core) Start() {
	cr.events.Record(&wire.Event{Kind: wire.EventKind_EventStarted, Detail: cr.settings.GetInstance().GetFailureDomain()})
	cr.startTask(cr.claimant.Run)
	cr.startTask(cr.peer.Run)
	cr.startTask(cr.pollPlatform)
	cr.startTask(cr.controller.Run)
}

// startTask runs a background task and keeps the channel that the task closes when it returns.
func (cr *Core) startTask(run func(context.Context, chan<- struct{})) {
	done := make(chan struct{})
	cr.tasksMu.Lock()
	cr.tasks = append(slices.DeleteFunc(cr.tasks, isClosed), done)
	cr.tasksMu.Unlock()
	go run(cr.lifetime, done)
}

// isClosed reports whether a task's done channel is closed.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// awaitTasks waits until every background task has returned, those included that tasks start meanwhile.
func (cr *Core) awaitTasks() {
	for running := cr.takeTasks(); len(running) > 0; running = cr.takeTasks() {
		for _, done := range running {
			<-done
		}
	}
}

// takeTasks returns the tasks that have not been taken before. It holds the lock only for that, since a task may start
// another one before it returns.
func (cr *Core) takeTasks() []<-chan struct{} {
	cr.tasksMu.Lock()
	defer cr.tasksMu.Unlock()
	running := cr.tasks
	cr.tasks = nil
	return running
}

// CallerHandler returns the HTTP handler for callers' requests.
func (cr *Core) CallerHandler() http.Handler {
	handler := &caller.Handler{
		Timers: cr.timers, Holder: cr.holder, Runner: cr.runner, Claimant: cr.claimant, Gate: cr.gate,
		Events: cr.events, Metrics: cr.metrics, Random: cr.random.Fork("caller"), MaxBody: cr.settings.GetLimits().GetMaxBodyBytes(),
	}
	return handler.Routes()
}

// OperatorHandler returns the HTTP handler for operators' requests.
func (cr *Core) OperatorHandler() http.Handler {
	keyDigest, _ := digest.Parse(cr.settings.GetOperators().GetKeyDigest())
	handler := &operator.Handler{
		KeyDigest: keyDigest, Holder: cr.holder, Editor: cr.editor, Peer: cr.peer, Metrics: cr.metrics,
		Instance: cr, MaxBody: cr.settings.GetLimits().GetMaxBodyBytes(),
	}
	return handler.Routes()
}

// Peer returns the peer service that other instances call.
func (cr *Core) Peer() *peer.Peer {
	return cr.peer
}

// Revision returns the revision of the document in force, or 0 if there is none yet.
func (cr *Core) Revision() int64 {
	return cr.holder.Revision()
}

// Pool returns the pool with the given name, or nil; pools are never removed while the instance runs.
func (cr *Core) Pool(name string) *pool.Pool {
	return (*cr.pools.Load())[name]
}
