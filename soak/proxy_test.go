package soak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// proxy forwards TCP connections to a target and can delay their data, drop it, refuse connections or reset them.
type proxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	// dropResponses drops data from the target, dropRequests data to it; refuse closes new connections.
	dropResponses atomic.Bool
	dropRequests  atomic.Bool
	refuse        atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	px := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = listener.Close(); px.reset() })
	go px.accept()
	return px
}

func (px *proxy) address() string { return px.listener.Addr().String() }

func (px *proxy) accept() {
	for {
		from, err := px.listener.Accept()
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
		px.mu.Lock()
		px.conns[from], px.conns[to] = true, true
		px.mu.Unlock()
		go px.forward(from, to, &px.dropRequests)
		go px.forward(to, from, &px.dropResponses)
	}
}

// forward copies data in one direction until either connection closes; while drop is set, it discards the data.
func (px *proxy) forward(from, to net.Conn, drop *atomic.Bool) {
	defer px.remove(from, to)
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		time.Sleep(time.Duration(px.delay.Load()))
		if count > 0 && !drop.Load() {
			if _, failure := to.Write(buffer[:count]); failure != nil {
				return
			}
		}
		if err != nil {
			if tcp, is := to.(*net.TCPConn); is && err == io.EOF {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// remove is called at the end of the direction that reads from. It closes both connections if reset has removed from.
func (px *proxy) remove(from, to net.Conn) {
	px.mu.Lock()
	defer px.mu.Unlock()
	if !px.conns[from] {
		_ = from.Close()
		_ = to.Close()
	}
	delete(px.conns, from)
}

// reset closes all connections with a TCP reset.
func (px *proxy) reset() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for conn := range px.conns {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
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
