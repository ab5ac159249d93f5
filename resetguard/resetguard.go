package resetguard

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only after the peer has ended it regularly. Linux reports a reset once, to
// whichever call comes first: if that is a Write, a plain connection's next Read returns io.EOF.
type Conn struct {
	net.Conn

	// tcp is the same connection.
	tcp *net.TCPConn
	// writing is held during a write; failure is the first error of a write that shows that the connection has broken off.
	writing sync.Mutex
	failure error
}

// New returns a connection with the guard, or the connection itself if it is not one of TCP.
func New(connection net.Conn) net.Conn {
	tcp, is := connection.(*net.TCPConn)
	if !is {
		return connection
	}
	return &Conn{Conn: tcp, tcp: tcp}
}

// Guarded returns a function that connects as another one does, such as DialContext of net.Dialer, with the guard.
func Guarded(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(connection), nil
	}
}

// Write writes to the connection.
func (cn *Conn) Write(from []byte) (int, error) {
	cn.writing.Lock()
	defer cn.writing.Unlock()
	count, err := cn.tcp.Write(from)
	// After a regular end of the peer a write fails with EPIPE, which therefore says nothing.
	if err != nil && cn.failure == nil && !errors.Is(err, syscall.EPIPE) {
		cn.failure = err
	}
	return count, err
}

// Read reads from the connection; the error is that of the write that failed if the connection has broken off.
func (cn *Conn) Read(into []byte) (int, error) {
	count, err := cn.tcp.Read(into)
	if !errors.Is(err, io.EOF) || !cn.isClosed() {
		return count, err
	}
	// The write that took the error may not have returned yet; on a closed connection none blocks.
	cn.writing.Lock()
	defer cn.writing.Unlock()
	if cn.failure != nil {
		return count, cn.failure
	}
	return count, err
}

// isClosed reports whether the kernel has closed the connection in both directions: after a reset or a timeout. After the peer's regular
// end alone it is still open for writes. If the state can't be read, the connection counts as closed.
func (cn *Conn) isClosed() bool {
	raw, err := cn.tcp.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(closed)
	_ = raw.Control(func(descriptor uintptr) {
		if info, failed := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); failed == nil {
			state = info.State
		}
	})
	return state == closed
}

// closed is the state TCP_CLOSE of the kernel.
const closed = unix.BPF_TCP_CLOSE
