package memorybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

const maxConnections = 4

// accept counts n connections, a millisecond apart.
func (bs *bodies) accept(n int) []*memorybudget.Connection {
	bs.t.Helper()
	accepted := []*memorybudget.Connection{}
	for range n {
		bs.now = bs.now.Add(time.Millisecond)
		cn, actions := bs.budget.Accept(bs.now)
		must.SliceEmpty(bs.t, actions)
		accepted = append(accepted, cn)
	}
	return accepted
}

// closed accepts one more connection and returns the one that is closed for it.
func (bs *bodies) closed() (accepted, closed *memorybudget.Connection) {
	bs.t.Helper()
	accepted, actions := bs.budget.Accept(bs.now)
	must.SliceLen(bs.t, 1, actions)
	action := actions[0].(memorybudget.CloseConnection)
	must.Eq(bs.t, memorybudget.TooManyConnections, action.Cause)
	return accepted, action.Connection
}

// TestConnectionsBeyondTheMaximum guards against a process without descriptors left, and against closing a connection that is in use while
// another one is idle or stuck in its head.
func TestConnectionsBeyondTheMaximum(t *testing.T) {
	bs := newBodies(t)
	list := bs.accept(maxConnections)
	bs.budget.ReadHead(bs.now, list[0], 100)
	bs.budget.CompleteHead(list[0])
	bs.budget.ReadHead(bs.now, list[1], 100)
	bs.budget.ReadHead(bs.now.Add(time.Millisecond), list[2], 100)
	bs.budget.CompleteRequest(list[0])
	fifth, closed := bs.closed()
	must.Eq(t, list[3], closed, must.Sprint("the idle one"))
	bs.budget.ReadHead(bs.now.Add(time.Second), fifth, 1)
	sixth, closed := bs.closed()
	must.Eq(t, list[1], closed, must.Sprint("the oldest head"))
	for _, cn := range []*memorybudget.Connection{list[2], fifth, sixth} {
		bs.budget.ReadHead(bs.now, cn, 1)
		bs.budget.CompleteHead(cn)
		bs.budget.CompleteRequest(cn)
	}
	seventh, closed := bs.closed()
	must.Eq(t, seventh, closed, must.Sprint("the new one, as all others are served"))
	must.Eq(t, maxConnections, bs.budget.Usage().Connections)
	bs.budget.Idle(bs.now, fifth)
	_, closed = bs.closed()
	must.Eq(t, fifth, closed)
}

// TestStalledBodiesKeepConnections guards against callers that take all connections with bodies that stop before their end.
func TestStalledBodiesKeepConnections(t *testing.T) {
	bs := newBodies(t)
	bs.budget = memorybudget.New(memorybudget.Limits{Connections: 16, HeadBytes: mebibyte, BodyBytes: mebibyte, ShortBytes: mebibyte})
	stalled := bs.fill("a", 100)
	for _, cn := range bs.accept(16) {
		bs.budget.ReadHead(bs.now, cn, 1)
		bs.budget.CompleteHead(cn)
	}
	bs.advance(time.Second)
	_, actions := bs.budget.Accept(bs.now)
	must.Eq(t, []memorybudget.Action{memorybudget.YieldBody{Body: stalled, Cause: memorybudget.Stalled}}, actions)
}

// TestHeadsBeyondTheMemory guards against many incomplete heads of legal size that exceed the memory once parsed.
func TestHeadsBeyondTheMemory(t *testing.T) {
	bs := newBodies(t)
	list := bs.accept(3)
	half := mebibyte / memorybudget.HeadWeight / 2
	must.SliceEmpty(t, bs.budget.ReadHead(bs.now, list[1], half))
	must.SliceEmpty(t, bs.budget.ReadHead(bs.now.Add(1), list[0], half))
	actions := bs.budget.ReadHead(bs.now.Add(2), list[2], 1)
	must.Eq(t, []memorybudget.Action{memorybudget.CloseConnection{Connection: list[1], Cause: memorybudget.HeadsFull}}, actions)
	must.Eq(t, int64(half+1)*memorybudget.HeadWeight, bs.budget.Usage().HeadBytes)
	bs.budget.CompleteHead(list[0])
	must.Eq(t, int64(half+1)*memorybudget.HeadWeight, bs.budget.Usage().HeadBytes, must.Sprint("its body is not complete"))
	bs.budget.CompleteRequest(list[0])
	bs.budget.Idle(bs.now, list[2])
	must.Eq(t, int64(0), bs.budget.Usage().HeadBytes)
}

// TestHeadOverTheLimit guards against a head beyond the configured limit that is read on, and against a legal one that is refused, since the
// bytes after it were read with it.
func TestHeadOverTheLimit(t *testing.T) {
	bs := newBodies(t)
	bs.budget.Configure(memorybudget.CallerLimits{HeadBytes: 16 << 10})
	cn := bs.accept(1)[0]
	must.SliceEmpty(t, bs.budget.ReadHead(bs.now, cn, 20<<10))
	must.Eq(t, []memorybudget.Action{memorybudget.RefuseHead{Connection: cn}}, bs.budget.ReadHead(bs.now, cn, 1))
	must.Eq(t, int64(0), bs.budget.Usage().HeadBytes)
	bs.budget.Close(cn)
	bs.budget.Close(cn)
	must.Eq(t, memorybudget.Usage{}, bs.budget.Usage())
}

// TestOverdueConnections guards against heads and idle connections without end, and against those that a caller may still use.
func TestOverdueConnections(t *testing.T) {
	bs := newBodies(t)
	bs.budget.Configure(memorybudget.CallerLimits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	list := bs.accept(2)
	bs.budget.ReadHead(bs.now, list[1], 1)
	begun := bs.now
	must.SliceEmpty(t, bs.budget.Tick(begun.Add(3*time.Second)))
	must.Eq(t, []memorybudget.Action{memorybudget.CloseConnection{Connection: list[1], Cause: memorybudget.HeadTimeout}}, bs.budget.Tick(begun.Add(3750*time.Millisecond)))
	must.SliceEmpty(t, bs.budget.Tick(begun.Add(15*time.Second)))
	must.Eq(t, []memorybudget.Action{memorybudget.CloseConnection{Connection: list[0], Cause: memorybudget.IdleTimeout}}, bs.budget.Tick(begun.Add(18750*time.Millisecond)))
}

// TestManyUploadsAtOnce guards against closing the connections of legal uploads: the beginning of a body, which is read together with the head,
// counted like a head until the body was complete.
func TestManyUploadsAtOnce(t *testing.T) {
	budget := memorybudget.New(memorybudget.LimitsOf(144<<20, 3075))
	now := time.Unix(1, 0)
	for range 400 {
		cn, actions := budget.Accept(now)
		must.SliceEmpty(t, actions)
		must.SliceEmpty(t, budget.ReadHead(now, cn, 4096))
		budget.CompleteHead(cn)
		budget.ParsedHead(cn, 2048)
	}
	must.Eq(t, 400*2048, budget.Usage().HeadBytes)
}
