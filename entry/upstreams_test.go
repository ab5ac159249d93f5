package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
)

// upstream is one incarnation of a back end and the faults on it.
type upstream struct {
	roster.Upstream
	leftAt  time.Time
	crashed bool
	hangs   bool
	grey    bool
	running int
	// crashedOn counts the requests of each content that it died of.
	crashedOn map[string]int
}

// world is the upstreams, and what they saw.
type world struct {
	fleet   *fleet
	variant broken
	chance  *entropy.Source

	mu        sync.Mutex
	upstreams map[string]*upstream
	born      int64
	made      int
	// ran counts the runs of each attempt of a caller, arrivals lists what reached the upstreams of each pool.
	ran      map[string]int
	arrivals map[string][]arrival
	seen     map[string]int
	// kept are the results that lie at upstreams.
	kept map[string]bool
	// revoked is when each organisation lost its key.
	revoked  map[string]time.Time
	breaches []string
}

// arrival is a request or an item that reached an upstream; again says that it was not the first.
type arrival struct {
	at    time.Time
	again bool
}

const (
	workTime = 40 * time.Millisecond
	// leaveBound is how long after its leaving was acknowledged an upstream may still get work.
	leaveBound = 2 * time.Second
	// keyBound is how long a key may still be honoured.
	keyBound = 2 * time.Second
	eventGap = 15 * time.Millisecond
	events   = 4
)

func newWorld(fl *fleet, variant broken) *world {
	wd := &world{
		fleet: fl, variant: variant, chance: fl.chance.Fork("world"), upstreams: map[string]*upstream{}, ran: map[string]int{},
		arrivals: map[string][]arrival{}, seen: map[string]int{}, kept: map[string]bool{}, revoked: map[string]time.Time{},
	}
	for pool, count := range map[string]int{"model": 4, "plain": 4, "encode": 4, "rank": 2} {
		for at := range count {
			wd.register(fmt.Sprintf("%s-%d", pool, at), pool, domains[at%len(domains)])
		}
	}
	return wd
}

// breach notes a broken promise.
func (wd *world) breach(format string, args ...any) {
	wd.breaches = append(wd.breaches, fmt.Sprintf(format, args...))
}

// register starts an upstream and enters it in the store.
func (wd *world) register(id, pool, domain string) {
	wd.mu.Lock()
	wd.born++
	fresh := &upstream{
		Upstream:  roster.Upstream{ID: id, Pool: pool, Address: id, FailureDomain: domain, Slots: 8, StartUnixMs: wd.born},
		crashedOn: map[string]int{},
	}
	if before := wd.upstreams[id]; before != nil {
		fresh.crashedOn = before.crashedOn
	}
	wd.upstreams[id] = fresh
	wd.mu.Unlock()
	wd.fleet.store.put(registrations, entered(fresh))
}

// entered is the row of a registration.
func entered(up *upstream) replica.Row {
	value, err := json.Marshal(up.Upstream)
	if err != nil {
		panic(err)
	}
	return replica.Row{Key: up.ID, Value: value}
}

// leave lets an upstream leave: it says so first, or its registration just goes.
func (wd *world) leave(up *upstream, announced bool) {
	row := removal(up)
	if announced {
		up.Leaving = true
		row = entered(up)
	}
	at := wd.fleet.store.put(registrations, row)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	up.leftAt = at
}

// pick returns an upstream that works, or nil.
func (wd *world) pick() *upstream {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	list := []*upstream{}
	for _, up := range wd.upstreams {
		if !up.crashed && up.leftAt.IsZero() {
			list = append(list, up)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(left, right *upstream) int { return strings.Compare(left.ID, right.ID) })
	return list[wd.chance.IntN(len(list))]
}

// crash ends an upstream; it starts again a while later under its id.
func (wd *world) crash(up *upstream) {
	wd.mu.Lock()
	up.crashed = true
	wd.mu.Unlock()
	wd.fleet.calls.Go(func() {
		time.Sleep(3 * time.Second)
		wd.register(up.ID, up.Pool, up.FailureDomain)
	})
}

// reach is the upstreams as one instance reaches them.
type reach struct {
	fleet *fleet
	node  *node
}

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// arrive brings something to an upstream and returns it, or why it does not arrive, or that another has its address.
func (rc reach) arrive(ctx context.Context, known *roster.Upstream) (*upstream, error) {
	if !pause(ctx, time.Millisecond) {
		return nil, gateway.NotSentError{Cause: ctx.Err()}
	}
	wd := rc.fleet.world
	wd.mu.Lock()
	defer wd.mu.Unlock()
	up := wd.upstreams[known.ID]
	if up == nil || up.crashed || rc.node.dead.Load() {
		return nil, gateway.NotSentError{Cause: errRefused}
	}
	return up, nil
}

// note books an arrival and checks what must hold for each.
func (wd *world) note(nd *node, up *upstream, key string) {
	wd.seen[key]++
	wd.arrivals[up.Pool] = append(wd.arrivals[up.Pool], arrival{at: time.Now(), again: wd.seen[key] > 1})
	if !up.leftAt.IsZero() && time.Now().After(wd.fleet.store.knownBy(up.leftAt, leaveBound)) && nd.inTouch() {
		wd.breach("%s sent %s to %s, which left %v ago", nd.id, key, up.ID, time.Since(up.leftAt))
	}
}

// Send sends a request.
func (rc reach) Send(ctx context.Context, exchange gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	up, err := rc.arrive(ctx, exchange.Upstream)
	if err != nil {
		return nil, err
	}
	wd := rc.fleet.world
	if reply := wd.reject(rc.node, up, exchange); reply != nil {
		return reply, nil
	}
	if wd.variant.sendsTwice && wd.chance.IntN(20) == 0 {
		wd.mu.Lock()
		wd.run(rc.node, up, exchange)
		wd.mu.Unlock()
	}
	fate, err := wd.work(ctx, up, exchange)
	if err != nil {
		return nil, err
	}
	if wd.variant.deniesRuns && wd.chance.IntN(20) == 0 {
		return rejection(), nil
	}
	return fate, nil
}

func rejection() *gateway.UpstreamResponse {
	return &gateway.UpstreamResponse{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: http.NoBody, Header: http.Header{}, Length: 0}
}

// reject books an arrival and returns the answer of an upstream that does not run the request, or nil.
func (wd *world) reject(nd *node, up *upstream, exchange gateway.UpstreamRequest) *gateway.UpstreamResponse {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if up.StartUnixMs != exchange.Upstream.StartUnixMs {
		reply := rejection()
		reply.Misdirected = true
		return reply
	}
	wd.note(nd, up, exchange.Request.ID)
	if up.running >= up.Slots || up.grey && wd.chance.IntN(3) == 0 {
		return rejection()
	}
	for _, handle := range exchange.Inputs {
		if !wd.kept[handle] {
			reply := rejection()
			reply.InputMissing = true
			return reply
		}
	}
	wd.run(nd, up, exchange)
	up.running++
	return nil
}

// run books a run and checks its inputs and its caller's key.
func (wd *world) run(nd *node, up *upstream, exchange gateway.UpstreamRequest) {
	id := exchange.Request.ID
	wd.ran[id]++
	if wd.ran[id] > 1 && strings.HasPrefix(exchange.Request.Path, "/once/") {
		wd.breach("%s ran %s again", up.ID, id)
	}
	for _, handle := range exchange.Inputs {
		if !strings.Contains(handle, "/"+id+"/") {
			wd.breach("%s was given %s for %s", up.ID, handle, id)
		}
	}
	since, gone := wd.revoked[exchange.Organisation]
	if gone && exchange.Request.Arrived.After(wd.fleet.store.knownBy(since, keyBound)) && nd.inTouch() {
		wd.breach("%s sent %s of %s, whose key went %v before", nd.id, id, exchange.Organisation, exchange.Request.Arrived.Sub(since))
	}
}

// work carries a run out and returns its answer.
func (wd *world) work(ctx context.Context, up *upstream, exchange gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	defer func() {
		wd.mu.Lock()
		defer wd.mu.Unlock()
		up.running--
	}()
	if strings.HasPrefix(string(exchange.Request.Body), "poison") {
		wd.mu.Lock()
		up.crashedOn[string(exchange.Request.Body)]++
		wd.mu.Unlock()
		wd.crash(up)
		return nil, errReset
	}
	wd.mu.Lock()
	hangs, lost := up.hangs, up.grey && wd.chance.IntN(3) == 0
	wd.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !pause(ctx, workTime) {
		return nil, ctx.Err()
	}
	if lost {
		return nil, errReset
	}
	reply := &gateway.UpstreamResponse{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1}
	if strings.HasPrefix(exchange.Request.Path, "/stream/") || strings.HasPrefix(exchange.Request.Path, "/draft/") {
		first := 0
		_, _ = fmt.Sscan(exchange.LastEventID, &first)
		reply.Body = &eventStream{ctx: ctx, world: wd, up: up, id: exchange.Request.ID, next: first + 1}
		return reply, nil
	}
	body := "whole answer to " + exchange.Request.ID
	reply.Length = int64(len(body))
	reply.Body = io.NopCloser(strings.NewReader(body))
	return reply, nil
}

// eventStream is the body of a stream; it breaks off when its upstream does.
type eventStream struct {
	ctx   context.Context
	world *world
	up    *upstream
	id    string
	next  int
}

// Read returns the next event after its time.
func (es *eventStream) Read(into []byte) (int, error) {
	if es.next > events {
		return 0, io.EOF
	}
	if !pause(es.ctx, eventGap) {
		return 0, es.ctx.Err()
	}
	es.world.mu.Lock()
	broken := es.up.crashed || es.up.grey && es.world.chance.IntN(12) == 0
	es.world.mu.Unlock()
	if broken {
		return 0, errReset
	}
	es.next++
	return copy(into, eventText(es.id, es.next-1)), nil
}

// Close has nothing to close.
func (es *eventStream) Close() error { return nil }

func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id)
}

// wholeStream is the body of a stream that was answered whole.
func wholeStream(id string) string {
	body := ""
	for number := range events {
		body += eventText(id, number+1)
	}
	return body
}

// IsReachable reports whether an upstream takes connections.
func (rc reach) IsReachable(ctx context.Context, known *roster.Upstream) bool {
	_, err := rc.arrive(ctx, known)
	return err == nil
}

// RunItems sends a call of items.
func (rc reach) RunItems(ctx context.Context, known *roster.Upstream, items []gather.Item) gather.Outcome {
	up, err := rc.arrive(ctx, known)
	if err != nil {
		return gather.NotSent{Cause: err.Error()}
	}
	wd := rc.fleet.world
	wd.mu.Lock()
	if up.StartUnixMs != known.StartUnixMs {
		wd.mu.Unlock()
		return gather.NotRun{Misdirected: true}
	}
	for _, item := range items {
		wd.note(rc.node, up, fmt.Sprintf("%s/%d/%d", item.RequestID, item.Stage, item.Index))
		wd.checkInputs(up, item)
	}
	hangs, lost := up.hangs, up.grey && wd.chance.IntN(3) == 0
	wd.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return gather.Lost{Cause: "silent"}
	}
	if !pause(ctx, workTime+time.Duration(len(items))*2*time.Millisecond) || lost {
		return gather.Lost{Cause: "reset"}
	}
	return wd.make(up, items)
}

func (wd *world) checkInputs(up *upstream, item gather.Item) {
	for _, handle := range item.Inputs {
		if !strings.Contains(handle, "/"+item.RequestID+"/") {
			wd.breach("%s was given %s for an item of %s", up.ID, handle, item.RequestID)
		}
	}
	if item.Stage > 0 && len(item.Inputs) == 0 {
		wd.breach("%s was given no input for stage %d of %s", up.ID, item.Stage, item.RequestID)
	}
}

// make returns the results of a call.
func (wd *world) make(up *upstream, items []gather.Item) gather.Outcome {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if up.crashed {
		return gather.Lost{Cause: "reset"}
	}
	ran := gather.Ran{}
	for _, item := range items {
		wd.made++
		handle := fmt.Sprintf("%s/%s/%d/%d", up.ID, item.RequestID, item.Stage, wd.made)
		wd.kept[handle] = true
		ran.Results = append(ran.Results, gather.ItemResult{Handle: handle})
	}
	if wd.variant.mixesItems && len(ran.Results) > 1 {
		ran.Results[0], ran.Results[1] = ran.Results[1], ran.Results[0]
	}
	return ran
}

// AvailableResultBytes returns the room for results.
func (rc reach) AvailableResultBytes(context.Context, *roster.Upstream) (int64, error) {
	return 1e9, nil
}

// FreeResults drops results.
func (rc reach) FreeResults(ctx context.Context, known *roster.Upstream, handles []string) error {
	if _, err := rc.arrive(ctx, known); err != nil {
		return err
	}
	wd := rc.fleet.world
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for _, handle := range handles {
		delete(wd.kept, handle)
	}
	return nil
}
