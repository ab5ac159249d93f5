package soak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/resetguard"
)

// proxy forwards TCP connections to a target and can delay their data, drop it, refuse connections or reset them.
type proxy struct {
	t        *testing.T
	listener net.Listener
	addr     string
	target   string
	delay    atomic.Int64
	// lastUse is when data was last forwarded, in Unix nanoseconds.
	lastUse atomic.Int64
	// dropResponses drops data from the target, dropRequests data to it; refuse closes new connections.
	dropResponses atomic.Bool
	dropRequests  atomic.Bool
	refuse        atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// sources are the addresses of the proxy's callers by the addresses from which it forwards their data to the target.
	sources map[string]string
	// crashed is set while the listener is closed by a crash, ended once it is closed for good.
	crashed, ended bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	px := &proxy{t: t, listener: listener, addr: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}, sources: map[string]string{}}
	t.Cleanup(px.end)
	go px.accept(listener)
	return px
}

// end closes the listener and all connections for good.
func (px *proxy) end() {
	px.mu.Lock()
	px.ended = true
	_ = px.listener.Close()
	px.mu.Unlock()
	px.reset()
}

// crash closes the listener and all connections, as the end of the target's process does, and listens again after a time. It returns false,
// and does nothing, if the target has crashed already.
func (px *proxy) crash(length time.Duration, back func()) bool {
	px.mu.Lock()
	if px.crashed || px.ended {
		px.mu.Unlock()
		return false
	}
	px.crashed = true
	_ = px.listener.Close()
	reserved := px.reservePort()
	px.mu.Unlock()
	px.reset()
	time.AfterFunc(length, func() {
		px.mu.Lock()
		defer px.mu.Unlock()
		defer syscall.Close(reserved)
		px.crashed = false
		if px.ended {
			return
		}
		// A process that is being started may still hold a copy of the socket, so that closing it would not free the port.
		_ = syscall.SetsockoptInt(reserved, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		listener, err := net.Listen("tcp", px.address())
		if err != nil {
			px.t.Errorf("listen again after a crash: %v", err)
			return
		}
		px.listener = listener
		go px.accept(listener)
		back()
	})
	return true
}

// reservePort returns a socket that keeps other processes from listening on the port, which refuses connections meanwhile.
func (px *proxy) reservePort() int {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		px.t.Errorf("reserve the port of a crashed upstream: %v", err)
		return -1
	}
	address := &syscall.SockaddrInet4{Port: px.listener.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}
	// SO_REUSEADDR lets the socket bind the port although connections on it are still open. Without it, from then on, no other
	// process can listen on the port.
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	err = syscall.Bind(socket, address)
	// A process that is being started may hold a copy of the listener for a moment.
	for began := time.Now(); err != nil && time.Since(began) < time.Second; err = syscall.Bind(socket, address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		px.t.Errorf("reserve the port of a crashed upstream: %v", err)
	}
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	return socket
}

// address returns the address, which stays the same after a crash.
func (px *proxy) address() string { return px.addr }

// sourceOf returns the address of the caller whose data is forwarded from an address.
func (px *proxy) sourceOf(forwarder string) string {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.sources[forwarder]
}

func (px *proxy) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		if px.refuse.Load() {
			_ = from.Close()
			continue
		}
		to, err := net.Dial("tcp", px.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		// Long bodies don't fit into the buffers, so that their senders wait while they are not read.
		_ = from.(*net.TCPConn).SetReadBuffer(bufferBytes)
		_ = to.(*net.TCPConn).SetWriteBuffer(bufferBytes)
		px.mu.Lock()
		px.conns[from], px.conns[to] = true, true
		px.sources[to.LocalAddr().String()] = from.RemoteAddr().String()
		px.mu.Unlock()
		// A reset of one side must not reach the other one as a regular end.
		guardedFrom, guardedTo := resetguard.New(from), resetguard.New(to)
		go px.forward(from, to, guardedFrom, guardedTo, &px.dropRequests)
		go px.forward(to, from, guardedTo, guardedFrom, &px.dropResponses)
	}
}

// bufferBytes is the size of the kernel's buffers on the way of a request.
const bufferBytes = 32 << 10

// throttle is the pause after each read whose data is dropped: a sender whose data is lost does not go on at full speed.
const throttle = 10 * time.Millisecond

// forward copies data in one direction, from source to sink, until either connection ends; while drop is set, it discards the data. A regular end
// is passed on; both connections are closed at the end of the second direction, and reset if a connection failed.
func (px *proxy) forward(from, to, source, sink net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := source.Read(buffer)
		px.lastUse.Store(time.Now().UnixNano())
		time.Sleep(time.Duration(px.delay.Load()))
		switch {
		case count > 0 && drop.Load():
			time.Sleep(throttle)
		case count > 0:
			if _, failure := sink.Write(buffer[:count]); failure != nil {
				px.remove(from, to, failure)
				return
			}
		}
		if err != nil {
			px.remove(from, to, err)
			return
		}
	}
}

// remove is called with the error at the end of the direction that reads from.
func (px *proxy) remove(from, to net.Conn, err error) {
	px.mu.Lock()
	defer px.mu.Unlock()
	otherEnded := !px.conns[to]
	delete(px.conns, from)
	switch {
	case err != io.EOF:
		delete(px.conns, to)
		resetConnection(from)
		resetConnection(to)
	case otherEnded:
		_ = from.Close()
		_ = to.Close()
	default:
		if tcp, is := to.(*net.TCPConn); is {
			_ = tcp.CloseWrite()
		}
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(connection net.Conn) {
	if tcp, is := connection.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// reset closes all connections with a TCP reset.
func (px *proxy) reset() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for conn := range px.conns {
		resetConnection(conn)
	}
	clear(px.conns)
}

// heal ends all faults; connections that were reset stay closed.
func (px *proxy) heal() {
	px.delay.Store(0)
	px.dropResponses.Store(false)
	px.dropRequests.Store(false)
	px.refuse.Store(false)
}
