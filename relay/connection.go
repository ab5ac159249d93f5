package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// connection is a connection to an upstream through another instance.
type connection struct {
	stream wire.Relays_ConnectClient
	cancel context.CancelFunc
	local  net.Addr

	writing sync.Mutex
	reading sync.Mutex
	// pending are the bytes that were received and not yet read; end is the error after them.
	pending []byte
	end     error
}

// maxChunk bounds the bytes in one message.
const maxChunk = 16 << 10

// connectAt asks an instance to connect to an upstream. The connection is nil unless the state is RelayConnected.
func (rl *Relay) connectAt(ctx context.Context, helper member.Member, address string) (net.Conn, wire.RelayState) {
	link, err := rl.link(helper.Address)
	if err != nil {
		return nil, wire.RelayState_RelayUnknown
	}
	// The connection outlives the call that makes it.
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopTimeout := rl.Timers.AfterFunc(connectTimeout, cancel)
	defer stopTimeout()
	stopCaller := context.AfterFunc(ctx, cancel)
	defer stopCaller()
	stream, err := link.Connect(lifetime)
	if err == nil {
		err = stream.Send(&wire.RelayData{Address: address})
	}
	reply := &wire.RelayData{}
	if err == nil {
		reply, err = stream.Recv()
	}
	if err != nil || reply.GetState() != wire.RelayState_RelayConnected {
		cancel()
		return nil, reply.GetState()
	}
	return &connection{stream: stream, cancel: cancel, local: relayAddress(helper.Address)}, wire.RelayState_RelayConnected
}

// relayAddress is the address of the instance that connects.
type relayAddress string

// Network returns the network's name.
func (relayAddress) Network() string { return "relay" }

// String returns the address.
func (ra relayAddress) String() string { return string(ra) }

// Read returns the next bytes of the upstream, or io.EOF only if the upstream has ended the connection regularly.
func (cn *connection) Read(into []byte) (int, error) {
	cn.reading.Lock()
	defer cn.reading.Unlock()
	for len(cn.pending) == 0 && cn.end == nil {
		message, err := cn.stream.Recv()
		switch {
		case err != nil, message.GetState() == wire.RelayState_RelayReset:
			cn.end = &net.OpError{Op: "read", Net: "relay", Err: syscall.ECONNRESET}
		case message.GetState() == wire.RelayState_RelayEnded:
			cn.end = io.EOF
		default:
			cn.pending = message.GetData()
		}
	}
	if len(cn.pending) == 0 {
		return 0, cn.end
	}
	count := copy(into, cn.pending)
	cn.pending = cn.pending[count:]
	return count, nil
}

// Write sends bytes to the upstream.
func (cn *connection) Write(from []byte) (int, error) {
	cn.writing.Lock()
	defer cn.writing.Unlock()
	written := 0
	for written < len(from) {
		next := from[written:min(written+maxChunk, len(from))]
		if err := cn.stream.Send(&wire.RelayData{Data: next}); err != nil {
			return written, &net.OpError{Op: "write", Net: "relay", Err: syscall.ECONNRESET}
		}
		written += len(next)
	}
	return written, nil
}

// Close ends the connection at the other instance, too.
func (cn *connection) Close() error {
	cn.cancel()
	return nil
}

// LocalAddr returns the address of the other instance.
func (cn *connection) LocalAddr() net.Addr { return cn.local }

// RemoteAddr returns the address of the other instance.
func (cn *connection) RemoteAddr() net.Addr { return cn.local }

// SetDeadline does nothing: a call over the connection is ended by closing it.
func (*connection) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, as SetDeadline.
func (*connection) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, as SetDeadline.
func (*connection) SetWriteDeadline(time.Time) error { return nil }
