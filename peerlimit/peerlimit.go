package peerlimit

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

const (
	// MaxHeaders bounds the headers of a call or of its answer, in bytes.
	MaxHeaders = 64 << 10
	// MaxMessage bounds one message, in bytes.
	MaxMessage = 4 << 20
	// HandshakeTimeout bounds the start of a connection that was accepted.
	HandshakeTimeout = 2 * time.Second
	// MaxCalls bounds the calls at one time on one connection.
	MaxCalls = 1000
	// ConnectTimeout bounds the start of a connection to another process.
	ConnectTimeout = 500 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay bound the backoff between two attempts to connect. gRPC waits for a
	// connection as long as for the next attempt if that is longer than ConnectTimeout.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// reconnectFactor is the factor between two backoffs; reconnectJitter is the jitter as a fraction of the backoff.
	reconnectFactor = 1.6
	reconnectJitter = 0.2
)

// DialOptions returns the limits of a client.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithMaxHeaderListSize(MaxHeaders),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: ConnectTimeout,
		}),
	}
}

// ServerOptions returns the limits of a server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(MaxHeaders), grpc.MaxRecvMsgSize(MaxMessage), grpc.MaxConcurrentStreams(MaxCalls),
		grpc.ConnectionTimeout(HandshakeTimeout),
	}
}
