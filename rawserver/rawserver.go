package rawserver

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a server sends on the connection of a request, which it then closes, or resets.
type Answer struct {
	Text   string
	Resets bool
}

// readTime is the time in which a peer reads the text before a reset discards it.
const readTime = 50 * time.Millisecond

// Send writes the answer to the connection of a request, whose body should have been read.
func (an Answer) Send(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, an.Text)
	if tcp, is := connection.(*net.TCPConn); is && an.Resets {
		time.Sleep(readTime)
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
