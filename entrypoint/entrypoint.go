package entrypoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/entry"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/listener"
	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/memoryguard"
	"github.com/turmericdoor/turmericdoor/signals"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Adapter connects an entry instance to a platform.
type Adapter interface {
	// Parts returns the dependencies of an entry instance that the platform implements; New fills in the others.
	Parts(settings entry.Settings) entry.Parts
	// Handler returns the HTTP handler for callers' requests.
	Handler(en *entry.Instance) http.Handler
	// ConnContext returns the context of the requests on a caller's connection, as Handler needs it.
	ConnContext(ctx context.Context, connection net.Conn) context.Context
	// LoadSettings reads and checks the settings file.
	LoadSettings() (entry.Settings, error)
	// SettingsChanged reports whether the settings file was modified since it was last read.
	SettingsChanged() bool
	// ApplySettings applies the settings that can change while the instance runs.
	ApplySettings(settings entry.Settings)
}

// Server runs one entry instance with its listeners.
type Server struct {
	adapter  Adapter
	settings entry.Settings
	logger   *log.Logger
	timers   *timer.Service
	entry    *entry.Instance
	callers  *http.Server
	ready    *http.Server
	metrics  *http.Server
	peers    *grpc.Server
	failed   chan error
}

const (
	// memoryShare is the fraction of the memory limit that is set as the soft limit of the Go runtime.
	memoryShare = 0.7
	// gcPercent is higher than the default of 100: it saves processor time and costs memory.
	gcPercent = 200
	// drainDelay is how long a stopping instance still accepts connections, so that the load balancer sees it as not ready.
	drainDelay = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that remains when connections are cut off.
	shutdownReserve = 150 * time.Millisecond
	// cancelLead is the time between the cancellation of the requests in flight and the cut-off, in which their callers
	// still get an answer.
	cancelLead = 250 * time.Millisecond
	// callerHeaderTimeout and callerIdleTimeout are the timeouts of net/http for callers. They exceed all usual ones of the configuration,
	// which the guard of the entry instance enforces.
	callerHeaderTimeout = 10 * time.Minute
	callerIdleTimeout   = time.Hour
	// maxHeaderBytes bounds the head of a caller's request; the limit of the configuration may be lower.
	maxHeaderBytes = 256 << 10
	serverCount    = 4
	// The constants below are the limits of each auxiliary server (readiness, metrics), which a balancer and a few scrapers use.
	auxiliaryHeaderBytes = 8 << 10
	// auxiliaryTimeout bounds the time to read a request, and that to write the answer; auxiliaryIdleTimeout the time between two requests.
	auxiliaryTimeout     = 10 * time.Second
	auxiliaryIdleTimeout = 90 * time.Second
	auxiliaryConnections = 32
	// auxiliaryHeadMemory is the memory for incomplete heads, in bytes.
	auxiliaryHeadMemory = 1 << 20
)

// New returns a server that is not running yet; Run runs it.
func New(adapter Adapter, settings entry.Settings, logger *log.Logger) *Server {
	sv := &Server{
		adapter: adapter, settings: settings, logger: logger, timers: timer.New(), failed: make(chan error, serverCount),
	}
	parts := adapter.Parts(settings)
	parts.Settings, parts.Logger, parts.Timers = settings, logger, sv.timers
	parts.PeerDialer, parts.BatchDialer, parts.RelayDialer = DialPeer, DialBatches, DialRelay
	sv.entry = entry.New(parts)
	return sv
}

// Run serves until a signal asks it to stop or a listener fails, and then shuts down gracefully.
func (sv *Server) Run(received *signals.Receiver) error {
	if sv.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(sv.settings.MemoryBytes) * memoryShare))
	}
	debug.SetGCPercent(gcPercent)
	if err := sv.listen(); err != nil {
		return err
	}
	sv.entry.Start()
	following, stopFollowing := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go sv.followSettings(following, received.Reload, followed)
	failure := sv.awaitStop(received.Stop)
	if failure != nil {
		sv.logger.Error("server failed", "err", failure)
	}
	sv.shutdown(sv.timers.Now())
	stopFollowing()
	select {
	case <-followed:
	case <-sv.timers.After(reloadEndTimeout):
		sv.logger.Warn("the settings are still being read at the end")
	}
	return failure
}

// awaitStop waits until the instance must stop, and returns the error of a listener that failed.
func (sv *Server) awaitStop(stop <-chan os.Signal) error {
	select {
	case received := <-stop:
		sv.entry.RecordSignal(received)
		return nil
	case err := <-sv.failed:
		return err
	}
}

// followSettings reloads the settings at each signal and when their file changes, until ctx ends; then it closes done. Reading the file
// may take long, and must not delay a stop.
func (sv *Server) followSettings(ctx context.Context, reload <-chan os.Signal, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-reload:
			sv.entry.RecordSignal(received)
			sv.reload("signal")
		case <-sv.timers.After(settingsPollInterval):
			if sv.adapter.SettingsChanged() {
				sv.reload("file changed")
			}
		}
	}
}

// settingsPollInterval is the interval of checks for a modified settings file, which may come without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloadEndTimeout is how long an instance that has stopped waits for a settings file that is being read.
const reloadEndTimeout = 20 * time.Millisecond

// reload reads the settings file and applies it; invalid settings are ignored.
func (sv *Server) reload(cause string) {
	reloaded, err := sv.adapter.LoadSettings()
	if err != nil {
		sv.entry.RecordReload(cause + ": refused: " + err.Error())
		return
	}
	sv.adapter.ApplySettings(reloaded)
	sv.entry.RecordReload(cause)
}

// shutdown drains the requests in flight within the grace period and stops the instance.
func (sv *Server) shutdown(started time.Time) {
	sv.entry.StartDraining()
	// Connections on which no request has come yet stay open, and so do those whose request is on its way.
	sv.entry.EndRequestsBy(started.Add(drainDelay), started.Add(max(sv.settings.GracePeriod-shutdownReserve-cancelLead, drainDelay)))
	_ = sv.timers.Sleep(context.Background(), drainDelay)
	left := max(sv.settings.GracePeriod-shutdownReserve-sv.timers.Now().Sub(started), 0)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	stop := sv.timers.AfterFunc(max(left-cancelLead, 0), sv.entry.CancelRequests)
	defer stop()
	if err := sv.callers.Shutdown(ctx); err != nil {
		sv.logger.Warn("grace period ended with requests in flight", "err", err)
	}
	sv.entry.Stop()
	sv.peers.Stop()
	_ = sv.ready.Close()
	_ = sv.metrics.Close()
}

// listen opens all listeners, then starts to serve on each. It is called before the instance starts, so that an address
// that can't be opened fails the whole start.
func (sv *Server) listen() error {
	sv.callers = &http.Server{
		Handler:           invariant.Handler(sv.adapter.Handler(sv.entry), invariant.Abort),
		ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: sv.adapter.ConnContext, ConnState: sv.entry.CallerGuard().ConnState,
		ErrorLog: sv.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	readyGuard, metricsGuard := sv.auxiliaryGuard(), sv.auxiliaryGuard()
	sv.ready, sv.metrics = sv.auxiliaryServer(sv.answerReady, readyGuard), sv.auxiliaryServer(sv.answerMetrics, metricsGuard)
	sv.peers = NewPeerServer(sv.entry)
	opened, err := listener.OpenAll(
		listener.Address{Setting: "CallerAddress", Address: sv.settings.CallerAddress},
		listener.Address{Setting: "ReadyAddress", Address: sv.settings.ReadyAddress},
		listener.Address{Setting: "PeerAddress", Address: sv.settings.PeerAddress},
		listener.Address{Setting: "MetricsAddress", Address: sv.settings.MetricsAddress},
	)
	if err != nil {
		return err
	}
	opened[0] = sv.entry.CallerGuard().Listen(opened[0])
	opened[1], opened[3] = readyGuard.Listen(opened[1]), metricsGuard.Listen(opened[3])
	for at, serve := range []func(net.Listener) error{sv.callers.Serve, sv.ready.Serve, sv.peers.Serve, sv.metrics.Serve} {
		go func() { sv.report(serve(opened[at])) }()
	}
	return nil
}

// auxiliaryGuard returns a guard for an auxiliary server, which enforces its timeouts itself.
func (sv *Server) auxiliaryGuard() *memoryguard.Guard {
	limits := memorybudget.Limits{Connections: auxiliaryConnections, HeadBytes: auxiliaryHeadMemory}
	return sv.entry.NewGuard(limits, func() memorybudget.CallerLimits { return memorybudget.CallerLimits{HeadBytes: auxiliaryHeaderBytes} })
}

// auxiliaryServer returns an auxiliary server.
func (sv *Server) auxiliaryServer(handle http.HandlerFunc, guard *memoryguard.Guard) *http.Server {
	return &http.Server{
		Handler: handle, ReadHeaderTimeout: auxiliaryTimeout, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryIdleTimeout,
		MaxHeaderBytes: auxiliaryHeaderBytes, ConnState: guard.ConnState, ErrorLog: sv.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// report passes the error of a server that stopped unexpectedly to await.
func (sv *Server) report(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		sv.failed <- err
	}
}

// answerReady answers the load balancer's readiness check. Any method but GET belongs to a request that was sent to
// the wrong address.
func (sv *Server) answerReady(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method != http.MethodGet:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	case !sv.entry.Ready():
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (sv *Server) answerMetrics(writer http.ResponseWriter, _ *http.Request) {
	sv.entry.Metrics().Write(writer)
}
