package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/endlessserver"
	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/platform"
	"github.com/turmericdoor/turmericdoor/relay"
	"github.com/turmericdoor/turmericdoor/roster"
)

const (
	// answerHead is the head of an answer without its blank line.
	answerHead = "HTTP/1.1 200 OK\r\nTurmericdoor-Response-Seal: s\r\nContent-Length: 12\r\n"
	headLimit  = 64 << 10
	// readBytes is how much of a body is read before the connection is closed, and relayBuffers what the connection through another
	// instance may hold beyond it, in bytes.
	readBytes    = 256 << 10
	relayBuffers = 1 << 20
	callTimeout  = 700 * time.Millisecond
	closeSlack   = 800 * time.Millisecond
)

// sendThrough sends a request to an upstream through another instance.
func sendThrough(ctx context.Context, cut *relay.Relay, address string) (*gateway.UpstreamResponse, error) {
	client := platform.NewUpstreamClient()
	client.SetDial(cut.DialUpstream)
	return client.Send(ctx, gateway.UpstreamRequest{
		Request:  &gateway.Request{ID: "id-1", Method: "POST", Host: "h", Path: "/", Header: http.Header{}},
		Upstream: &roster.Upstream{ID: "i-1", Address: address}, Remaining: callTimeout,
	})
}

// TestHeadThatBreaksOffOnTheWay guards against an answer whose head breaks off on a connection through another instance and that is taken
// for an answer.
func TestHeadThatBreaksOffOnTheWay(t *testing.T) {
	head := answerHead + "\r\n"
	sent := make(chan string, 1)
	address := newUpstream(t, func(connection *net.TCPConn) {
		_, _ = connection.Read(make([]byte, 4096))
		_, _ = io.WriteString(connection, <-sent)
		_ = connection.Close()
	})
	cut, _ := pair(t, address)
	for end := range len(head) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		sent <- head[:end]
		_, err := sendThrough(ctx, cut, address)
		cancel()
		must.Error(t, err, must.Sprintf("%q", head[:end]))
	}
}

// TestEndlessAnswersOnTheWay guards against bytes without end that pile up in an instance through which another one connects.
func TestEndlessAnswersOnTheWay(t *testing.T) {
	cases := endlessserver.Heads(answerHead, headLimit)
	for name, body := range endlessserver.Bodies("HTTP/1.1 200 OK\r\nTurmericdoor-Response-Seal: s\r\n", readBytes, headLimit) {
		cases[name] = body
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sv, err := endlessserver.New(t.Context(), each.Answer)
			must.NoError(t, err)
			defer sv.Close()
			cut, _ := pair(t, sv.Address)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			if reply, err := sendThrough(ctx, cut, sv.Address); err == nil {
				_, _ = io.CopyN(io.Discard, reply.Body, readBytes)
				_ = reply.Body.Close()
			}
			closed, err := sv.AwaitClosed()
			must.NoError(t, err)
			must.NoError(t, closed.Check(each.Limit+relayBuffers, callTimeout+closeSlack))
		})
	}
}
