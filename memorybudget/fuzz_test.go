package memorybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

// modelBody is what the fuzz test knows of a body.
type modelBody struct {
	body   *memorybudget.Body
	length int64
	held   int64
	wanted int64
	// isOver is set once it was refused or asked to yield.
	isOver   bool
	complete bool
}

// model replays operations on a budget and checks its decisions.
type model struct {
	*bodies
	live        []*modelBody
	connections map[*memorybudget.Connection]int64
	order       []*memorybudget.Connection
	heads       int64
}

// take executes actions as the owner of a budget does.
func (md *model) take(actions []memorybudget.Action) {
	for _, each := range actions {
		switch action := each.(type) {
		case memorybudget.GrantBody:
			bd := md.find(action.Body)
			must.Positive(md.t, bd.wanted, must.Sprint("granted to a body that does not wait"))
			bd.held, bd.wanted = bd.held+bd.wanted, 0
		case memorybudget.RefuseBody:
			bd := md.find(action.Body)
			must.Positive(md.t, bd.wanted, must.Sprint("refused a body that does not wait"))
			bd.wanted, bd.isOver = 0, true
		case memorybudget.YieldBody:
			bd := md.find(action.Body)
			must.False(md.t, bd.complete || bd.isOver || bd.wanted > 0, must.Sprint("a body that does not stall must yield"))
			bd.isOver = true
		case memorybudget.CloseConnection:
			must.MapContainsKey(md.t, md.connections, action.Connection)
			md.closed(action.Connection)
		}
	}
}

func (md *model) find(body *memorybudget.Body) *modelBody {
	md.t.Helper()
	for _, bd := range md.live {
		if bd.body == body {
			return bd
		}
	}
	md.t.Fatal("an action for a body that was released")
	return nil
}

func (md *model) closed(cn *memorybudget.Connection) {
	md.heads -= md.connections[cn]
	delete(md.connections, cn)
}

// apply executes one operation on a body or a connection that the argument selects.
func (md *model) apply(operation, argument byte) {
	if operation%16 >= 10 {
		md.applyToConnection(operation, argument)
		return
	}
	if operation%16 == 0 && len(md.live) < 24 {
		length := []int64{-1, 100, block, block + 1, longest}[argument%5]
		md.live = append(md.live, &modelBody{body: md.begin([]string{"a", "b", "c"}[argument%3], length), length: length})
		return
	}
	if operation%16 == 9 {
		md.now = md.now.Add(time.Duration(argument) * 10 * time.Millisecond)
		md.take(md.budget.Tick(md.now))
		return
	}
	if len(md.live) == 0 {
		return
	}
	at := int(argument) % len(md.live)
	bd := md.live[at]
	switch {
	case operation%16 >= 7:
		md.live = append(md.live[:at], md.live[at+1:]...)
		md.take(md.budget.Release(md.now, bd.body))
		must.SliceEmpty(md.t, md.budget.Release(md.now, bd.body))
	case operation%16 == 6 && bd.wanted == 0 && !bd.complete:
		mayRun, actions := md.budget.Complete(md.now, bd.body)
		must.Eq(md.t, !bd.isOver, mayRun)
		bd.complete = mayRun
		md.take(actions)
	case operation%16 == 5:
		md.budget.Receive(md.now, bd.body, int(argument)*64)
	case bd.wanted == 0 && !bd.complete:
		md.growBody(bd, operation)
	}
}

func (md *model) growBody(bd *modelBody, operation byte) {
	size := []int64{100, memorybudget.FirstBytes, block, block, block}[operation%16%5]
	if bd.length >= 0 {
		size = min(size, bd.length-bd.held)
	} else {
		size = min(size, longest-bd.held)
	}
	if size <= 0 {
		return
	}
	wasOver := bd.isOver
	if !wasOver {
		bd.wanted = size
	}
	granted, actions := md.budget.Grow(md.now, bd.body, size)
	if granted {
		must.False(md.t, wasOver)
		bd.held, bd.wanted = bd.held+size, 0
	}
	md.take(actions)
}

func (md *model) applyToConnection(operation, argument byte) {
	if operation%16 == 10 {
		cn, actions := md.budget.Accept(md.now)
		md.connections[cn] = 0
		md.order = append(md.order, cn)
		md.take(actions)
		return
	}
	if len(md.order) == 0 {
		return
	}
	cn := md.order[int(argument)%len(md.order)]
	_, open := md.connections[cn]
	switch operation % 16 {
	case 11, 12:
		count := int(argument) * 100
		if open {
			md.connections[cn] += int64(count) * memorybudget.HeadWeight
			md.heads += int64(count) * memorybudget.HeadWeight
		}
		md.take(md.budget.ReadHead(md.now, cn, count))
	case 13:
		md.budget.CompleteHead(cn)
	case 14:
		md.budget.CompleteRequest(cn)
		md.forgetHead(cn)
	default:
		if argument%2 == 0 {
			md.budget.Idle(md.now, cn)
			md.forgetHead(cn)
			return
		}
		md.budget.Close(cn)
		if open {
			md.closed(cn)
		}
	}
}

func (md *model) forgetHead(cn *memorybudget.Connection) {
	if held, open := md.connections[cn]; open {
		md.heads -= held
		md.connections[cn] = 0
	}
}

// check compares the budget with the model.
func (md *model) check() {
	usage := md.budget.Usage()
	held, short, waits := int64(0), int64(0), 0
	for _, bd := range md.live {
		held += bd.held
		if bd.length >= 0 && bd.length <= block || bd.length < 0 && bd.held <= memorybudget.FirstBytes {
			short += bd.held
		}
		if bd.wanted > 0 {
			waits++
		}
	}
	must.Eq(md.t, held, usage.BodyBytes)
	must.LessEq(md.t, int64(capacity+shortCapacity), held)
	must.LessEq(md.t, int64(capacity), held-min(short, shortCapacity), must.Sprint("long bodies take the memory of short ones"))
	must.Eq(md.t, waits, usage.WaitingBodies)
	for _, bd := range md.live {
		if bd.wanted > 0 && bd.length >= 0 && bd.length <= block {
			must.Greater(md.t, int64(shortCapacity), short+bd.wanted, must.Sprint("a short body waits for long ones"))
		}
	}
	must.Eq(md.t, len(md.connections), usage.Connections)
	must.LessEq(md.t, maxConnections, usage.Connections)
	must.Eq(md.t, md.heads, usage.HeadBytes)
	must.LessEq(md.t, int64(mebibyte), usage.HeadBytes)
}

// FuzzBudget guards against memory that is lost or released twice, a budget that is exceeded, a short body that waits for long ones, and a body
// that waits without end.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 4, 1, 0, 2, 0, 5, 200, 6, 0, 7, 0})
	f.Add([]byte{0, 4, 0, 4, 0, 4, 0, 4, 0, 4, 2, 0, 2, 1, 2, 2, 2, 3, 2, 4, 9, 250, 9, 250, 7, 0})
	f.Add([]byte{0, 0, 0, 1, 0, 2, 1, 0, 2, 0, 3, 1, 4, 2, 9, 101, 0, 5, 2, 3, 8, 1})
	f.Add([]byte{10, 0, 10, 0, 11, 0, 12, 201, 13, 0, 10, 0, 10, 0, 10, 0, 10, 0, 14, 0, 15, 0, 15, 1})
	f.Fuzz(run)
}

// maxOperations bounds the bytes of one run: the fuzzer also tries inputs of a mebibyte.
const maxOperations = 600

// run replays operations and releases everything afterwards.
func run(t *testing.T, operations []byte) {
	operations = operations[:min(len(operations), maxOperations)]
	md := &model{bodies: newBodies(t), connections: map[*memorybudget.Connection]int64{}}
	for at := 0; at+1 < len(operations); at += 2 {
		md.apply(operations[at], operations[at+1])
		md.check()
	}
	for _, bd := range md.live {
		if bd.complete {
			md.take(md.budget.Release(md.now, bd.body))
			bd.held = 0
		}
	}
	md.now = md.now.Add(5 * time.Second)
	md.take(md.budget.Tick(md.now))
	md.now = md.now.Add(5 * time.Second)
	md.take(md.budget.Tick(md.now))
	for _, bd := range md.live {
		must.Eq(t, int64(0), bd.wanted, must.Sprint("a body waits without end"))
		md.take(md.budget.Release(md.now, bd.body))
	}
	for _, cn := range md.order {
		md.budget.Close(cn)
	}
	must.Eq(t, memorybudget.Usage{}, md.budget.Usage())
}
