package resetguard_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/resetguard"
)

const (
	// tries is how often each end is played, beside so many others.
	tries      = 400
	concurrent = 16
	// part is what the peer sends before it ends the connection.
	part = "a part of an answer"
)

// zeros is the content of all uploads.
var zeros = make([]byte, 4<<20)

// peerEnd is how a peer ends a connection on which it has written a part.
type peerEnd func(connection *net.TCPConn, pause time.Duration)

// reset ends a connection with a reset after a pause in which it reads nothing.
func reset(connection *net.TCPConn, pause time.Duration) {
	time.Sleep(pause)
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// endThenReset ends the answer regularly, and resets the connection later, beside an upload that still comes.
func endThenReset(connection *net.TCPConn, pause time.Duration) {
	_ = connection.CloseWrite()
	reset(connection, pause+time.Millisecond)
}

// end ends a connection regularly once the upload has ended.
func end(connection *net.TCPConn, _ time.Duration) {
	_ = connection.CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
	_ = connection.Close()
}

// serve accepts connections, answers each at once with a part and ends it.
func serve(t *testing.T, finish peerEnd) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = connection.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(connection, part)
				finish(connection.(*net.TCPConn), rand.N(20*time.Millisecond))
			}()
		}
	}()
	return listener.Addr().String()
}

// readWhileWriting uploads a body and reads what the peer sends meanwhile; it returns the error at the end, or nil for io.EOF.
func readWhileWriting(t *testing.T, address string, size int) error {
	t.Helper()
	plain, err := net.Dial("tcp", address)
	must.NoError(t, err)
	guarded := resetguard.New(plain)
	defer guarded.Close()
	uploads := sync.WaitGroup{}
	uploads.Go(func() { _, _ = guarded.Write(zeros[:size]); _ = plain.(*net.TCPConn).CloseWrite() })
	content, err := io.ReadAll(guarded)
	_ = guarded.Close()
	uploads.Wait()
	if err == nil {
		must.Eq(t, part, string(content))
	}
	return err
}

// TestResetLooksLikeARegularEnd guards against a connection that is reset beside a write, whose read then returns io.EOF.
func TestResetLooksLikeARegularEnd(t *testing.T) {
	ends := map[string]struct {
		finish    peerEnd
		isRegular bool
	}{
		"a reset":                     {reset, false},
		"a regular end":               {end, true},
		"a regular end, then a reset": {endThenReset, true},
	}
	for name, each := range ends {
		t.Run(name, func(t *testing.T) {
			address := serve(t, each.finish)
			turns, senders := make(chan struct{}, concurrent), sync.WaitGroup{}
			mu, wrong := sync.Mutex{}, 0
			for try := range tries {
				turns <- struct{}{}
				senders.Go(func() {
					defer func() { <-turns }()
					err := readWhileWriting(t, address, (1+try%4)<<20)
					if (err == nil) != each.isRegular {
						mu.Lock()
						wrong++
						mu.Unlock()
					}
				})
			}
			senders.Wait()
			must.Zero(t, wrong, must.Sprintf("of %d ends", tries))
		})
	}
}
