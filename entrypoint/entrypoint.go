package entrypoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/entry"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Adapter is what a platform adds to an entry instance.
type Adapter interface {
	// Parts returns what an entry instance with these settings works with; sockets are filled in.
	Parts(settings entry.Settings) entry.Parts
	// Handler returns the handler of callers' requests.
	Handler(en *entry.Instance) http.Handler
	// LoadSettings reads the settings file.
	LoadSettings() (entry.Settings, error)
	// SettingsChanged reports whether the settings file differs from when it was last read.
	SettingsChanged() bool
	// ApplySettings takes over what can change while the instance runs.
	ApplySettings(settings entry.Settings)
}

// Server is the sockets of one entry instance.
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
	// memoryShare is the part of the memory limit that the runtime keeps to.
	memoryShare = 0.7
	// garbagePercent trades memory for processor time.
	garbagePercent = 200
	// noticeTime is how long a stopping instance still takes connections, so that its balancer notices.
	noticeTime = 2500 * time.Millisecond
	// endSlack is how long before the end of the grace time the instance ends what is still in flight.
	endSlack = 150 * time.Millisecond
	// answerSlack is how long before that the requests under way are ended, so that their callers get an answer.
	answerSlack = 250 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 20 * time.Second
	idleTimeout   = 90 * time.Second
	maxHeader     = 256 << 10
	servers       = 4
)

// New returns an entry point that is not running yet.
func New(adapter Adapter, settings entry.Settings, logger *log.Logger) *Server {
	ep := &Server{
		adapter: adapter, settings: settings, logger: logger, timers: timer.New(), failed: make(chan error, servers),
	}
	parts := adapter.Parts(settings)
	parts.Settings, parts.Logger, parts.Timers = settings, logger, ep.timers
	parts.PeerDialer, parts.BatchDialer = DialPeer, DialBatches
	ep.entry = entry.New(parts)
	return ep
}

// Run serves until a signal to stop, then stops gracefully.
func (ep *Server) Run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if ep.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(ep.settings.MemoryBytes) * memoryShare))
	}
	debug.SetGCPercent(garbagePercent)
	if err := ep.listen(); err != nil {
		return err
	}
	ep.entry.Start()
	failure := ep.await(signals)
	if failure != nil {
		ep.logger.Error("server ended", "err", failure)
	}
	ep.shutdown(ep.timers.Now())
	return failure
}

// await follows signals and the settings file until the instance is to stop.
func (ep *Server) await(signals <-chan os.Signal) error {
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return nil
			}
			ep.reload("signal")
		case <-ep.timers.After(settingsCheck):
			if ep.adapter.SettingsChanged() {
				ep.reload("file changed")
			}
		case err := <-ep.failed:
			return err
		}
	}
}

// settingsCheck is how often the settings file is looked at: it may change without a signal.
const settingsCheck = 2 * time.Second

// reload reads the settings again. Settings that are wrong change nothing.
func (ep *Server) reload(cause string) {
	fresh, err := ep.adapter.LoadSettings()
	if err != nil {
		ep.entry.RecordReload(cause + ": refused: " + err.Error())
		return
	}
	ep.adapter.ApplySettings(fresh)
	ep.entry.RecordReload(cause)
}

// shutdown ends the service without cutting off what is in flight, within the grace time.
func (ep *Server) shutdown(began time.Time) {
	ep.entry.StartDraining()
	_ = ep.timers.Sleep(context.Background(), noticeTime)
	left := ep.settings.GracePeriod - endSlack - ep.timers.Now().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	stop := ep.timers.AfterFunc(max(left-answerSlack, 0), ep.entry.CancelRequests)
	defer stop()
	if err := ep.callers.Shutdown(ctx); err != nil {
		ep.logger.Warn("requests were cut off", "err", err)
	}
	ep.entry.Stop()
	ep.peers.Stop()
	_ = ep.ready.Close()
	_ = ep.metrics.Close()
}

// listen opens all addresses before anything is served, so that a start fails whole.
func (ep *Server) listen() error {
	ep.callers = &http.Server{
		Handler: invariant.Handler(ep.adapter.Handler(ep.entry), invariant.Abort), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: ep.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	ep.ready = &http.Server{Handler: http.HandlerFunc(ep.answerReady), ReadHeaderTimeout: headerTimeout}
	ep.metrics = &http.Server{Handler: http.HandlerFunc(ep.answerMetrics), ReadHeaderTimeout: headerTimeout}
	ep.peers = newPeerServer()
	wire.RegisterPeerServer(ep.peers, ep.entry.Peer())
	wire.RegisterBatchesServer(ep.peers, ep.entry.Batches())
	starts := []struct {
		name    string
		address string
		serve   func(net.Listener) error
	}{
		{"CallerAddress", ep.settings.CallerAddress, ep.callers.Serve},
		{"ReadyAddress", ep.settings.ReadyAddress, ep.ready.Serve},
		{"PeerAddress", ep.settings.PeerAddress, ep.peers.Serve},
		{"MetricsAddress", ep.settings.MetricsAddress, ep.metrics.Serve},
	}
	for _, each := range starts {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return fmt.Errorf("%s: %w", each.name, err)
		}
		go func() { ep.report(each.serve(listener)) }()
	}
	return nil
}

// report passes on that a server ended by itself.
func (ep *Server) report(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		ep.failed <- err
	}
}

// answerReady answers the balancer's question. Anything but a GET is a request that was meant for another address.
func (ep *Server) answerReady(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method != http.MethodGet:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	case !ep.entry.Ready():
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (ep *Server) answerMetrics(writer http.ResponseWriter, _ *http.Request) {
	ep.entry.Metrics().Write(writer)
}
