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

// proxy passes connections on to a target and can delay, silence, refuse or reset them.
type proxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	// silent loses what comes from the target, deaf what goes to it; refuse closes new connections.
	silent atomic.Bool
	deaf   atomic.Bool
	refuse atomic.Bool

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
		go px.pipe(from, to, &px.deaf)
		go px.pipe(to, from, &px.silent)
	}
}

// pipe copies one direction until either end closes.
func (px *proxy) pipe(from, to net.Conn, lost *atomic.Bool) {
	defer px.forget(from, to)
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		time.Sleep(time.Duration(px.delay.Load()))
		if count > 0 && !lost.Load() {
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

func (px *proxy) forget(from, to net.Conn) {
	px.mu.Lock()
	defer px.mu.Unlock()
	if !px.conns[from] {
		_ = from.Close()
		_ = to.Close()
	}
	delete(px.conns, from)
}

// reset breaks all connections.
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

// heal ends all faults but those that ended connections.
func (px *proxy) heal() {
	px.delay.Store(0)
	px.silent.Store(false)
	px.deaf.Store(false)
	px.refuse.Store(false)
}
