package entrypoint

import (
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/turmericdoor/turmericdoor/entry"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/peerlimit"
	"github.com/turmericdoor/turmericdoor/relay"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// keepaliveTime is the silence after which a connection is pinged; keepaliveTimeout bounds the wait for the reply.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// dial returns a connection to another instance; gRPC connects in the background.
func dial(address string) (*grpc.ClientConn, error) {
	options := append(peerlimit.DialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	return grpc.NewClient("passthrough:///"+address, options...)
}

// DialPeer returns a link to the peer service of another instance.
func DialPeer(address string) (peer.Link, error) {
	connection, err := dial(address)
	if err != nil {
		return nil, err
	}
	return struct {
		wire.PeerClient
		io.Closer
	}{wire.NewPeerClient(connection), connection}, nil
}

// DialBatches returns a link to the batch service of another instance.
func DialBatches(address string) (gather.Link, error) {
	connection, err := dial(address)
	if err != nil {
		return nil, err
	}
	return struct {
		wire.BatchesClient
		io.Closer
	}{wire.NewBatchesClient(connection), connection}, nil
}

// DialRelay returns a link to the relay service of another instance.
func DialRelay(address string) (relay.Link, error) {
	connection, err := dial(address)
	if err != nil {
		return nil, err
	}
	return struct {
		wire.RelaysClient
		io.Closer
	}{wire.NewRelaysClient(connection), connection}, nil
}

// NewPeerServer returns a server with the services of an instance for other instances.
func NewPeerServer(en *entry.Instance) *grpc.Server {
	keepalives := grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout})
	server := grpc.NewServer(append(peerlimit.ServerOptions(), keepalives)...)
	wire.RegisterPeerServer(server, en.Peer())
	wire.RegisterBatchesServer(server, en.Batches())
	wire.RegisterRelaysServer(server, en.Relay())
	return server
}
