package peerlimit

import (
	"time"

	"google.golang.org/grpc"
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
)

// DialOptions returns the limits of a client.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithMaxHeaderListSize(MaxHeaders),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
	}
}

// ServerOptions returns the limits of a server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(MaxHeaders), grpc.MaxRecvMsgSize(MaxMessage), grpc.MaxConcurrentStreams(MaxCalls),
		grpc.ConnectionTimeout(HandshakeTimeout),
	}
}
