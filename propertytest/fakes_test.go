package propertytest

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/order"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// fakeTable is the table service with its faults. Chances are in percent.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	versions int64
	down     bool
	slow     time.Duration
	// loseAnswer is the chance that a commit is carried out and its answer lost.
	loseAnswer int
	// landLate is the chance that a commit is answered with Unknown and carried out later.
	landLate int
	// ignoreConditions is a broken variant.
	ignoreConditions bool
	reads, commits   int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]table.Row{}}
}

func (ft *fakeTable) get(pick func(key string) bool) []table.Row {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.reads++
	found := []table.Row{}
	for key, row := range ft.rows {
		if pick(key) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Key < found[right].Key })
	return found
}

func (ft *fakeTable) carryOut(transaction table.Transaction) []string {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.commits++
	conflicts := []string{}
	for _, condition := range transaction.Conditions {
		if ft.rows[condition.Key].Version != condition.Version && !ft.ignoreConditions {
			conflicts = append(conflicts, condition.Key)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(ft.rows, write.Key)
			continue
		}
		ft.versions++
		ft.rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Version: ft.versions}
	}
	return nil
}

// fate draws what becomes of a call.
type fate struct {
	delay              time.Duration
	down, lose, isLate bool
}

func (ft *fakeTable) fate(chance *entropy.Source) fate {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return fate{
		delay: ft.slow + time.Millisecond + chance.DurationUpTo(time.Millisecond), down: ft.down,
		lose: chance.IntN(100) < ft.loseAnswer, isLate: chance.IntN(100) < ft.landLate,
	}
}

// tableLink is the table service as one node reaches it.
type tableLink struct {
	table *fakeTable
	node  *node
}

func (tl tableLink) call(ctx context.Context) (fate, bool) {
	drawn := tl.table.fate(tl.node.chance)
	if drawn.down || tl.node.cutFromPlatform.Load() || tl.node.dead.Load() {
		pause(ctx, time.Millisecond)
		return drawn, false
	}
	return drawn, pause(ctx, drawn.delay)
}

func (tl tableLink) read(ctx context.Context, pick func(string) bool) table.Outcome {
	if _, ok := tl.call(ctx); !ok {
		return table.Unavailable{Cause: "fake"}
	}
	rows := tl.table.get(pick)
	tl.node.holdWhileFrozen()
	return table.Rows{Rows: rows}
}

func (tl tableLink) Read(ctx context.Context, keys ...string) table.Outcome {
	return tl.read(ctx, func(key string) bool { return slices.Contains(keys, key) })
}

func (tl tableLink) List(ctx context.Context, prefix string) table.Outcome {
	return tl.read(ctx, func(key string) bool { return strings.HasPrefix(key, prefix) })
}

func (tl tableLink) Commit(ctx context.Context, transaction table.Transaction) table.Outcome {
	drawn, ok := tl.call(ctx)
	if !ok {
		if ctx.Err() != nil && !drawn.down {
			return table.Unknown{Cause: "fake: gave up waiting"}
		}
		return table.Unavailable{Cause: "fake"}
	}
	if drawn.isLate {
		time.AfterFunc(3*time.Second, func() { tl.table.carryOut(transaction) })
		return table.Unknown{Cause: "fake: will land late"}
	}
	conflicts := tl.table.carryOut(transaction)
	tl.node.holdWhileFrozen()
	switch {
	case drawn.lose:
		return table.Unknown{Cause: "fake: answer lost"}
	case len(conflicts) > 0:
		return table.Conflict{Keys: conflicts}
	default:
		return table.Committed{}
	}
}

func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// fakeUpstream is one back end; its faults are switched by the test.
type fakeUpstream struct {
	mu          sync.Mutex
	name        string
	domain      string
	kind        document.Kind
	service     time.Duration
	down        bool
	silent      bool
	slowFactor  int
	leaving     bool
	crashOn     string
	breakAfter  int
	answerOther bool
	lieContent  bool
	garbage     bool
	actThenDie  bool
	revive      time.Duration
	before      *upstream.Call
	ids         map[string]bool
	effects     map[string]int
	arrivals    []time.Time
	state       order.State
	fence       int64
	checksFence bool
	accepted    []int64
	crashes     int
	crashedOn   map[string]int
	running     map[*upstream.Call]chan struct{}
}

// fakeUpstreams are all back ends, by address.
type fakeUpstreams struct {
	byAddress map[string]*fakeUpstream
}

// callerLink is the back ends as one node reaches them.
type callerLink struct {
	all  *fakeUpstreams
	node *node
}

func (cl callerLink) Do(ctx context.Context, call *upstream.Call) upstream.Outcome {
	up := cl.all.byAddress[call.Address]
	if cl.node.dead.Load() || cl.node.cutFromUpstreams.Load() {
		pause(ctx, time.Millisecond)
		return upstream.NotSent{Cause: "fake: no route"}
	}
	if cl.node.fleet.isCut(cl.node.domain, up.domain) {
		pause(ctx, 500*time.Millisecond)
		return upstream.NotSent{Cause: "fake: no answer to the connection"}
	}
	cl.node.holdWhileFrozen()
	return up.do(ctx, call)
}

func (fu *fakeUpstream) do(ctx context.Context, call *upstream.Call) upstream.Outcome {
	fu.mu.Lock()
	if fu.down {
		fu.mu.Unlock()
		return upstream.NotSent{Cause: "fake: refused"}
	}
	if fu.leaving {
		fu.mu.Unlock()
		return upstream.Refused{Leaving: true, NotRun: true, Load: -1}
	}
	fu.arrivals = append(fu.arrivals, time.Now())
	key := contentOf(call)
	if fu.crashOn != "" && strings.Contains(key, fu.crashOn) {
		fu.crashedOn[key]++
		fu.crash()
		fu.mu.Unlock()
		return upstream.Broken{Cause: "fake: died", Died: true}
	}
	died := make(chan struct{})
	fu.running[call] = died
	length := fu.service/2 + drawn(call, fu.service)
	if fu.slowFactor > 0 {
		length *= time.Duration(fu.slowFactor)
	}
	silent := fu.silent
	fu.mu.Unlock()
	defer fu.forget(call)
	if silent {
		<-ctx.Done()
		return upstream.Broken{Cause: "fake: silent"}
	}
	select {
	case <-time.After(length):
		return fu.answer(call, key)
	case <-died:
		return upstream.Broken{Cause: "fake: died beside", Died: true}
	case <-ctx.Done():
		fu.act(call, key)
		return upstream.Broken{Cause: ctx.Err().Error()}
	}
}

// drawn is a time of up to longest that depends on the call alone.
func drawn(call *upstream.Call, longest time.Duration) time.Duration {
	share := hashOf(call.Identity.RequestID, call.Identity.Stage, fmt.Sprint(call.Identity.Attempt)) % 1e6
	return longest * time.Duration(share) / 1e6
}

func (fu *fakeUpstream) forget(call *upstream.Call) {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	delete(fu.running, call)
}

// crash ends the process and everything that runs on it; it comes back after a while.
func (fu *fakeUpstream) crash() {
	fu.crashes++
	fu.down = true
	for call, died := range fu.running {
		close(died)
		delete(fu.running, call)
	}
	if fu.revive > 0 {
		time.AfterFunc(fu.revive, func() {
			fu.mu.Lock()
			defer fu.mu.Unlock()
			fu.down = false
		})
	}
}

// arrived counts the calls so far.
func (fu *fakeUpstream) arrived() int {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	return len(fu.arrivals)
}

// act counts the effect of a plain service's call.
func (fu *fakeUpstream) act(call *upstream.Call, key string) {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	if call.Kind == document.Service {
		fu.effects[key]++
	}
}

func (fu *fakeUpstream) answer(call *upstream.Call, key string) upstream.Outcome {
	fu.act(call, key)
	fu.mu.Lock()
	defer fu.mu.Unlock()
	identity := call.Identity
	if fu.answerOther && fu.before != nil {
		identity = fu.before.Identity
	}
	answered := call
	if fu.lieContent && fu.before != nil {
		answered = fu.before
	}
	fu.before = call
	switch {
	case fu.garbage:
		return upstream.Garbage{Cause: "fake"}
	case fu.actThenDie:
		return upstream.Broken{Cause: "fake: closed after acting"}
	case call.Kind == document.Engine:
		return fu.stream(call, answered)
	default:
		return upstream.Replied{Identity: identity, Payload: computed(answered), Load: int64(len(fu.running)) - 1}
	}
}

// stream sends an engine's tokens, breaking off once for each request if that fault is on.
func (fu *fakeUpstream) stream(call, answered *upstream.Call) upstream.Outcome {
	payload := computed(answered)
	had := len(call.Payload.Tokens)
	last := len(payload.Tokens)
	cut := fu.breakAfter > 0 && !fu.ids[call.Identity.RequestID]
	if cut {
		fu.ids[call.Identity.RequestID] = true
		last = min(had+fu.breakAfter, last)
	}
	for index := had; index < last; index++ {
		if call.OnToken != nil {
			call.OnToken(index, payload.Tokens[index])
		}
	}
	if cut {
		return upstream.Broken{Cause: "fake: stream broke", Tokens: payload.Tokens[:last]}
	}
	return upstream.Replied{Identity: call.Identity, Payload: payload, Load: int64(len(fu.running)) - 1}
}

func (cl callerLink) Reachable(ctx context.Context, address string) bool {
	up := cl.all.byAddress[address]
	if cl.node.dead.Load() || cl.node.cutFromUpstreams.Load() || cl.node.fleet.isCut(cl.node.domain, up.domain) || !pause(ctx, time.Millisecond) {
		return false
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return !up.down
}

func (cl callerLink) ReadEngine(ctx context.Context, address string) (order.State, error) {
	up := cl.all.byAddress[address]
	if cl.node.dead.Load() || !pause(ctx, time.Millisecond) {
		return order.State{}, context.Canceled
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.state, nil
}

func (cl callerLink) OrderEngine(ctx context.Context, address string, fence int64, wanted order.State) error {
	up := cl.all.byAddress[address]
	cl.node.holdWhileFrozen()
	if cl.node.dead.Load() || !pause(ctx, time.Millisecond) {
		return context.Canceled
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.checksFence && fence < up.fence {
		return context.Canceled
	}
	up.fence, up.state = fence, wanted
	up.accepted = append(up.accepted, fence)
	return nil
}

// contentOf identifies what a call is about.
func contentOf(call *upstream.Call) string {
	return call.Payload.Query + string(call.Payload.Body)
}

func hashOf(parts ...string) uint32 {
	hash := fnv.New32a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum32()
}

// computed is what a healthy back end makes of a call; all of one kind agree.
func computed(call *upstream.Call) upstream.Payload {
	payload := call.Payload
	switch call.Kind {
	case document.Encoder:
		payload.Vector = []float64{float64(hashOf(payload.Query))}
	case document.Retriever:
		payload.Passages = nil
		for at := range call.Candidates {
			id := fmt.Sprintf("%08x", hashOf(fmt.Sprint(payload.Vector), fmt.Sprint(at)))
			payload.Passages = append(payload.Passages, upstream.Passage{ID: id, Text: "p" + id})
		}
	case document.Reranker:
		payload.Passages = append([]upstream.Passage{}, payload.Passages[:min(int64(len(payload.Passages)), call.Candidates)]...)
	case document.Engine:
		payload.Tokens = append([]string{}, call.Payload.Tokens...)
		for index := len(payload.Tokens); int64(index) < call.MaxTokens; index++ {
			payload.Tokens = append(payload.Tokens, fmt.Sprintf("%04x ", hashOf(upstream.Prompt(payload), fmt.Sprint(index))&0xffff))
		}
	case document.Service:
		payload.Body, _ = json.Marshal(map[string]string{"Did": string(call.Payload.Body)})
	}
	return payload
}
