package memoryguard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Parts holds the dependencies of a guard.
type Parts struct {
	Limits memorybudget.Limits
	// Caller returns the limits of single callers in force.
	Caller func() memorybudget.CallerLimits
	Timers *timer.Service
	Events *timeline.Ring
}

// Guard enforces a budget; it is safe for concurrent use.
type Guard struct {
	Parts

	mu          sync.Mutex
	budget      *memorybudget.Budget
	connections map[*memorybudget.Connection]*Conn
	bodies      map[*memorybudget.Body]*Body
	// bodyWaits holds a value after a body has begun to wait, so that Run shortens its sleep.
	bodyWaits chan struct{}
}

// New returns a guard; it enforces timeouts only while Run is running.
func New(parts Parts) *Guard {
	gd := &Guard{
		Parts: parts, budget: memorybudget.New(parts.Limits),
		connections: map[*memorybudget.Connection]*Conn{}, bodies: map[*memorybudget.Body]*Body{},
		bodyWaits: make(chan struct{}, 1),
	}
	gd.budget.Configure(parts.Caller())
	return gd
}

// Run enforces the timeouts of connections and bodies until ctx ends, then closes done.
func (gd *Guard) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for next := memorybudget.MinTick; gd.sleep(ctx, next) == nil; {
		gd.update(func(now time.Time) []memorybudget.Action {
			gd.budget.Configure(gd.Caller())
			actions := gd.budget.Tick(now)
			next = gd.budget.NextTick(now)
			return actions
		})
	}
}

// sleep waits for d, but at most for memorybudget.MinTick once a body has begun to wait. It returns ctx.Err() if the context ends first.
func (gd *Guard) sleep(ctx context.Context, d time.Duration) error {
	if d > memorybudget.MinTick {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-gd.Timers.After(d):
			return nil
		case <-gd.bodyWaits:
		}
	}
	return gd.Timers.Sleep(ctx, memorybudget.MinTick)
}

// notifyBodyWaits makes Run shorten its sleep.
func (gd *Guard) notifyBodyWaits() {
	select {
	case gd.bodyWaits <- struct{}{}:
	default:
	}
}

// Usage returns the part of the budget that is in use.
func (gd *Guard) Usage() memorybudget.Usage {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.budget.Usage()
}

// update makes a decision and executes its actions under the lock; it records the events after that.
func (gd *Guard) update(decide func(now time.Time) []memorybudget.Action) {
	now := gd.Timers.Now()
	gd.mu.Lock()
	events := gd.execute(decide(now))
	gd.mu.Unlock()
	for _, event := range events {
		gd.Events.Record(event)
	}
}

// execute executes actions and returns the events to record. The caller holds the lock.
func (gd *Guard) execute(actions []memorybudget.Action) []*wire.Event {
	events := []*wire.Event(nil)
	for _, each := range actions {
		switch action := each.(type) {
		case memorybudget.CloseConnection:
			closed := gd.connections[action.Connection]
			delete(gd.connections, action.Connection)
			closed.abort()
			if action.Cause != memorybudget.IdleTimeout {
				// An idle timeout is how most connections end, and is not logged.
				events = append(events, closed.event(action.Cause))
			}
		case memorybudget.RefuseHead:
			refused := gd.connections[action.Connection]
			refused.isHeadRefused.Store(true)
			events = append(events, refused.event(memorybudget.HeadTooLong))
		case memorybudget.GrantBody:
			gd.bodies[action.Body].decisions <- Granted{}
		case memorybudget.RefuseBody:
			gd.bodies[action.Body].decisions <- Refused{Cause: action.Cause, RetryAfter: action.RetryAfter}
		case memorybudget.YieldBody:
			gd.bodies[action.Body].yield(action.Cause)
		}
	}
	return events
}

// Listen returns a listener whose connections the guard counts; inner must accept TCP connections. The server must use the guard's ConnState.
func (gd *Guard) Listen(inner net.Listener) net.Listener {
	return guardedListener{Listener: inner, guard: gd}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that the guard does not close at once.
func (gl guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := gl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, is := accepted.(*net.TCPConn)
		if !is {
			return nil, fmt.Errorf("expected a TCP connection, got %T", accepted)
		}
		if cn := gl.guard.accept(tcp); !cn.isAborted.Load() {
			return cn, nil
		}
	}
}

func (gd *Guard) accept(tcp *net.TCPConn) *Conn {
	cn := &Conn{TCPConn: tcp, guard: gd}
	cn.isReadingHead.Store(true)
	gd.update(func(now time.Time) []memorybudget.Action {
		gd.budget.Configure(gd.Caller())
		counted, actions := gd.budget.Accept(now)
		cn.counted, cn.acceptedAt = counted, now
		gd.connections[counted] = cn
		return actions
	})
	return cn
}

// ConnState follows the states of connections; it is the hook ConnState of http.Server.
func (gd *Guard) ConnState(connection net.Conn, state http.ConnState) {
	cn, is := connection.(*Conn)
	if !is {
		return
	}
	switch state {
	case http.StateActive:
		cn.isReadingHead.Store(false)
		gd.update(func(time.Time) []memorybudget.Action {
			gd.budget.CompleteHead(cn.counted)
			return nil
		})
	case http.StateIdle:
		gd.update(func(now time.Time) []memorybudget.Action {
			gd.budget.Idle(now, cn.counted)
			return nil
		})
		cn.isReadingHead.Store(true)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// HeadParsed records the memory that the head of the current request on a connection takes.
func (gd *Guard) HeadParsed(connection net.Conn, size int64) {
	if cn, is := connection.(*Conn); is {
		gd.update(func(time.Time) []memorybudget.Action {
			gd.budget.ParsedHead(cn.counted, size)
			return nil
		})
	}
}

// RequestComplete records that the request on a connection was read to its end, so that its head no longer counts.
func (gd *Guard) RequestComplete(connection net.Conn) {
	if cn, is := connection.(*Conn); is {
		gd.update(func(time.Time) []memorybudget.Action {
			gd.budget.CompleteRequest(cn.counted)
			return nil
		})
	}
}

// RecordRefusal records the event of a request that was refused before it was served.
func (gd *Guard) RecordRefusal(refusal Refusal) {
	gd.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventBodyRefused, RequestId: refusal.RequestID, Organisation: refusal.Organisation, Cause: string(refusal.Cause),
		Detail: refusal.Detail, DurationMicros: refusal.After.Microseconds(),
	})
}

// Refusal describes a request that was refused before it was served; After is the time since it arrived.
type Refusal struct {
	RequestID    string
	Organisation string
	Cause        memorybudget.Cause
	Detail       string
	After        time.Duration
}
