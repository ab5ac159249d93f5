package memoryguard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/memoryguard"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

const block = 64 << 10

// newGuard runs a guard until the test ends.
func newGuard(t *testing.T, limits memorybudget.Limits, caller memorybudget.CallerLimits) *memoryguard.Guard {
	t.Helper()
	timers := timer.New()
	gd := memoryguard.New(memoryguard.Parts{
		Limits: limits, Caller: func() memorybudget.CallerLimits { return caller }, Timers: timers, Events: timeline.New("i", hlc.New(timers), 16, nil),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go gd.Run(ctx, done)
	t.Cleanup(func() { cancel(); <-done })
	return gd
}

// connection counts the interruptions of a body.
type connection struct {
	interrupted chan struct{}
}

func (cn connection) SetReadDeadline(time.Time) error {
	close(cn.interrupted)
	return nil
}

// TestBodiesAtOnce guards against memory that is lost, exceeded or waited for without end while many bodies grow, stall and end at the same time.
func TestBodiesAtOnce(t *testing.T) {
	const capacity = 32 * block
	gd := newGuard(t, memorybudget.Limits{BodyBytes: capacity + 4*block, ShortBytes: 4 * block}, memorybudget.CallerLimits{BodyBytes: 16 * block})
	outcomes, mu := map[string]int{}, sync.Mutex{}
	tasks := sync.WaitGroup{}
	for number := range 32 {
		tasks.Go(func() {
			for range 4 {
				cn := connection{interrupted: make(chan struct{})}
				bd := gd.Begin(memorybudget.BodySpec{Organisation: fmt.Sprint(number % 3), Length: 16 * block}, cn)
				decision := memoryguard.Decision(memoryguard.Granted{})
				for range 16 {
					if decision = bd.Grow(block); decision != (memoryguard.Granted{}) {
						break
					}
					bd.Receive(block)
				}
				if _, granted := decision.(memoryguard.Granted); granted && rand.IntN(8) == 0 {
					// It stops before its end.
					select {
					case <-cn.interrupted:
						decision = bd.Yielded()
					case <-time.After(3 * time.Second):
					}
				}
				if _, granted := decision.(memoryguard.Granted); granted {
					decision = bd.Complete()
				}
				must.LessEq(t, int64(capacity+4*block), gd.Usage().BodyBytes)
				bd.Release()
				bd.Release()
				mu.Lock()
				outcomes[fmt.Sprintf("%T", decision)]++
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	t.Log(outcomes)
	must.Positive(t, outcomes["memoryguard.Granted"])
	must.Eq(t, memorybudget.Usage{}, gd.Usage())
}

// serve serves requests on guarded connections and returns the address.
func serve(t *testing.T, gd *memoryguard.Guard) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: gd.ConnState}
	go func() { _ = server.Serve(gd.Listen(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	must.NoError(t, err)
	return conn
}

// assertAnswered checks that a request on a connection is answered.
func assertAnswered(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusOK, response.StatusCode)
}

const wholeHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestNewCallerAmongSilentOnes guards against callers that keep all connections with heads that never end, and lock out the others.
func TestNewCallerAmongSilentOnes(t *testing.T) {
	gd := newGuard(t, memorybudget.Limits{Connections: 8, HeadBytes: 1 << 20}, memorybudget.CallerLimits{})
	address := serve(t, gd)
	for range 40 {
		dial(t, address, "GET / HTTP/1.1\r\n")
	}
	assertAnswered(t, dial(t, address, wholeHead))
	must.LessEq(t, 8, gd.Usage().Connections)
}

// TestTimeoutsOfTheConfiguration guards against heads and idle connections that stay open, and against an idle one that is closed while its caller
// may still use it.
func TestTimeoutsOfTheConfiguration(t *testing.T) {
	gd := newGuard(t, memorybudget.Limits{Connections: 8, HeadBytes: 1 << 20}, memorybudget.CallerLimits{HeadTimeout: 400 * time.Millisecond, IdleTimeout: 1200 * time.Millisecond})
	address := serve(t, gd)
	idle := dial(t, address, wholeHead)
	assertAnswered(t, idle)
	began := time.Now()
	slow := dial(t, address, "GET / HTTP/1.1\r\n")
	_, err := slow.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Between(t, 400*time.Millisecond, time.Since(began), 1100*time.Millisecond)
	time.Sleep(time.Until(began.Add(1150 * time.Millisecond)))
	_, err = io.WriteString(idle, wholeHead)
	must.NoError(t, err)
	assertAnswered(t, idle)
	began = time.Now()
	_, err = idle.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Between(t, 1200*time.Millisecond, time.Since(began), 2200*time.Millisecond)
	must.Eq(t, memorybudget.Usage{}, gd.Usage())
}

// TestBodyThatWaitsEndsTheSleep guards against a body that waits much longer than until its deadline, since the guard sleeps while nothing waits.
func TestBodyThatWaitsEndsTheSleep(t *testing.T) {
	gd := newGuard(t, memorybudget.Limits{BodyBytes: 2 * block}, memorybudget.CallerLimits{BodyBytes: block})
	holder := gd.Begin(memorybudget.BodySpec{Organisation: "a", Length: 2 * block}, connection{interrupted: make(chan struct{})})
	must.Eq(t, memoryguard.Decision(memoryguard.Granted{}), holder.Grow(2*block))
	must.Eq(t, memoryguard.Decision(memoryguard.Granted{}), holder.Complete())
	// After three times the shortest sleep, the guard is in one of the longest.
	time.Sleep(3 * memorybudget.MinTick)
	began := time.Now()
	late := gd.Begin(memorybudget.BodySpec{
		Organisation: "b", Length: 2 * block, Deadline: began.Add(memorybudget.MinTick),
	}, connection{interrupted: make(chan struct{})})
	refused, is := late.Grow(block).(memoryguard.Refused)
	must.True(t, is)
	must.Eq(t, memorybudget.NoMemory, refused.Cause)
	must.Between(t, memorybudget.MinTick, time.Since(began), 5*memorybudget.MinTick)
	late.Release()
	holder.Release()
	must.Eq(t, memorybudget.Usage{}, gd.Usage())
}
