package entrypoint_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/endlessserver"
	"github.com/turmericdoor/turmericdoor/entrypoint"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// callTimeout is the timeout of the calls below, connectTimeout that of a connection, and closeSlack how much later the
	// connection may be closed.
	callTimeout    = 200 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	closeSlack     = 500 * time.Millisecond
	// maxBytes bounds what is read on a connection that was never an HTTP/2 connection, in bytes.
	maxBytes = 64 << 10
	// lastFrameTimeout is how long gRPC tries to send its last frame on an open connection that is closed, and
	// maxOpenBytes bounds what is read on such a connection, in bytes.
	lastFrameTimeout = 5 * time.Second
	maxOpenBytes     = 64 << 20
	// settings is an HTTP/2 frame without settings.
	settings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
)

// otherServers send what is no answer of an instance on a connection that is never opened.
var otherServers = map[string]endlessserver.Answer{
	"an HTTP/1.1 head":   {Head: "HTTP/1.1 200 OK\r\n", Repeated: "X-A: b\r\n"},
	"an HTTP/1.1 body":   {Head: "HTTP/1.1 200 OK\r\n\r\n", Repeated: "x", AtOnce: true},
	"bytes that drip":    {Repeated: "x", Every: endlessserver.Drip},
	"silence":            {},
	"half a frame":       {Head: settings[:5]},
	"a frame that drips": {Head: "\x00\x3f\xff\x04\x00\x00\x00\x00\x00", Repeated: "\x00", Every: endlessserver.Drip},
}

// calls make one call to an address each and return how the link is closed.
var calls = map[string]func(ctx context.Context, address string) (func() error, error){
	"peers": func(ctx context.Context, address string) (func() error, error) {
		link, err := entrypoint.DialPeer(address)
		if err != nil {
			return nil, err
		}
		_, err = link.Exchange(ctx, &wire.Heartbeat{})
		return link.Close, err
	},
	"batches": func(ctx context.Context, address string) (func() error, error) {
		link, err := entrypoint.DialBatches(address)
		if err != nil {
			return nil, err
		}
		_, err = link.Load(ctx, &wire.LoadRequest{})
		return link.Close, err
	},
}

// assertClosed checks that a server's connection is closed after at most limit bytes and within a time.
func assertClosed(t *testing.T, sv *endlessserver.Server, limit int64, within time.Duration) {
	t.Helper()
	closed, err := sv.AwaitClosed()
	must.NoError(t, err)
	t.Log(closed)
	must.NoError(t, closed.Check(limit, within))
}

// TestOtherServerAtTheAddressOfAnInstance guards against a connection that is kept although no instance answers on it.
func TestOtherServerAtTheAddressOfAnInstance(t *testing.T) {
	for service, call := range calls {
		for name, answer := range otherServers {
			t.Run(service+", "+name, func(t *testing.T) {
				t.Parallel()
				sv, err := endlessserver.New(t.Context(), answer)
				must.NoError(t, err)
				defer sv.Close()
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				closeLink, err := call(ctx, sv.Address)
				must.Error(t, err)
				defer func() { must.NoError(t, closeLink()) }()
				assertClosed(t, sv, maxBytes, connectTimeout+closeSlack)
			})
		}
		// Such a connection is open, so that only its link ends it, as after each failed call to a peer.
		t.Run(service+", settings without end", func(t *testing.T) {
			sv, err := endlessserver.New(t.Context(), endlessserver.Answer{Repeated: settings})
			must.NoError(t, err)
			defer sv.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			closeLink, err := call(ctx, sv.Address)
			must.Error(t, err)
			must.NoError(t, closeLink())
			assertClosed(t, sv, maxOpenBytes, callTimeout+lastFrameTimeout+closeSlack)
		})
	}
}
