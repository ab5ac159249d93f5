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

// fakeTable is a table service with faults; probabilities are in percent.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	versions int64
	down     bool
	slow     time.Duration
	// lostResponsePercent is the probability that a commit is applied and its response lost.
	lostResponsePercent int
	// lateCommitPercent is the probability that a commit returns Unknown and is applied later.
	lateCommitPercent int
	// ignoreConditions applies transactions although their conditions fail; the checks must notice.
	ignoreConditions bool
	reads, commits   int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]table.Row{}}
}

func (ft *fakeTable) findRows(matches func(key string) bool) []table.Row {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.reads++
	found := []table.Row{}
	for key, row := range ft.rows {
		if matches(key) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Key < found[right].Key })
	return found
}

func (ft *fakeTable) apply(transaction table.Transaction) []string {
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

// callFaults is the delay and the faults of one call to the table service.
type callFaults struct {
	delay                          time.Duration
	down, loseResponse, commitLate bool
}

func (ft *fakeTable) drawFaults(random *entropy.Source) callFaults {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return callFaults{
		delay: ft.slow + time.Millisecond + random.DurationUpTo(time.Millisecond), down: ft.down,
		loseResponse: random.IntN(100) < ft.lostResponsePercent, commitLate: random.IntN(100) < ft.lateCommitPercent,
	}
}

// tableLink is one node's connection to the table service.
type tableLink struct {
	table *fakeTable
	node  *node
}

func (tl tableLink) call(ctx context.Context) (callFaults, bool) {
	faults := tl.table.drawFaults(tl.node.random)
	if faults.down || tl.node.cutFromPlatform.Load() || tl.node.dead.Load() {
		sleep(ctx, time.Millisecond)
		return faults, false
	}
	return faults, sleep(ctx, faults.delay)
}

func (tl tableLink) read(ctx context.Context, matches func(string) bool) table.Outcome {
	if _, ok := tl.call(ctx); !ok {
		return table.Unavailable{Cause: "fake"}
	}
	rows := tl.table.findRows(matches)
	tl.node.waitWhileFrozen()
	return table.Rows{Rows: rows}
}

func (tl tableLink) Read(ctx context.Context, keys ...string) table.Outcome {
	return tl.read(ctx, func(key string) bool { return slices.Contains(keys, key) })
}

func (tl tableLink) List(ctx context.Context, prefix string) table.Outcome {
	return tl.read(ctx, func(key string) bool { return strings.HasPrefix(key, prefix) })
}

func (tl tableLink) Commit(ctx context.Context, transaction table.Transaction) table.Outcome {
	faults, ok := tl.call(ctx)
	if !ok {
		if ctx.Err() != nil && !faults.down {
			return table.Unknown{Cause: "fake: timeout"}
		}
		return table.Unavailable{Cause: "fake"}
	}
	if faults.commitLate {
		time.AfterFunc(3*time.Second, func() { tl.table.apply(transaction) })
		return table.Unknown{Cause: "fake: commits late"}
	}
	conflicts := tl.table.apply(transaction)
	tl.node.waitWhileFrozen()
	switch {
	case faults.loseResponse:
		return table.Unknown{Cause: "fake: response lost"}
	case len(conflicts) > 0:
		return table.Conflict{Keys: conflicts}
	default:
		return table.Committed{}
	}
}

func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// fakeUpstream is an upstream whose faults are set by the test.
type fakeUpstream struct {
	mu                  sync.Mutex
	name                string
	domain              string
	kind                document.Kind
	serviceTime         time.Duration
	down                bool
	silent              bool
	slowFactor          int
	leaving             bool
	crashOn             string
	breakAfterTokens    int
	answerPrevious      bool
	wrongContent        bool
	garbage             bool
	closeAfterExecuting bool
	restartDelay        time.Duration
	previous            *upstream.Call
	brokenStreams       map[string]bool
	executions          map[string]int
	arrivals            []time.Time
	state               order.State
	fencingToken        int64
	checksFence         bool
	accepted            []int64
	crashes             int
	crashesByContent    map[string]int
	running             map[*upstream.Call]chan struct{}
}

// fakeUpstreams holds all upstreams, by address.
type fakeUpstreams struct {
	byAddress map[string]*fakeUpstream
}

// upstreamLink is one node's connection to the upstreams.
type upstreamLink struct {
	all  *fakeUpstreams
	node *node
}

func (cl upstreamLink) Do(ctx context.Context, call *upstream.Call) upstream.Outcome {
	up := cl.all.byAddress[call.Address]
	if cl.node.dead.Load() || cl.node.cutFromUpstreams.Load() {
		sleep(ctx, time.Millisecond)
		return upstream.NotSent{Cause: "fake: no route"}
	}
	if cl.node.fleet.isBlocked(cl.node.domain, up.domain) {
		sleep(ctx, 500*time.Millisecond)
		return upstream.NotSent{Cause: "fake: connection timed out"}
	}
	cl.node.waitWhileFrozen()
	return up.do(ctx, call)
}

func (fu *fakeUpstream) do(ctx context.Context, call *upstream.Call) upstream.Outcome {
	fu.mu.Lock()
	if fu.down {
		fu.mu.Unlock()
		return upstream.NotSent{Cause: "fake: connection refused"}
	}
	if fu.leaving {
		fu.mu.Unlock()
		return upstream.Refused{Leaving: true, NotRun: true, Load: -1}
	}
	fu.arrivals = append(fu.arrivals, time.Now())
	key := callContent(call)
	if fu.crashOn != "" && strings.Contains(key, fu.crashOn) {
		fu.crashesByContent[key]++
		fu.crash()
		fu.mu.Unlock()
		return upstream.Broken{Cause: "fake: crashed on this call", Died: true}
	}
	died := make(chan struct{})
	fu.running[call] = died
	length := fu.serviceTime/2 + randomServiceTime(call, fu.serviceTime)
	if fu.slowFactor > 0 {
		length *= time.Duration(fu.slowFactor)
	}
	silent := fu.silent
	fu.mu.Unlock()
	defer fu.finish(call)
	if silent {
		<-ctx.Done()
		return upstream.Broken{Cause: "fake: no response"}
	}
	select {
	case <-time.After(length):
		return fu.respond(call, key)
	case <-died:
		return upstream.Broken{Cause: "fake: crashed during another call", Died: true}
	case <-ctx.Done():
		fu.execute(call, key)
		return upstream.Broken{Cause: ctx.Err().Error()}
	}
}

// randomServiceTime returns a duration below longest that depends only on the call's identity.
func randomServiceTime(call *upstream.Call, longest time.Duration) time.Duration {
	share := hashOf(call.Identity.RequestID, call.Identity.Stage, fmt.Sprint(call.Identity.Attempt)) % 1e6
	return longest * time.Duration(share) / 1e6
}

func (fu *fakeUpstream) finish(call *upstream.Call) {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	delete(fu.running, call)
}

// crash ends the process and all calls that it runs; the process restarts after restartDelay.
func (fu *fakeUpstream) crash() {
	fu.crashes++
	fu.down = true
	for call, died := range fu.running {
		close(died)
		delete(fu.running, call)
	}
	if fu.restartDelay > 0 {
		time.AfterFunc(fu.restartDelay, func() {
			fu.mu.Lock()
			defer fu.mu.Unlock()
			fu.down = false
		})
	}
}

// arrivalCount returns the number of calls so far.
func (fu *fakeUpstream) arrivalCount() int {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	return len(fu.arrivals)
}

// execute counts the execution of a call if the upstream is a plain service.
func (fu *fakeUpstream) execute(call *upstream.Call, key string) {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	if call.Kind == document.Service {
		fu.executions[key]++
	}
}

func (fu *fakeUpstream) respond(call *upstream.Call, key string) upstream.Outcome {
	fu.execute(call, key)
	fu.mu.Lock()
	defer fu.mu.Unlock()
	identity := call.Identity
	if fu.answerPrevious && fu.previous != nil {
		identity = fu.previous.Identity
	}
	answered := call
	if fu.wrongContent && fu.previous != nil {
		answered = fu.previous
	}
	fu.previous = call
	switch {
	case fu.garbage:
		return upstream.Garbage{Cause: "fake"}
	case fu.closeAfterExecuting:
		return upstream.Broken{Cause: "fake: closed after executing"}
	case call.Kind == document.Engine:
		return fu.stream(call, answered)
	default:
		return upstream.Replied{Identity: identity, Payload: expectedPayload(answered), Load: int64(len(fu.running)) - 1}
	}
}

// stream sends an engine's tokens. With breakAfterTokens set, the first stream of each request breaks off.
func (fu *fakeUpstream) stream(call, answered *upstream.Call) upstream.Outcome {
	payload := expectedPayload(answered)
	start := len(call.Payload.Tokens)
	last := len(payload.Tokens)
	breaks := fu.breakAfterTokens > 0 && !fu.brokenStreams[call.Identity.RequestID]
	if breaks {
		fu.brokenStreams[call.Identity.RequestID] = true
		last = min(start+fu.breakAfterTokens, last)
	}
	for index := start; index < last; index++ {
		if call.OnToken != nil {
			call.OnToken(index, payload.Tokens[index])
		}
	}
	if breaks {
		return upstream.Broken{Cause: "fake: stream broke", Tokens: payload.Tokens[:last]}
	}
	return upstream.Replied{Identity: call.Identity, Payload: payload, Load: int64(len(fu.running)) - 1}
}

func (cl upstreamLink) Reachable(ctx context.Context, address string) bool {
	up := cl.all.byAddress[address]
	if cl.node.dead.Load() || cl.node.cutFromUpstreams.Load() || cl.node.fleet.isBlocked(cl.node.domain, up.domain) || !sleep(ctx, time.Millisecond) {
		return false
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return !up.down
}

func (cl upstreamLink) ReadEngine(ctx context.Context, address string) (order.State, error) {
	up := cl.all.byAddress[address]
	if cl.node.dead.Load() || !sleep(ctx, time.Millisecond) {
		return order.State{}, context.Canceled
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.state, nil
}

func (cl upstreamLink) OrderEngine(ctx context.Context, address string, fencingToken int64, desired order.State) error {
	up := cl.all.byAddress[address]
	cl.node.waitWhileFrozen()
	if cl.node.dead.Load() || !sleep(ctx, time.Millisecond) {
		return context.Canceled
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.checksFence && fencingToken < up.fencingToken {
		return context.Canceled
	}
	up.fencingToken, up.state = fencingToken, desired
	up.accepted = append(up.accepted, fencingToken)
	return nil
}

// callContent returns the content of a call, by which crashes and executions are counted.
func callContent(call *upstream.Call) string {
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

// expectedPayload returns the payload with which a healthy upstream answers a call; it depends only on the call.
func expectedPayload(call *upstream.Call) upstream.Payload {
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
