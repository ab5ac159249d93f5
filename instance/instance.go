package instance

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/credential"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/instancecore"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/listener"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/peerlimit"
	"github.com/turmericdoor/turmericdoor/schema/settings"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/tableservice"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// Instance is one entry instance with its sockets.
type Instance struct {
	settings     *settings.Settings
	logger       *log.Logger
	timers       *timer.Service
	core         *instancecore.Core
	caller       *http.Server
	operator     *http.Server
	grpcServer   *grpc.Server
	serverErrors chan error
	lifetime     context.Context
	cancel       context.CancelFunc
	watchers     []<-chan struct{}
	peerTLS      *credential.Loader
	callerTLS    *credential.Loader
}

// New creates an instance; Run starts it.
func New(loaded *settings.Settings, logger *log.Logger) *Instance {
	in := &Instance{settings: loaded, logger: logger, timers: timer.New(), serverErrors: make(chan error, serverCount)}
	in.lifetime, in.cancel = context.WithCancel(context.Background())
	client := upstream.New()
	parts := instancecore.Parts{
		Settings: loaded, Timers: in.timers, Random: entropy.NewRandom(),
		Store: tableservice.New(loaded.GetPlatform().GetTableAddress()), UpstreamClient: client, EngineClient: client, Prober: client,
		Dialer: in.dialPeer, Log: in.logEvent,
	}
	if address := loaded.GetPlatform().GetListingAddress(); address != "" {
		parts.InstanceLister = tableservice.New(address)
	}
	in.core = instancecore.New(parts)
	return in
}

// serverCount is the number of servers that an instance runs: for callers, operators and peers.
const serverCount = 3

// logEvent writes a timeline event to the log. Events of a single request are logged at debug level.
func (in *Instance) logEvent(event *wire.Event) {
	level := log.InfoLevel
	if event.GetRequestId() != "" {
		level = log.DebugLevel
	}
	if in.logger.GetLevel() > level {
		return
	}
	fields := []any{}
	for _, pair := range timeline.Fields(event) {
		fields = append(fields, pair.Name, pair.Value)
	}
	in.logger.Log(level, timeline.KindName(event.GetKind()), fields...)
}

// Run serves until ctx ends, an operator requests a stop or a server fails, then shuts down gracefully. It
// returns an error only if the instance could not start.
func (in *Instance) Run(ctx context.Context) error {
	if err := in.listen(); err != nil {
		return err
	}
	in.core.Start()
	select {
	case <-ctx.Done():
	case <-in.core.StopRequested():
	case err := <-in.serverErrors:
		in.logger.Error("server failed", "err", err)
	}
	in.shutdown()
	return nil
}

// shutdown stops the servers after all requests in flight have ended, however long that takes.
func (in *Instance) shutdown() {
	in.core.StartDraining()
	_ = in.timers.Sleep(context.Background(), timer.Milliseconds(in.settings.GetInstance().GetNoticeMs()))
	// Shutdown closes the listener and idle connections, and waits without a limit for the active ones.
	_ = in.caller.Shutdown(context.Background())
	in.core.Shutdown()
	in.grpcServer.Stop()
	_ = in.operator.Close()
	in.cancel()
	for _, done := range in.watchers {
		<-done
	}
}

// listen opens all listeners before it starts any server, so that an instance that cannot start serves nothing. The
// listeners for callers and operators are wrapped in TLS here; newPeerServer configures TLS for the peers' gRPC server.
func (in *Instance) listen() error {
	own := in.settings.GetInstance()
	if err := in.loadCertificates(); err != nil {
		return err
	}
	opened, err := listener.OpenAll(
		listener.Address{Setting: "CallerAddress", Address: own.GetCallerAddress()},
		listener.Address{Setting: "OperatorAddress", Address: own.GetOperatorAddress()},
		listener.Address{Setting: "PeerAddress", Address: own.GetPeerAddress()},
	)
	if err != nil {
		return err
	}
	callers, operators, peers := opened[0], opened[1], opened[2]
	in.caller = in.newHTTPServer(in.core.CallerHandler())
	in.operator = in.newHTTPServer(in.core.OperatorHandler())
	in.grpcServer = in.newPeerServer()
	wire.RegisterPeerServer(in.grpcServer, in.core.Peer())
	go func() { in.reportServerError(in.caller.Serve(in.withTLS(callers))) }()
	go func() { in.reportServerError(in.operator.Serve(in.withTLS(operators))) }()
	go func() { in.reportServerError(in.grpcServer.Serve(peers)) }()
	return nil
}

// newHTTPServer returns a server for HTTP/1.1 and HTTP/2 with the limits of the settings.
func (in *Instance) newHTTPServer(handler http.Handler) *http.Server {
	limits := in.settings.GetLimits()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: invariant.Handler(handler, invariant.Abort), Protocols: protocols,
		ReadHeaderTimeout: timer.Milliseconds(limits.GetReadTimeoutMs()), ReadTimeout: timer.Milliseconds(limits.GetReadTimeoutMs()),
		IdleTimeout: timer.Milliseconds(limits.GetIdleTimeoutMs()), MaxHeaderBytes: int(limits.GetMaxHeaderBytes()),
		ErrorLog: in.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// reportServerError reports the error of a server that stopped before it was shut down.
func (in *Instance) reportServerError(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		in.serverErrors <- err
	}
}

// dialPeer creates a link to another instance; the connection is made with the first call.
func (in *Instance) dialPeer(address string) (peer.Link, error) {
	options := append(peerlimit.DialOptions(), grpc.WithTransportCredentials(in.peerCredentials()))
	connection, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	return struct {
		wire.PeerClient
		io.Closer
	}{wire.NewPeerClient(connection), connection}, nil
}
