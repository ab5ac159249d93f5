package gather_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// pool is a stage pool with two upstreams in failure domain a and one in b.
var pool = route.Pool{Name: "p", Batching: &route.Batching{
	Slots: 1, MaxBatch: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, ResultCapacity: 36e6, ResultTTL: 4 * time.Second,
}}

// fakes implements the view, the caller and the retry budget of the gatherers.
type fakes struct {
	mu             sync.Mutex
	upstreams      []*roster.Upstream
	leaving        map[string]bool
	evacuated      map[string]bool
	dead           map[string]bool
	outcome        map[string]gather.Outcome
	calls          []call
	freed          []string
	budget         int
	availableBytes int64
	// limitedUntil is when the rate limit of an upstream allows another call.
	limitedUntil map[string]time.Time
	// duringAcquire is called by the next call that asks for a permit.
	duringAcquire func()
}

// call records one call that an instance made.
type call struct {
	at       time.Time
	instance string
	upstream string
	items    []gather.Item
}

// caller makes the calls of one instance.
type caller struct {
	*fakes
	instance string
}

// RunItems records a call of the instance and returns its outcome.
func (cr caller) RunItems(ctx context.Context, up *roster.Upstream, items []gather.Item) gather.Outcome {
	return cr.runItems(ctx, cr.instance, up, items)
}

func newFakes() *fakes {
	return &fakes{
		upstreams: []*roster.Upstream{
			{ID: "a1", Address: "a1", Pool: "p", FailureDomain: "a"}, {ID: "a2", Address: "a2", Pool: "p", FailureDomain: "a"}, {ID: "b1", Address: "b1", Pool: "p", FailureDomain: "b"},
		},
		leaving: map[string]bool{}, evacuated: map[string]bool{}, dead: map[string]bool{}, outcome: map[string]gather.Outcome{}, budget: 100, availableBytes: 36e6, limitedUntil: map[string]time.Time{},
	}
}

func (fk *fakes) Pool(name string) (route.Pool, bool) { return pool, name == "p" }

func (fk *fakes) Upstreams(_, domain string) []*roster.Upstream {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fk.upstreams), func(up *roster.Upstream) bool {
		return fk.leaving[up.ID] || fk.evacuated[up.FailureDomain] || domain != "" && up.FailureDomain != domain
	})
}

func (fk *fakes) IsUsable(incarnation roster.Incarnation) bool {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return !fk.leaving[incarnation.ID] && !fk.evacuated[fk.Find(incarnation.ID).FailureDomain]
}

func (fk *fakes) Find(id string) *roster.Upstream {
	for _, up := range fk.upstreams {
		if up.ID == id {
			return up
		}
	}
	return nil
}

func (fk *fakes) RecordRequest(string) {}

func (fk *fakes) Remaining(string) int {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return fk.budget
}

func (fk *fakes) Spend(string) bool {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.budget--
	return fk.budget >= 0
}

func (fk *fakes) Refund(string) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.budget++
}

func (fk *fakes) runItems(ctx context.Context, instance string, up *roster.Upstream, items []gather.Item) gather.Outcome {
	fk.mu.Lock()
	fk.calls = append(fk.calls, call{at: time.Now(), instance: instance, upstream: up.ID, items: items})
	outcome := fk.outcome[up.ID]
	delete(fk.outcome, up.ID)
	number := len(fk.calls)
	dead := fk.dead[up.ID]
	fk.mu.Unlock()
	if dead {
		return gather.NotSent{Cause: "connection refused"}
	}
	if outcome != nil {
		return outcome
	}
	select {
	case <-time.After(pool.Batching.CallTime + time.Duration(len(items))*pool.Batching.ItemTime):
	case <-ctx.Done():
		return gather.Lost{Cause: ctx.Err().Error()}
	}
	ran := gather.Ran{}
	for index, item := range items {
		ran.Results = append(ran.Results, gather.ItemResult{Handle: fmt.Sprintf("%s/%d/%d/%s", up.ID, number, index, item.RequestID)})
	}
	return ran
}

func (fk *fakes) AvailableResultBytes(context.Context, *roster.Upstream) (int64, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return fk.availableBytes, nil
}

func (fk *fakes) FreeResults(_ context.Context, _ *roster.Upstream, handles []string) error {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.freed = append(fk.freed, handles...)
	return nil
}

// freedHandles returns the handles of the results that were freed.
func (fk *fakes) freedHandles() []string {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return slices.Clone(fk.freed)
}

// madeCalls returns the calls that were made.
func (fk *fakes) madeCalls() []call {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return slices.Clone(fk.calls)
}

// fleet is a set of instances that submit jobs to each other.
type fleet struct {
	fakes     *fakes
	mu        sync.Mutex
	names     []string
	gatherers map[string]*gather.Gatherer
	servers   map[string]*gather.Server
	clients   map[string]*gather.Client
	frozen    map[string]bool
	left      map[string]bool
	cores     map[string]int64
	// scripted holds, by instance, the replies to each submitted job, after which the stream ends without an error.
	scripted map[string][]*wire.GatherReply
	// endless holds replies that instances send without end instead of their own.
	endless map[string]*endlessReplies
}

// setLeft removes an instance from the live ones, or adds it again.
func (fl *fleet) setLeft(name string, left bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.left[name] = left
}

func (fl *fleet) Live() []member.Member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []member.Member{}
	for _, name := range fl.names {
		if fl.left[name] {
			continue
		}
		list = append(list, member.Member{MilliCores: fl.cores[name], ID: name, Address: name, FailureDomain: name[:1]})
	}
	return list
}

// link calls the server of one instance directly.
type link struct {
	fleet *fleet
	to    string
}

func (lk link) Close() error { return nil }

func (lk link) Release(ctx context.Context, in *wire.ReleaseRequest, _ ...grpc.CallOption) (*wire.ReleaseReply, error) {
	return lk.fleet.servers[lk.to].Release(ctx, in)
}

func (lk link) Load(ctx context.Context, in *wire.LoadRequest, _ ...grpc.CallOption) (*wire.LoadReply, error) {
	return lk.fleet.servers[lk.to].Load(ctx, in)
}

func (lk link) Gather(ctx context.Context, in *wire.GatherRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.GatherReply], error) {
	if replies := lk.fleet.scripted[lk.to]; replies != nil {
		return &scriptedStream{replies: replies}, nil
	}
	stream := &stream{ctx: ctx, replies: make(chan *wire.GatherReply, 100), ended: make(chan error, 1)}
	if replies, is := lk.fleet.endless[lk.to]; is {
		return replies, nil
	}
	if !lk.fleet.frozen[lk.to] {
		go func() { stream.ended <- lk.fleet.servers[lk.to].Gather(in, stream) }()
	}
	return stream, nil
}

// stream implements both ends of a call; the methods of the embedded interfaces are not used.
type stream struct {
	grpc.ClientStream
	grpc.ServerStream
	ctx     context.Context
	replies chan *wire.GatherReply
	ended   chan error
}

func (sm *stream) Context() context.Context           { return sm.ctx }
func (sm *stream) Send(reply *wire.GatherReply) error { sm.replies <- reply; return nil }
func (sm *stream) Recv() (*wire.GatherReply, error) {
	select {
	case reply := <-sm.replies:
		return reply, nil
	case <-sm.ctx.Done():
		return nil, context.Cause(sm.ctx)
	}
}

// SendMsg and RecvMsg resolve the ambiguity between the two embedded interfaces.
func (sm *stream) SendMsg(any) error { return nil }
func (sm *stream) RecvMsg(any) error { return nil }

// runFleet runs instances in fake time.
func runFleet(t *testing.T, names []string, run func(ctx context.Context, fl *fleet, fk *fakes)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fk := newFakes()
		fl := &fleet{
			fakes: fk, names: names, gatherers: map[string]*gather.Gatherer{}, servers: map[string]*gather.Server{},
			clients: map[string]*gather.Client{}, frozen: map[string]bool{}, endless: map[string]*endlessReplies{}, left: map[string]bool{},
		}
		timers := timer.New()
		ctx, cancel := context.WithCancel(context.Background())
		ends := []chan struct{}{}
		for _, name := range names {
			events := timeline.New(name, hlc.New(timers), 100, nil)
			gatherer := gather.New(ctx, gather.Parts{
				View: fk, Caller: caller{fk, name}, RetryBudget: fk, Limits: fk, Timers: timers, Events: events,
				Owns: func(key gather.QueueKey) bool { return fl.clients[name].Owns(key) },
			})
			fl.gatherers[name] = gatherer
			client := gather.NewClient(gather.ClientParts{
				Self: name, Gatherer: gatherer, View: fk, Members: fl, Timers: timers, Events: events,
				Dialer: func(address string) (gather.Link, error) { return link{fleet: fl, to: address}, nil },
			})
			fl.servers[name], fl.clients[name] = gather.NewServer(gatherer, client, timers), client
			end := make(chan struct{})
			ends = append(ends, end)
			go gatherer.Run(ctx, end)
		}
		run(ctx, fl, fk)
		cancel()
		for _, end := range ends {
			<-end
		}
	})
}

func newJob(request string, count int) gather.Job {
	return gather.Job{
		Pool: "p", RequestID: request, Count: count, Key: "k-" + request, ResultBytes: 1000,
		Due: time.Now().Add(time.Second), Expires: time.Now().Add(4 * time.Second),
	}
}

// assertFinished checks that each item has its own result, made for the same request.
func assertFinished(t *testing.T, result gather.Result, request string, count int) {
	t.Helper()
	finished, is := result.(gather.Finished)
	must.True(t, is, must.Sprintf("%#v", result))
	must.SliceLen(t, count, finished.Results)
	seen := map[string]bool{}
	for _, item := range finished.Results {
		must.StrHasSuffix(t, "/"+request, item.Handle)
		must.False(t, seen[item.Handle])
		seen[item.Handle] = true
	}
}

func TestItemsOfSeveralInstancesShareCalls(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "a3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		group := sync.WaitGroup{}
		for at := range 12 {
			name := fl.names[at%3]
			group.Go(func() {
				time.Sleep(time.Duration(at) * 5 * time.Millisecond)
				request := fmt.Sprintf("r%d", at)
				assertFinished(t, fl.clients[name].Run(ctx, "a", newJob(request, 2)), request, 2)
			})
		}
		group.Wait()
		must.LessEq(t, 8, len(fk.madeCalls()), must.Sprint("24 items in calls of up to 8"))
	})
}

func TestDrainingUpstream(t *testing.T) {
	runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		fk.leaving["a1"] = true
		assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob("r", 2)), "r", 2)
		for _, each := range fk.madeCalls() {
			must.Eq(t, "a2", each.upstream)
		}
	})
}

func TestFailedCalls(t *testing.T) {
	outcomes := map[string]gather.Outcome{
		"a refusal for lack of memory":   gather.NotRun{},
		"an address of another upstream": gather.NotRun{Misdirected: true},
		"no connection":                  gather.NotSent{Cause: "refused"},
		"a lost answer":                  gather.Lost{Cause: "reset"},
		"an item that failed":            gather.Ran{Results: []gather.ItemResult{{Reason: gather.ReasonError}, {Reason: gather.ReasonError}}},
	}
	for name, outcome := range outcomes {
		t.Run(name+" leads to another call", func(t *testing.T) {
			runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
				fk.outcome["a1"], fk.outcome["a2"] = outcome, outcome
				assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob("r", 2)), "r", 2)
			})
		})
	}
	t.Run("a missing input ends the job with that cause", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			gone := gather.Ran{Results: []gather.ItemResult{{Reason: gather.ReasonInputGone}}}
			fk.outcome["a1"], fk.outcome["a2"] = gone, gone
			result := fl.clients["a1"].Run(ctx, "a", newJob("r", 1))
			unfinished, is := result.(gather.Unfinished)
			must.True(t, is)
			must.Eq(t, string(gather.ReasonInputGone), unfinished.Cause)
		})
	})
	t.Run("nothing is sent again when the retry budget is spent", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			fk.budget = 0
			fk.outcome["a1"], fk.outcome["a2"] = gather.Lost{}, gather.Lost{}
			_, finished := fl.clients["a1"].Run(ctx, "a", newJob("r", 1)).(gather.Finished)
			must.False(t, finished)
			must.SliceLen(t, 1, fk.madeCalls())
		})
	})
}

func TestUnresponsiveOwner(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "a3"}, func(ctx context.Context, fl *fleet, _ *fakes) {
		for _, name := range fl.names {
			fl.frozen[name] = true
		}
		for _, name := range fl.names {
			began := time.Now()
			assertFinished(t, fl.clients[name].Run(ctx, "a", newJob("r"+name, 2)), "r"+name, 2)
			must.Less(t, 1500*time.Millisecond, time.Since(began), must.Sprint("the job is submitted to the next instance, or to the own one"))
		}
	})
}

func TestCancelledJob(t *testing.T) {
	runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, unfinished := fl.clients["a1"].Run(limited, "a", newJob("r", 2)).(gather.Unfinished)
		must.True(t, unfinished)
		time.Sleep(time.Second)
		must.SliceLen(t, 2, fk.freedHandles(), must.Sprint("results of a cancelled job are freed"))
	})
}

func TestUnreachableDeadline(t *testing.T) {
	runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		expiring := newJob("r", 2)
		expiring.Expires = time.Now().Add(50 * time.Millisecond)
		_, refused := fl.clients["a1"].Run(ctx, "a", expiring).(gather.Refused)
		must.True(t, refused)
		must.SliceEmpty(t, fk.madeCalls())
	})
}

func TestRelease(t *testing.T) {
	runFleet(t, []string{"a1", "a2"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		finished := fl.clients["a1"].Run(ctx, "a", newJob("r", 2)).(gather.Finished)
		handles := []string{finished.Results[0].Handle, finished.Results[1].Handle}
		fl.clients["a2"].Release(ctx, "p", "a", handles)
		time.Sleep(100 * time.Millisecond)
		must.SliceContainsAll(t, fk.freedHandles(), handles)
	})
}
