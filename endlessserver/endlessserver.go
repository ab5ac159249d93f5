package endlessserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxSent returns how many bytes a server may send to a peer that reads at most limit bytes: the kernel's buffers hold
// more, and the receive buffer grows with what the peer reads, up to the kernel's setting.
func MaxSent(limit int64) int64 {
	return limit + socketBytes + min(limit, maxReceiveBuffer())
}

// receiveSettings holds the least, the first and the greatest size of a receive buffer, in bytes.
const receiveSettings = "/proc/sys/net/ipv4/tcp_rmem"

// maxReceiveBuffer returns the greatest size of a receive buffer, in bytes.
func maxReceiveBuffer() int64 {
	text, err := os.ReadFile(receiveSettings)
	if err != nil {
		return defaultReceiveBuffer
	}
	sizes := strings.Fields(string(text))
	size, err := strconv.ParseInt(sizes[len(sizes)-1], 10, 64)
	if err != nil {
		return defaultReceiveBuffer
	}
	return size
}

const (
	// socketBytes is the size of the buffers of both sockets at first, and defaultReceiveBuffer the kernel's default of the
	// greatest size of a receive buffer, in bytes.
	socketBytes          = 1 << 20
	defaultReceiveBuffer = 6 << 20
	// sendBuffer is the size of the send buffer of a connection, in bytes.
	sendBuffer = 64 << 10
	// writeSize is the smallest size of one write of an answer without pauses, in bytes.
	writeSize = 16 << 10
)

// Answer is what the server sends on each connection: Head once, then Repeated without end, with a pause of Every before
// each repetition. If Repeated is empty, the connection stays silent after Head.
type Answer struct {
	Head     string
	Repeated string
	Every    time.Duration
	// AtOnce sends the answer without waiting for the first bytes of a request.
	AtOnce bool
	// Limit is how many bytes a peer may read, or 0 for no limit. Once it must have read more, the server reports that on Overrun and
	// falls silent.
	Limit int64
}

// Closed reports that a peer closed its connection: after how long, and how many bytes of the answer were sent by then.
type Closed struct {
	Sent  int64
	After time.Duration
}

// Check returns an error if the peer closed its connection later than within, or after more than MaxSent(limit) bytes.
func (cl Closed) Check(limit int64, within time.Duration) error {
	if cl.After > within || cl.Sent > MaxSent(limit) {
		return fmt.Errorf("closed after %v and %d bytes sent, want at most %v and %d", cl.After, cl.Sent, within, MaxSent(limit))
	}
	return nil
}

// Server sends an answer without end on every connection.
type Server struct {
	Address string
	// Closed receives a value for each connection that its peer closed.
	Closed <-chan Closed
	// Began receives a value for each connection on which the answer begins.
	Began <-chan struct{}
	// Overrun receives a value for each connection whose peer has read more than the answer's limit.
	Overrun <-chan struct{}

	began    chan struct{}
	overrun  chan struct{}
	answer   Answer
	head     []byte
	listener net.Listener
	closed   chan Closed
	tasks    sync.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// maxClosed is the number of values that Closed and Began hold for a test that has not read them.
const maxClosed = 1024

// New starts a server on a port of the loopback address; Close ends it.
func New(ctx context.Context, answer Answer) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	closed, began, overrun := make(chan Closed, maxClosed), make(chan struct{}, maxClosed), make(chan struct{}, maxClosed)
	sv := &Server{
		Address: listener.Addr().String(), Closed: closed, Began: began, began: began, Overrun: overrun, overrun: overrun,
		answer: answer, head: []byte(answer.Head), listener: listener, closed: closed, open: map[net.Conn]bool{},
	}
	sv.tasks.Go(sv.accept)
	return sv, nil
}

// closedTimeout is how long AwaitClosed waits.
const closedTimeout = time.Minute

// errNotClosed reports that no peer closed its connection.
var errNotClosed = errors.New("the connection was not closed")

// AwaitClosed waits until a peer closes its connection; the error is that it did not within a minute.
func (sv *Server) AwaitClosed() (Closed, error) {
	select {
	case closed := <-sv.Closed:
		return closed, nil
	case <-time.After(closedTimeout):
		return Closed{}, errNotClosed
	}
}

// Close closes the listener and all connections and waits for their ends.
func (sv *Server) Close() {
	_ = sv.listener.Close()
	sv.mu.Lock()
	for connection := range sv.open {
		_ = connection.Close()
	}
	sv.open = nil
	sv.mu.Unlock()
	sv.tasks.Wait()
}

func (sv *Server) accept() {
	for {
		connection, err := sv.listener.Accept()
		if err != nil {
			return
		}
		if !sv.track(connection) {
			_ = connection.Close()
			return
		}
		sv.tasks.Go(func() { sv.serve(connection) })
	}
}

// track adds an open connection; it returns false if the server is closed.
func (sv *Server) track(connection net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.open == nil {
		return false
	}
	sv.open[connection] = true
	return true
}

// serve sends the answer until the peer closes. A connection on which no request arrives is not reported.
func (sv *Server) serve(connection net.Conn) {
	defer connection.Close()
	if socket, is := connection.(*net.TCPConn); is {
		_ = socket.SetWriteBuffer(sendBuffer)
	}
	if !sv.answer.AtOnce {
		if _, err := connection.Read(make([]byte, writeSize)); err != nil {
			return
		}
	}
	select {
	case sv.began <- struct{}{}:
	default:
	}
	start := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		awaitClose(connection)
	}()
	sent := sv.send(connection, ended)
	select {
	case sv.closed <- Closed{Sent: sent, After: time.Since(start)}:
	default:
	}
}

// awaitClose reads until the peer closes.
func awaitClose(connection net.Conn) {
	rest := make([]byte, writeSize)
	for {
		if _, err := connection.Read(rest); err != nil {
			_ = connection.Close()
			return
		}
	}
}

// send sends the answer until ended is closed or a write fails, and returns the number of bytes sent.
func (sv *Server) send(connection net.Conn, ended <-chan struct{}) int64 {
	repeated := []byte(sv.answer.Repeated)
	if sv.answer.Every == 0 && len(repeated) > 0 {
		repeated = bytes.Repeat(repeated, max(1, writeSize/len(repeated)))
	}
	count, err := connection.Write(sv.head)
	sent := int64(count)
	if len(repeated) == 0 {
		<-ended
	}
	for err == nil {
		select {
		case <-ended:
			return sent
		case <-time.After(sv.answer.Every):
		}
		count, err = connection.Write(repeated)
		sent += int64(count)
		if sv.answer.Limit > 0 && sent > MaxSent(sv.answer.Limit) {
			select {
			case sv.overrun <- struct{}{}:
			default:
			}
			<-ended
			return sent
		}
	}
	return sent
}
