package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/requestbody"
)

// orderRun sends streams to a fleet whose upstreams have different software versions, and takes up those that break.
type orderRun struct {
	soak *soak
	// instances and upstreams are the sizes of the fleet and of the pool, versions the version of each upstream by its number.
	instances, upstreams int
	version              func(number int) string
	every                time.Duration
	atOnce               int
	// crashEvery is the interval of upstream crashes.
	crashEvery time.Duration
	// prepare changes the upstreams before the run; during is called each 100 ms with the time since the streams began.
	prepare func(us *upstreamSet)
	during  func(or *orderRun, elapsed time.Duration)
	length  time.Duration
	// warmUp is how long the fleet runs before the first stream.
	warmUp time.Duration
	// takesUpAt returns an instance at which every second stream that broke is taken up, or nil.
	takesUpAt func(or *orderRun) *node
	// returnAfter is how long a caller whose instance died waits before its next try.
	returnAfter time.Duration
	// startsFirst has the settings say that the fleet starts for the first time, until instances are started anew.
	startsFirst bool
	// noShare omits the check of the share of streams that go on.
	noShare bool

	sent int
	mu   sync.Mutex
	// begun and whole count the new streams that were sent and those that were answered at the first try; taken and continued
	// those that callers took up again at instances without a recent fault, while two upstreams of their version served.
	begun, whole, taken, continued int
	// mixed lists the streams with events of two versions.
	mixed []string
	// slowestEnd is the longest time until a stream that could not go on was refused.
	slowestEnd time.Duration
}

const (
	// maxMixed is the number of streams that may hold events of two versions.
	maxMixed = 2
	// minContinuedShare is the least share of the streams taken up that go on, relative to that of new streams.
	minContinuedShare = 0.5
	minTaken          = 12
	// callerGap is the time without an event after which a caller takes up its stream elsewhere.
	callerGap = 500 * time.Millisecond
	// maxTries bounds a caller's tries.
	maxTries    = 3
	orderEvents = 20
	orderSeed   = 5
)

func newOrderRun() *orderRun {
	return &orderRun{
		instances: 8, upstreams: 9, every: 20 * time.Millisecond, atOnce: 1, crashEvery: 500 * time.Millisecond, length: 20 * time.Second,
		version: func(number int) string { return fmt.Sprint("v", 1+number%3) },
	}
}

func modelID(number int) string { return fmt.Sprint("model-", number) }

// play runs the fleet.
func (or *orderRun) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleetOf(or.instances, max(*soakSeed, orderSeed), defects{startsFirst: or.startsFirst})
		or.soak = &soak{fleet: fl, random: fl.random.Fork("order"), outcomes: map[string]int{}, faults: map[string]int{}, lastOutcome: map[string]string{}, keyHolders: []string{organisationName(0)}}
		us := fl.upstreams
		us.streamEvents, us.restartDelay = orderEvents, 1200*time.Millisecond
		if or.prepare != nil {
			or.prepare(us)
		}
		for number := range or.upstreams {
			us.start(number, or.version(number))
		}
		or.soak.configure()
		time.Sleep(max(convergenceTime+time.Second, or.warmUp))
		or.send()
		or.soak.group.Wait()
		fl.stop()
	})
}

// start starts a model engine with a software version.
func (us *upstreamSet) start(number int, version string) {
	us.mu.Lock()
	us.versions[modelID(number)] = version
	us.mu.Unlock()
	us.register(modelID(number), "model", domains[number%len(domains)])
}

func (or *orderRun) send() {
	began := time.Now()
	for elapsed := time.Duration(0); elapsed < or.length; elapsed = time.Since(began) {
		if elapsed%or.every == 0 {
			for range or.atOnce {
				or.sent++
				caller := &streamCaller{run: or, id: fmt.Sprint("o", or.sent)}
				or.soak.group.Go(caller.call)
			}
		}
		if or.crashEvery > 0 && elapsed > 0 && elapsed%or.crashEvery == 0 {
			or.crashOne()
		}
		if or.during != nil && elapsed%(100*time.Millisecond) == 0 {
			or.during(or, elapsed)
		}
		time.Sleep(tick)
	}
}

// crashOne crashes a random model engine.
func (or *orderRun) crashOne() {
	us := or.soak.fleet.upstreams
	us.mu.Lock()
	up := us.byID[modelID(or.soak.random.IntN(or.upstreams))]
	us.mu.Unlock()
	if up != nil && up.leftAt.IsZero() {
		us.crash(up)
	}
}

// serving returns how many model engines of a version serve.
func (us *upstreamSet) serving(version string) int {
	us.mu.Lock()
	defer us.mu.Unlock()
	count := 0
	for _, up := range us.byID {
		if up.Pool == "model" && up.SoftwareVersion == version && !up.crashed && up.leftAt.IsZero() {
			count++
		}
	}
	return count
}

// streamCaller is a caller who reads one stream and takes it up again where it breaks.
type streamCaller struct {
	run *orderRun
	id  string
	// first is the id of the try that brought the first event, last the number of the last event.
	first string
	last  int
	// versions holds the versions of the events in their order, without repetitions.
	versions []string
}

// streamTry is one try of a caller: what it received from an instance.
type streamTry struct {
	node   *node
	cancel context.CancelFunc

	mu     sync.Mutex
	text   string
	heard  time.Time
	closed bool
}

// SetDeadline does nothing.
func (*streamTry) SetDeadline(time.Time) {}

// Start does nothing.
func (*streamTry) Start(int, http.Header, int64) {}

// Write receives a part of the stream, unless the connection is broken.
func (st *streamTry) Write(part []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed || st.node.dead.Load() {
		return errors.New("connection reset")
	}
	st.text += string(part)
	st.heard = time.Now()
	return nil
}

// watch ends the try when its instance dies, or when no event comes for callerGap.
func (st *streamTry) watch(ctx context.Context) {
	for sleep(ctx, 10*time.Millisecond) {
		st.mu.Lock()
		silent := time.Since(st.heard) > callerGap
		if silent || st.node.dead.Load() {
			st.closed = true
			st.cancel()
		}
		st.mu.Unlock()
	}
}

// call reads the stream, in maxTries tries.
func (sc *streamCaller) call() {
	for try := range maxTries {
		outcome, nd := sc.try(fmt.Sprint(sc.id, "-", try), try > 0)
		if try == 0 {
			sc.countNew(outcome, nd)
		}
		if _, whole := outcome.(gateway.Answered); whole || sc.first == "" {
			break
		}
		if nd.dead.Load() {
			time.Sleep(sc.run.returnAfter)
		}
	}
	if len(sc.versions) > 1 {
		sc.run.mu.Lock()
		sc.run.mixed = append(sc.run.mixed, fmt.Sprint(sc.id, " ", sc.versions))
		sc.run.mu.Unlock()
	}
}

func (sc *streamCaller) countNew(outcome gateway.Outcome, nd *node) {
	sc.run.mu.Lock()
	defer sc.run.mu.Unlock()
	if !nd.hasConverged() {
		return
	}
	sc.run.begun++
	if _, refused := outcome.(gateway.Refused); !refused {
		sc.run.whole++
	}
}

// try sends the stream's request, or takes the stream up after its last event, at a random instance.
func (sc *streamCaller) try(id string, isTaken bool) (gateway.Outcome, *node) {
	nodes := sc.run.soak.fleet.live()
	sc.run.mu.Lock()
	nd := nodes[sc.run.soak.random.IntN(len(nodes))]
	if isTaken && sc.run.takesUpAt != nil && sc.run.soak.random.IntN(2) == 0 {
		nd = sc.run.takesUpAt(sc.run)
	}
	session := sc.run.soak.random.IntN(sessionsPerUpstream * sc.run.upstreams)
	sc.run.mu.Unlock()
	request := &gateway.Request{
		ID: id, Method: "POST", Host: "h", Path: "/stream/" + sc.id, APIKey: "key-" + organisationName(0), Body: requestbody.Of([]byte(sc.id)),
		Arrived: time.Now(), CallerTimeout: requestTimeout, Prompt: promptOf("first", fmt.Sprint("session-", session), "own-"+sc.id),
	}
	counts := false
	if isTaken {
		request.LastEventID, request.Resumes = strconv.Itoa(sc.last), sc.first
		counts = nd.hasConverged() && sc.run.soak.fleet.upstreams.serving(sc.versions[0]) >= 2
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := &streamTry{node: nd, cancel: cancel, heard: time.Now()}
	watching := make(chan struct{})
	go func() { st.watch(ctx); close(watching) }()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://h"+request.Path, nil)
	if err != nil {
		panic(err)
	}
	outcome := nd.entry.Serve(httpRequest, request, st)
	cancel()
	<-watching
	sc.read(st, id)
	if counts {
		sc.run.countTaken(outcome, time.Since(request.Arrived))
	}
	return outcome, nd
}

// read takes the events of a try.
func (sc *streamCaller) read(st *streamTry, id string) {
	for _, event := range strings.Split(st.text, "\n\n") {
		lines := strings.Split(event, "\n")
		if len(lines) != 3 {
			continue
		}
		if sc.first == "" {
			sc.first = id
		}
		_, _ = fmt.Sscanf(lines[0], "id: %d", &sc.last)
		version := strings.TrimPrefix(lines[1], "event: ")
		if len(sc.versions) == 0 || sc.versions[len(sc.versions)-1] != version {
			sc.versions = append(sc.versions, version)
		}
	}
}

func (or *orderRun) countTaken(outcome gateway.Outcome, took time.Duration) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.taken++
	switch outcome.(type) {
	case gateway.Answered, gateway.CutOff, gateway.Gone:
		or.continued++
	case gateway.Refused:
		or.slowestEnd = max(or.slowestEnd, took)
	}
}

// assertStreamsKeepTheirVersion plays a run and checks that no streams hold events of two versions, and that those that could go
// on did.
func assertStreamsKeepTheirVersion(t *testing.T, or *orderRun) {
	t.Helper()
	or.play(t)
	share, newShare := float64(or.continued)/float64(max(or.taken, 1)), float64(or.whole)/float64(max(or.begun, 1))
	for _, each := range or.mixed {
		t.Log(each)
	}
	t.Logf("%d streams, %d of two versions; %d taken up, of which %.2f went on, of new ones %.2f; slowest refusal after %v",
		or.sent, len(or.mixed), or.taken, share, newShare, or.slowestEnd)
	must.LessEq(t, maxMixed, len(or.mixed), must.Sprint("streams with events of two versions"))
	if !or.noShare {
		must.GreaterEq(t, minTaken, or.taken)
		must.GreaterEq(t, minContinuedShare*newShare, share, must.Sprint("streams that went on after their callers had taken them up"))
	}
	must.SliceEmpty(t, or.soak.violations)
	must.SliceEmpty(t, or.soak.fleet.upstreams.violations)
}

// TestStreamGoesOnAtAnotherSoftwareVersion guards against streams that hold events of two software versions, in one answer or
// over the tries of a caller.
func TestStreamGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	for name, change := range orderCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			or := newOrderRun()
			change(or)
			assertStreamsKeepTheirVersion(t, or)
		})
	}
}
