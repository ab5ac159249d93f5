package relay_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/relay"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// link is a link to the relay service of another instance.
type link struct {
	wire.RelaysClient
	connection *grpc.ClientConn
}

// Close closes the connection.
func (lk link) Close() error { return lk.connection.Close() }

func open(address string) (relay.Link, error) {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	return link{wire.NewRelaysClient(connection), connection}, nil
}

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// newUpstream starts an upstream that handles its connections one after the other, and returns its address.
func newUpstream(t *testing.T, handle func(connection *net.TCPConn)) string {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if tcp, is := connection.(*net.TCPConn); is {
				handle(tcp)
			}
		}
	}()
	return listener.Addr().String()
}

// dialTCP connects to an upstream.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 300 * time.Millisecond}
	return dialer.DialContext(ctx, "tcp", address)
}

// pair starts an instance that reaches no upstream, and one that helps it and knows the given upstreams.
func pair(t *testing.T, known ...string) (cut, helper *relay.Relay) {
	t.Helper()
	return pairWith(t, false, known...)
}

// pairWith is pair; the first upstream may be in an evacuated failure domain, as the helper knows.
func pairWith(t *testing.T, isEvacuated bool, known ...string) (cut, helper *relay.Relay) {
	t.Helper()
	timers, listener := timer.New(), listen(t)
	members := []member.Member{{ID: "cut"}, {ID: "helper", Address: listener.Addr().String()}}
	parts := relay.Parts{
		Self: "helper", Dial: dialTCP, Live: func() []member.Member { return members }, Open: open, Timers: timers, Random: entropy.New(1),
		IsUpstream:  func(address string) bool { return strings.Contains(strings.Join(known, " "), address) },
		IsEvacuated: func(address string) bool { return isEvacuated && address == known[0] },
		Events:      timeline.New("test", hlc.New(timers), 16, nil),
	}
	helper = relay.New(parts)
	server := grpc.NewServer()
	wire.RegisterRelaysServer(server, helper)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	parts.Self = "cut"
	parts.Dial = func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return relay.New(parts), helper
}

// assertDialFails checks that no connection is made, and whether the error is a refusal of the upstream's host.
func assertDialFails(t *testing.T, rl *relay.Relay, address string, isRefused bool) {
	t.Helper()
	_, err := rl.DialUpstream(t.Context(), address)
	operation := &net.OpError{}
	must.True(t, errors.As(err, &operation))
	must.Eq(t, "dial", operation.Op)
	must.Eq(t, isRefused, errors.Is(err, syscall.ECONNREFUSED))
}

// TestConnectionThroughAnotherInstance checks that both ends see the same bytes and the same end as on a direct connection.
func TestConnectionThroughAnotherInstance(t *testing.T) {
	t.Run("bytes pass both ways, and a regular end is one", func(t *testing.T) {
		long := strings.Repeat("x", 100_000)
		address := newUpstream(t, func(connection *net.TCPConn) {
			question := make([]byte, len(long))
			_, _ = io.ReadFull(connection, question)
			_, _ = connection.Write(question)
			_ = connection.Close()
		})
		cut, _ := pair(t, address)
		connection, err := cut.DialUpstream(t.Context(), address)
		must.NoError(t, err)
		defer connection.Close()
		_, err = io.WriteString(connection, long)
		must.NoError(t, err)
		answer, err := io.ReadAll(connection)
		must.NoError(t, err)
		must.Eq(t, long, string(answer))
	})
	t.Run("a reset does not look like a regular end", func(t *testing.T) {
		address := newUpstream(t, func(connection *net.TCPConn) {
			_, _ = io.WriteString(connection, "part")
			time.Sleep(50 * time.Millisecond)
			_ = connection.SetLinger(0)
			_ = connection.Close()
		})
		cut, _ := pair(t, address)
		connection, err := cut.DialUpstream(t.Context(), address)
		must.NoError(t, err)
		defer connection.Close()
		answer, err := io.ReadAll(connection)
		must.Eq(t, "part", string(answer))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	})
	t.Run("a close reaches the upstream", func(t *testing.T) {
		closed := make(chan error, 1)
		address := newUpstream(t, func(connection *net.TCPConn) {
			_, err := connection.Read(make([]byte, 1))
			closed <- err
		})
		cut, _ := pair(t, address)
		connection, err := cut.DialUpstream(t.Context(), address)
		must.NoError(t, err)
		must.NoError(t, connection.Close())
		select {
		case err := <-closed:
			must.Error(t, err)
		case <-time.After(5 * time.Second):
			must.Unreachable(t)
		}
	})
}

// TestNoConnectionThroughAnotherInstance checks what an instance learns when the other one has no connection for it.
func TestNoConnectionThroughAnotherInstance(t *testing.T) {
	gone := func(t *testing.T) string {
		t.Helper()
		listener := listen(t)
		must.NoError(t, listener.Close())
		return listener.Addr().String()
	}
	alive := func(t *testing.T) string {
		t.Helper()
		return newUpstream(t, func(connection *net.TCPConn) { _ = connection.Close() })
	}
	t.Run("a refusal that the other one sees too is one, if it reaches upstreams", func(t *testing.T) {
		address, other := gone(t), alive(t)
		cut, helper := pair(t, address, other)
		connection, err := helper.DialUpstream(t.Context(), other)
		must.NoError(t, err)
		must.NoError(t, connection.Close())
		assertDialFails(t, cut, address, true)
	})
	t.Run("an address where no upstream is registered is not connected to", func(t *testing.T) {
		address := alive(t)
		cut, _ := pair(t)
		assertDialFails(t, cut, address, true)
	})
	t.Run("an instance that stops makes no more connections", func(t *testing.T) {
		address := alive(t)
		cut, helper := pair(t, address)
		helper.Drain(t.Context())
		assertDialFails(t, cut, address, true)
	})
	t.Run("two upstreams that only the other one reaches show that an instance is cut off", func(t *testing.T) {
		first, second := alive(t), alive(t)
		cut, _ := pair(t, first, second)
		for _, address := range []string{first, second} {
			must.False(t, cut.IsCutOff())
			connection, err := cut.DialUpstream(t.Context(), address)
			must.NoError(t, err)
			must.NoError(t, connection.Close())
		}
		must.True(t, cut.IsCutOff())
		must.Eq(t, int64(2), cut.Relayed())
	})
}

// TestDrainWaits checks that an instance that stops waits for the connections that others have through it.
func TestDrainWaits(t *testing.T) {
	release := make(chan struct{})
	address := newUpstream(t, func(connection *net.TCPConn) {
		<-release
		_ = connection.Close()
	})
	cut, helper := pair(t, address)
	connection, err := cut.DialUpstream(t.Context(), address)
	must.NoError(t, err)
	defer connection.Close()
	drained := make(chan struct{})
	go func() { defer close(drained); helper.Drain(t.Context()) }()
	select {
	case <-drained:
		must.Unreachable(t)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	<-drained
}

// TestStoppingInstanceIsNotAsked guards against connections through an instance that ends before the requests on them do.
func TestStoppingInstanceIsNotAsked(t *testing.T) {
	address := newUpstream(t, func(connection *net.TCPConn) { _ = connection.Close() })
	cut, helper := pair(t, address)
	connection, err := cut.DialUpstream(t.Context(), address)
	must.NoError(t, err)
	must.NoError(t, connection.Close())
	helper.Refuse()
	_, err = cut.DialUpstream(t.Context(), address)
	must.Error(t, err)
	must.Eq(t, int64(1), cut.Relayed())
}

// TestResetBesideAnUploadLooksRegular guards against an upstream that resets its connection while the other instance still writes to it, and
// whose answer seems to have ended regularly.
func TestResetBesideAnUploadLooksRegular(t *testing.T) {
	const (
		tries = 120
		size  = 2 << 20
	)
	address := newUpstream(t, func(connection *net.TCPConn) {
		_, _ = connection.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(connection, "a part")
		time.Sleep(rand.N(20 * time.Millisecond))
		_ = connection.SetLinger(0)
		_ = connection.Close()
	})
	cut, _ := pair(t, address)
	body, regular := make([]byte, size), 0
	for range tries {
		connection, err := cut.DialUpstream(t.Context(), address)
		must.NoError(t, err)
		written := make(chan struct{})
		go func() { defer close(written); _, _ = connection.Write(body) }()
		if _, err = io.ReadAll(connection); err == nil {
			regular++
		}
		must.NoError(t, connection.Close())
		<-written
	}
	must.Zero(t, regular, must.Sprintf("regular ends of %d resets", tries))
}
