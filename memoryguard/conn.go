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
	// isReadingHead is set while bytes that are read belong to a head or precede it: net/http reads a body, or the byte that tells that the
	// caller has gone, only in between.
	isReadingHead atomic.Bool
	// isHeadRefused is set once the head was too long, isAborted once the guard has closed the connection.
	isHeadRefused atomic.Bool
	isAborted     atomic.Bool
	closing       sync.Once
	closeError    error
}

// tooLongAnswer is the answer to a head that is too long, the same as that of net/http.
const tooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// Read reads from the connection. The head that exceeds the limit is answered here, and ends for the server like a closed connection.
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
		_ = cn.SetWriteDeadline(time.Now().Add(lingerTime))
		_, _ = cn.Write([]byte(tooLongAnswer))
		return 0, io.EOF
	}
	return count, err
}

const (
	// lingerTime and lingerBytes bound what is read and dropped after the answer to a head that is too long: a connection that is closed
	// with bytes unread is reset, and its caller loses the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Close closes the connection.
func (cn *Conn) Close() error {
	cn.closing.Do(func() {
		if cn.isHeadRefused.Load() && !cn.isAborted.Load() {
			_ = cn.CloseWrite()
			_ = cn.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, readerOnly{cn.TCPConn}, lingerBytes)
		}
		cn.closeError = cn.TCPConn.Close()
		cn.guard.forget(cn)
	})
	return cn.closeError
}

// readerOnly hides that a connection can write itself to a writer.
type readerOnly struct {
	io.Reader
}

// forget stops counting a connection.
func (gd *Guard) forget(cn *Conn) {
	gd.update(func(time.Time) []memorybudget.Action {
		gd.budget.Close(cn.counted)
		delete(gd.connections, cn.counted)
		return nil
	})
}

// abort closes the connection, whose reads and writes then fail; the server closes it once more.
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
