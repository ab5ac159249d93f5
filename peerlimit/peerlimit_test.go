package peerlimit_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericdoor/turmericdoor/faultserver"
	"github.com/turmericdoor/turmericdoor/peerlimit"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// callTimeout is the timeout of the calls below, and closeSlack how much later the connection may be closed.
	callTimeout = 700 * time.Millisecond
	closeSlack  = 500 * time.Millisecond
	// preface begins a connection of an HTTP/2 client.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// settings is an HTTP/2 frame without settings.
	settings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	// fieldSize is the size of the value of a header field, in bytes.
	fieldSize = 100
)

// field is a header field in HPACK, and the frames carry one each on stream 1; the headers don't end with them.
var (
	field        = "\x00\x01a" + string(rune(fieldSize)) + strings.Repeat("b", fieldSize)
	headers      = "\x00\x00" + string(rune(len(field))) + "\x01\x00\x00\x00\x00\x01" + field
	continuation = "\x00\x00" + string(rune(len(field))) + "\x09\x00\x00\x00\x00\x01" + field
)

// answers are what another service may send at the address of an instance that has ended.
var answers = map[string]faultserver.Answer{
	"an HTTP/1.1 body":        {Head: "HTTP/1.1 200 OK\r\n\r\n", Repeated: "x", AtOnce: true},
	"an HTTP/1.1 head":        {Head: "HTTP/1.1 200 OK\r\n", Repeated: "X-A: b\r\n"},
	"a head that drips":       {Repeated: "x", Every: faultserver.Drip},
	"zeros":                   {Repeated: "\x00"},
	"headers":                 {Head: settings + headers, Repeated: continuation},
	"settings without end":    {Repeated: settings},
	"a connection not opened": {},
}

// TestEndlessAnswers guards against a process at the address of an instance that fills the memory or keeps a connection.
func TestEndlessAnswers(t *testing.T) {
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			sv, err := faultserver.New(t.Context(), answer)
			must.NoError(t, err)
			defer sv.Close()
			options := append(peerlimit.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			connection, err := grpc.NewClient("passthrough:///"+sv.Address, options...)
			must.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			_, err = wire.NewPeerClient(connection).Exchange(ctx, &wire.Heartbeat{})
			must.Error(t, err)
			must.NoError(t, connection.Close())
			select {
			case closed := <-sv.Closed:
				t.Log(closed)
				must.LessEq(t, callTimeout+closeSlack, closed.After)
				if name == "headers" {
					must.LessEq(t, faultserver.MaxSent(peerlimit.MaxHeaders), closed.Sent)
				}
			case <-time.After(time.Minute):
				must.Unreachable(t, must.Sprint("the connection was not closed"))
			}
		})
	}
}

// TestConnectionThatDoesNotStart guards against a connection that is waited for after the call that needed it has failed.
func TestConnectionThatDoesNotStart(t *testing.T) {
	for name, answer := range map[string]faultserver.Answer{"silence": {}, "half a frame": {Head: settings[:5]}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sv, err := faultserver.New(t.Context(), answer)
			must.NoError(t, err)
			defer sv.Close()
			options := append(peerlimit.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			connection, err := grpc.NewClient("passthrough:///"+sv.Address, options...)
			must.NoError(t, err)
			defer func() { must.NoError(t, connection.Close()) }()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			_, err = wire.NewPeerClient(connection).Exchange(ctx, &wire.Heartbeat{})
			must.Error(t, err)
			select {
			case closed := <-sv.Closed:
				must.LessEq(t, peerlimit.ConnectTimeout+closeSlack, closed.After)
			case <-time.After(maxOpen):
				must.Unreachable(t, must.Sprint("the connection was not closed"))
			}
		})
	}
}

// TestEndlessCalls guards against a process that keeps a connection to the server of an instance, or fills its memory.
func TestEndlessCalls(t *testing.T) {
	calls := map[string]struct{ head, repeated string }{
		"an HTTP/1.1 request": {"GET / HTTP/1.1\r\n", "X-A: b\r\n"},
		"headers":             {preface + settings + headers, continuation},
		"nothing":             {"", ""},
		"half a preface":      {preface[:8], ""},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			server := grpc.NewServer(peerlimit.ServerOptions()...)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			must.NoError(t, err)
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			defer func() { server.Stop(); <-served }()
			sent, after := sendUntilClosed(t, listener.Addr().String(), call.head, call.repeated)
			t.Log(sent, after)
			must.LessEq(t, faultserver.MaxSent(peerlimit.MaxHeaders), sent)
			must.LessEq(t, peerlimit.HandshakeTimeout+closeSlack, after)
		})
	}
}

const (
	// maxOpen is how long the server may keep a connection before the test ends it.
	maxOpen = 10 * time.Second
	// sendBuffer is the size of the send buffer of a connection, in bytes.
	sendBuffer = 64 << 10
)

// sendUntilClosed sends head and then repeated without end until the server closes the connection; it returns how many
// bytes were sent and how long it took.
func sendUntilClosed(t *testing.T, address, head, repeated string) (int64, time.Duration) {
	t.Helper()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	defer connection.Close()
	must.NoError(t, connection.(*net.TCPConn).SetWriteBuffer(sendBuffer))
	start := time.Now()
	must.NoError(t, connection.SetDeadline(start.Add(maxOpen)))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		rest := make([]byte, 1<<10)
		for err := error(nil); err == nil; {
			_, err = connection.Read(rest)
		}
	}()
	count, err := connection.Write([]byte(head))
	sent := int64(count)
	for repeated != "" && err == nil {
		count, err = connection.Write([]byte(strings.Repeat(repeated, 100)))
		sent += int64(count)
	}
	<-closed
	return sent, time.Since(start)
}
