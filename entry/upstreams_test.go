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
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
)

// upstream is one incarnation of a simulated upstream and its injected faults.
type upstream struct {
	roster.Upstream
	leftAt  time.Time
	crashed bool
	hangs   bool
	flaky   bool
	running int
	// limit is the rate limit that its answers announce, or nil.
	limit *rateLimit
	// standing is what it says of a departure or a pause, or nil.
	standing *standing
	// brittle is how it falls over, or nil.
	brittle *brittle
	// cold is the time in which it is cold, or nil.
	cold *coldSpan
	// crashedOn counts the crashes by request body.
	crashedOn map[string]int
}

// upstreamSet holds the simulated upstreams and what they received.
type upstreamSet struct {
	fleet   *fleet
	variant defects
	random  *entropy.Source

	mu          sync.Mutex
	byID        map[string]*upstream
	lastStart   int64
	resultCount int
	// executions counts the runs of each caller's attempt; arrivals lists the requests and items received by each pool.
	executions    map[string]int
	arrivals      map[string][]arrival
	arrivalCounts map[string]int
	// sentAt is when callers with a valid key sent requests for each pool.
	sentAt map[string][]time.Time
	// results holds the handles of the results that upstreams keep.
	results map[string]bool
	// revokedAt is when each organisation's key was revoked.
	revokedAt  map[string]time.Time
	violations []string
	// limits holds what upstreams with a rate limit announced and received.
	limits []*rateLimit
	// crashParts are the parts of prompts that crash an upstream which begins to answer them, and crashes what they did.
	// crashAfterEvent lets the first event out before the crash; restartDelay is how long a crashed upstream is away.
	crashParts      map[string]*partCrashes
	crashAfterEvent bool
	restartDelay    time.Duration
	// resumesFail is set while streams break and resumed attempts fail; failedResumes counts them.
	resumesFail   bool
	failedResumes int
	// versions holds the software version with which an upstream registers, by its id; streamEvents is the number of events
	// of a stream.
	versions     map[string]string
	streamEvents int
	// isFast is set if the upstreams take a millisecond for a request that is not lost and for each event.
	isFast bool
	// breaksAnswers is set if a third of the answers break before their first event, and many later.
	breaksAnswers bool
	// knowsOnlyIDs makes upstreams take requests for an earlier incarnation of their id.
	knowsOnlyIDs bool
	// evacuations holds the evacuated failure domains, receivedIn when requests and items were received in each failure domain.
	evacuations map[string]*evacuation
	receivedIn  map[string][]time.Time
	// registerDelay is how long after its start an upstream's registration is written.
	registerDelay time.Duration
	// coldFor is how long upstreams are cold that start from now on.
	coldFor time.Duration
}

// arrival is a request or an item that an upstream received; repeated is set if it was received before.
type arrival struct {
	at       time.Time
	repeated bool
}

const (
	workTime = 40 * time.Millisecond
	// leaveBound is how long an upstream may receive work after the store acknowledged that it leaves.
	leaveBound = 2 * time.Second
	// keyBound is how long a key may be accepted after its revocation.
	keyBound   = 2 * time.Second
	eventGap   = 15 * time.Millisecond
	eventCount = 4
)

func newUpstreamSet(fl *fleet, variant defects) *upstreamSet {
	us := &upstreamSet{
		fleet: fl, variant: variant, random: fl.random.Fork("world"), byID: map[string]*upstream{}, executions: map[string]int{},
		arrivals: map[string][]arrival{}, arrivalCounts: map[string]int{}, results: map[string]bool{}, revokedAt: map[string]time.Time{},
		crashParts: map[string]*partCrashes{}, sentAt: map[string][]time.Time{}, restartDelay: 3 * time.Second,
		versions: map[string]string{}, streamEvents: eventCount, evacuations: map[string]*evacuation{}, receivedIn: map[string][]time.Time{},
	}
	for pool, count := range map[string]int{"model": 4, "plain": 4, "encode": 4, "rank": 2} {
		for at := range count {
			us.register(fmt.Sprintf("%s-%d", pool, at), pool, domains[at%len(domains)])
		}
	}
	return us
}

// violate records a violation of a guarantee.
func (us *upstreamSet) violate(format string, args ...any) {
	us.violations = append(us.violations, fmt.Sprintf(format, args...))
}

// register starts an upstream and writes its registration.
func (us *upstreamSet) register(id, pool, domain string) {
	us.mu.Lock()
	us.lastStart++
	fresh := &upstream{
		Upstream: roster.Upstream{
			ID: id, Pool: pool, Address: id, FailureDomain: domain, Slots: 8, StartUnixMs: us.lastStart, SoftwareVersion: us.versions[id],
		},
		crashedOn: map[string]int{},
	}
	if before := us.byID[id]; before != nil {
		fresh.crashedOn = before.crashedOn
		fresh.brittle, fresh.Slots = before.brittle, before.Slots
	}
	fresh.startCold(us.coldFor)
	us.byID[id] = fresh
	delay := us.registerDelay
	us.mu.Unlock()
	if delay == 0 {
		us.writeRegistration(fresh)
		return
	}
	us.fleet.calls.Go(func() {
		time.Sleep(delay)
		us.mu.Lock()
		ended := fresh.crashed || us.byID[id] != fresh
		us.mu.Unlock()
		if !ended {
			us.writeRegistration(fresh)
		}
	})
}

// writeRegistration writes the registration of an upstream as it is now, and returns when that was acknowledged.
func (us *upstreamSet) writeRegistration(up *upstream) time.Time {
	us.mu.Lock()
	row := registrationRow(up)
	us.mu.Unlock()
	return us.fleet.store.put(registrations, row)
}

// registrationRow returns the row of a registration. The caller holds the lock of the set.
func registrationRow(up *upstream) replica.Row {
	value, err := json.Marshal(up.Upstream)
	if err != nil {
		panic(err)
	}
	return replica.Row{Key: up.ID, Value: value}
}

// leave marks an upstream as leaving, or removes its registration if the departure is not announced.
func (us *upstreamSet) leave(up *upstream, announced bool) {
	row := removalRow(up)
	if announced {
		us.mu.Lock()
		up.Leaving = true
		row = registrationRow(up)
		us.mu.Unlock()
	}
	at := us.fleet.store.put(registrations, row)
	us.mu.Lock()
	defer us.mu.Unlock()
	up.leftAt = at
}

// randomUpstream returns a random upstream that is running and not leaving, or nil.
func (us *upstreamSet) randomUpstream() *upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	list := []*upstream{}
	for _, up := range us.byID {
		if !up.crashed && up.leftAt.IsZero() {
			list = append(list, up)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(left, right *upstream) int { return strings.Compare(left.ID, right.ID) })
	return list[us.random.IntN(len(list))]
}

// crash crashes an upstream, unless it has crashed, and starts a new incarnation of it after restartDelay.
func (us *upstreamSet) crash(up *upstream) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if up.crashed {
		return
	}
	up.crashed = true
	delay := us.restartDelay
	us.fleet.calls.Go(func() {
		time.Sleep(delay)
		us.register(up.ID, up.Pool, up.FailureDomain)
	})
}

// upstreamClient is the connection of one instance to the upstreams.
type upstreamClient struct {
	fleet *fleet
	node  *node
}

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// connect returns the upstream with the id of target after the network delay; it may be a later incarnation.
func (uc upstreamClient) connect(ctx context.Context, target *roster.Upstream) (*upstream, error) {
	if !sleep(ctx, time.Millisecond) || !uc.node.awaitThaw(ctx) {
		return nil, gateway.NotSentError{Cause: ctx.Err()}
	}
	us := uc.fleet.upstreams
	us.mu.Lock()
	defer us.mu.Unlock()
	up := us.byID[target.ID]
	if up == nil || up.crashed || uc.node.dead.Load() {
		return nil, gateway.NotSentError{Cause: errRefused, IsRefused: true}
	}
	return up, nil
}

// Send sends a request to an upstream.
func (uc upstreamClient) Send(ctx context.Context, exchange gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	up, err := uc.connect(ctx, exchange.Upstream)
	if err != nil {
		return nil, err
	}
	us := uc.fleet.upstreams
	us.recordLimitedCall(uc.node, up)
	if reply := us.reject(uc.node, up, exchange); reply != nil {
		us.announceLimit(ctx, uc.node, up, true)
		return reply, nil
	}
	if us.variant.sendsTwice && us.random.IntN(20) == 0 {
		us.mu.Lock()
		us.recordRun(uc.node, up, exchange)
		us.mu.Unlock()
	}
	response, err := us.execute(ctx, uc.node, up, exchange)
	if err != nil {
		return nil, err
	}
	us.announceLimit(ctx, uc.node, up, false)
	if us.variant.deniesRuns && us.random.IntN(20) == 0 {
		return newRejection(), nil
	}
	return response, nil
}

func newRejection() *gateway.UpstreamResponse {
	return &gateway.UpstreamResponse{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: http.NoBody, Header: http.Header{}, Length: 0}
}

// reject records an arrival and returns the response of an upstream that refuses the request, or nil.
func (us *upstreamSet) reject(nd *node, up *upstream, exchange gateway.UpstreamRequest) *gateway.UpstreamResponse {
	us.mu.Lock()
	defer us.mu.Unlock()
	if up.StartUnixMs != exchange.Upstream.StartUnixMs && !us.knowsOnlyIDs {
		reply := newRejection()
		reply.Misdirected = true
		return reply
	}
	us.recordArrival(nd, up, exchange.Request.ID)
	up.cold.record(nd)
	us.recordEvacuated(nd, up, kindOf(exchange))
	if up.standing.rejects() {
		return newRejection()
	}
	if up.running >= up.Slots+up.brittle.queue() || up.flaky && us.random.IntN(3) == 0 {
		if up.brittle.reject() {
			us.fleet.calls.Go(func() { us.crash(up) })
		}
		return newRejection()
	}
	for _, handle := range exchange.Inputs {
		if !us.results[handle] {
			reply := newRejection()
			reply.InputMissing = true
			return reply
		}
	}
	us.recordRun(nd, up, exchange)
	us.recordPart(nd, exchange)
	up.running++
	return nil
}

// recordRun counts a run and checks its inputs and the key of its caller.
func (us *upstreamSet) recordRun(nd *node, up *upstream, exchange gateway.UpstreamRequest) {
	id := exchange.Request.ID
	us.executions[id]++
	if us.executions[id] > 1 && strings.HasPrefix(exchange.Request.Path, "/once/") {
		us.violate("upstream %s ran %s again", up.ID, id)
	}
	for _, handle := range exchange.Inputs {
		if !strings.Contains(handle, "/"+id+"/") {
			us.violate("upstream %s received input %s for request %s", up.ID, handle, id)
		}
	}
	since, gone := us.revokedAt[exchange.Organisation]
	if gone && exchange.Request.Arrived.After(us.fleet.store.knownBy(since, keyBound)) && nd.hasConverged() {
		us.violate("instance %s sent %s of %s, whose key was revoked %v before", nd.id, id, exchange.Organisation, exchange.Request.Arrived.Sub(since))
	}
}

// execute runs a request and returns its response.
func (us *upstreamSet) execute(ctx context.Context, nd *node, up *upstream, exchange gateway.UpstreamRequest) (*gateway.UpstreamResponse, error) {
	defer func() {
		us.mu.Lock()
		defer us.mu.Unlock()
		up.running--
	}()
	if body := string(slices.Concat(exchange.Request.Body.Blocks()...)); strings.HasPrefix(body, "poison") {
		us.mu.Lock()
		up.crashedOn[body]++
		us.mu.Unlock()
		us.crash(up)
		return nil, errReset
	}
	us.mu.Lock()
	hangs, lost := up.hangs, (up.flaky || us.breaksAnswers) && us.random.IntN(3) == 0
	us.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !sleep(ctx, us.time(workTime, lost)) {
		return nil, ctx.Err()
	}
	us.crashOnPart(up, exchange, false)
	us.mu.Lock()
	lost = lost || up.crashed
	us.mu.Unlock()
	if lost {
		return nil, errReset
	}
	if answer := us.failedResume(exchange); answer != nil {
		return answer, nil
	}
	reply := &gateway.UpstreamResponse{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1}
	if strings.HasPrefix(exchange.Request.Path, "/stream/") || strings.HasPrefix(exchange.Request.Path, "/draft/") {
		reply.Header.Set("Content-Type", eventStreamType)
		first := 0
		_, _ = fmt.Sscan(exchange.LastEventID, &first)
		reply.Body = &eventStream{node: nd, ctx: ctx, upstreams: us, up: up, exchange: exchange, id: exchange.Request.ID, next: first + 1}
		return reply, nil
	}
	body := "whole answer to " + exchange.Request.ID
	reply.Length = int64(len(body))
	reply.Body = io.NopCloser(strings.NewReader(body))
	return reply, nil
}

// time returns the time that something takes which usually takes usual; what is lost takes that also at fast upstreams.
func (us *upstreamSet) time(usual time.Duration, lost bool) time.Duration {
	if us.isFast && !lost {
		return time.Millisecond
	}
	return usual
}

// eventStream is the body of a streamed response; it fails when its upstream crashes.
type eventStream struct {
	node      *node
	ctx       context.Context
	upstreams *upstreamSet
	up        *upstream
	exchange  gateway.UpstreamRequest
	id        string
	next      int
	written   int
}

// Read returns the next event after eventGap.
func (es *eventStream) Read(into []byte) (int, error) {
	if es.next > es.upstreams.streamEvents {
		return 0, io.EOF
	}
	if !sleep(es.ctx, es.upstreams.time(eventGap, false)) || !es.node.awaitThaw(es.ctx) {
		return 0, es.ctx.Err()
	}
	if es.written > 0 {
		es.upstreams.crashOnPart(es.up, es.exchange, true)
	}
	es.upstreams.mu.Lock()
	broken := es.up.crashed || (es.up.flaky || es.upstreams.breaksAnswers) && es.upstreams.random.IntN(12) == 0 ||
		es.upstreams.resumesFail && es.upstreams.random.IntN(streamBreakage) == 0
	es.upstreams.mu.Unlock()
	if broken {
		return 0, errReset
	}
	es.next++
	es.written++
	return copy(into, versionedEvent(es.id, es.next-1, es.up.SoftwareVersion)), nil
}

// Close does nothing.
func (es *eventStream) Close() error { return nil }

// Probe reports whether an upstream accepts connections.
func (uc upstreamClient) Probe(ctx context.Context, target *roster.Upstream) gateway.ProcessState {
	if _, err := uc.connect(ctx, target); err != nil && !uc.fleet.upstreams.variant.hidesCrashes {
		return gateway.ProcessGone
	}
	return gateway.ProcessAlive
}

// HasRestarted reports whether another incarnation answers at the upstream's address.
func (uc upstreamClient) HasRestarted(ctx context.Context, target *roster.Upstream) bool {
	up, err := uc.connect(ctx, target)
	if err == nil {
		uc.fleet.upstreams.recordLimitedCall(uc.node, up)
		uc.fleet.upstreams.recordOtherCall(uc.node, up, target)
		uc.fleet.upstreams.announceLimit(ctx, uc.node, up, false)
	}
	return err == nil && !uc.fleet.upstreams.variant.hidesCrashes && up.StartUnixMs != target.StartUnixMs
}
