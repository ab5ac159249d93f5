package entrypoint

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// reconnectBase and reconnectMost bound the pause between tries to connect to another instance.
	reconnectBase = 100 * time.Millisecond
	reconnectMost = time.Second
	// reconnectFactor is how much longer each pause is than the one before, reconnectJitter its spread.
	reconnectFactor = 1.6
	reconnectJitter = 0.2
	connectTimeout  = 500 * time.Millisecond
	// silenceProbe is when a silent connection is probed, silenceLimit how long the answer may take.
	silenceProbe = 10 * time.Second
	silenceLimit = 2 * time.Second
)

// dial makes a connection to another instance.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: reconnectMost},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: silenceProbe, Timeout: silenceLimit}),
	)
}

// peerLink is a connection for membership and rows.
type peerLink struct {
	wire.PeerClient
	connection *grpc.ClientConn
}

// Close ends the connection.
func (lk peerLink) Close() error {
	return lk.connection.Close()
}

// DialPeer makes a link to another instance for membership and rows.
func DialPeer(address string) (peer.Link, error) {
	connection, err := dial(address)
	if err != nil {
		return nil, err
	}
	return peerLink{PeerClient: wire.NewPeerClient(connection), connection: connection}, nil
}

// batchLink is a connection for items.
type batchLink struct {
	wire.BatchesClient
	connection *grpc.ClientConn
}

// Close ends the connection.
func (lk batchLink) Close() error {
	return lk.connection.Close()
}

// DialBatches makes a link to another instance for items.
func DialBatches(address string) (gather.Link, error) {
	connection, err := dial(address)
	if err != nil {
		return nil, err
	}
	return batchLink{BatchesClient: wire.NewBatchesClient(connection), connection: connection}, nil
}

func newPeerServer() *grpc.Server {
	return grpc.NewServer(grpc.KeepaliveParams(keepalive.ServerParameters{Time: silenceProbe, Timeout: silenceLimit}))
}
