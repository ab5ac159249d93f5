package memoryguard

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn
	guard      *Guard
	counted    *memorybudget.Connection
	acceptedAt time.Time
	// isReadingHead is set while a request's head is awaited or incomplete; bytes that are read count as its head. At other times net/http reads
	// a body, or a single byte to detect that the caller has closed the connection.
	isReadingHead atomic.Bool
	// isHeadRefused is set once a head was too long, isAborted once the guard has closed the connection.
	isHeadRefused atomic.Bool
	isAborted     atomic.Bool
	closing       sync.Once
	closeError    error
}

// tooLongAnswer is the answer to a head that is too long; net/http gives the same one.
const tooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// Read reads from the connection. A head over the limit is answered here; the server then reads the end of the connection.
func (cn *Conn) Read(into []byte) (int, error) {
	if cn.isHeadRefused.Load() {
		return 0, io.EOF
	}
	count, err := cn.TCPConn.Read(into)
	if count == 0 || !cn.isReadingHead.Load() {
		return count, err
	}
	cn.guard.update(func(now time.Time) []memorybudget.Action { return cn.guard.budget.ReadHead(now, cn.counted, count) })
	if cn.isHeadRefused.Load() {
		_ = cn.SetWriteDeadline(time.Now().Add(LingerTime))
		_, _ = cn.TCPConn.Write([]byte(tooLongAnswer))
		return 0, io.EOF
	}
	return count, err
}

// Write writes to the connection. After a head was refused here, what the server writes is discarded: it answers the end of the connection
// within a head with status 400, which the caller would read as a part of the first answer.
func (cn *Conn) Write(part []byte) (int, error) {
	if cn.isHeadRefused.Load() {
		return len(part), nil
	}
	return cn.TCPConn.Write(part)
}

const (
	// LingerTime is how long the rest of a refused request is read and discarded after the answer: a connection that is closed with unread
	// bytes is reset, and its caller loses the answer.
	LingerTime = 500 * time.Millisecond
	// lingerBytes is how much of a refused head is read and discarded at most.
	lingerBytes = 256 << 10
)

// Close closes the connection.
func (cn *Conn) Close() error {
	cn.closing.Do(func() {
		if cn.isHeadRefused.Load() && !cn.isAborted.Load() {
			_ = cn.CloseWrite()
			_ = cn.SetReadDeadline(time.Now().Add(LingerTime))
			_, _ = io.CopyN(io.Discard, cn.TCPConn, lingerBytes)
		}
		cn.closeError = cn.TCPConn.Close()
		cn.guard.forget(cn)
	})
	return cn.closeError
}

// forget removes a connection that was closed.
func (gd *Guard) forget(cn *Conn) {
	gd.update(func(time.Time) []memorybudget.Action {
		gd.budget.Close(cn.counted)
		delete(gd.connections, cn.counted)
		return nil
	})
}

// abort closes the connection, so that the server's reads and writes fail and it calls Close. It does not linger, as the guard's lock is held.
func (cn *Conn) abort() {
	cn.isAborted.Store(true)
	_ = cn.TCPConn.Close()
}

func (cn *Conn) event(cause memorybudget.Cause) *wire.Event {
	return &wire.Event{
		Kind: wire.EventKind_EventConnectionClosed, Cause: string(cause), Detail: fmt.Sprintf("caller=%s", cn.RemoteAddr()),
		DurationMicros: cn.guard.Timers.Now().Sub(cn.acceptedAt).Microseconds(),
	}
}
