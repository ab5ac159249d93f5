package gather_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gather"
)

// kill lets an upstream take no connections, or again.
func (fk *fakes) kill(id string, dead bool) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.dead[id] = dead
}

// TestDomainComesBack replays the crash of the only upstream of a failure domain, which is back after two seconds: its
// failure domain gets work again.
func TestDomainComesBack(t *testing.T) {
	play(t, []string{"a1", "b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		patient := gather.JobClass{}
		fk.kill("b1", true)
		for number := range 4 {
			assertFinished(t, fl.clients["a1"].Run(ctx, "b", work(fmt.Sprint("r", number), 1)), fmt.Sprint("r", number), 1)
		}
		domain, _ := fl.clients["a1"].ShortestWait("p", "b", 0, patient)
		must.Eq(t, "a", domain, must.Sprint("while it is gone, the other failure domain is preferred"))
		fk.kill("b1", false)
		time.Sleep(2 * time.Second)
		for _, name := range fl.names {
			must.Less(t, time.Second, fl.clients[name].ExpectedWait("p", "b", patient))
		}
		assertFinished(t, fl.clients["a1"].Run(ctx, "b", work("again", 1)), "again", 1)
		calls := fk.made()
		must.Eq(t, "b1", calls[len(calls)-1].upstream)
	})
}

// TestDeadDomainHandsWorkOn replays a crash with work waiting: it goes to another failure domain long before it expires.
func TestDeadDomainHandsWorkOn(t *testing.T) {
	play(t, []string{"a1", "b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		group := sync.WaitGroup{}
		for number := range 3 {
			group.Go(func() {
				began := time.Now()
				request := fmt.Sprint("r", number)
				long := work(request, 8)
				assertFinished(t, fl.clients["a1"].Run(ctx, "b", long), request, 8)
				must.Less(t, 2*time.Second, time.Since(began))
			})
		}
		time.Sleep(100 * time.Millisecond)
		fk.kill("b1", true)
		group.Wait()
	})
}

// submitMany has an instance hand over more work than fits into a few calls, and returns what waits for all results.
func submitMany(ctx context.Context, t *testing.T, fl *fleet, from string) *sync.WaitGroup {
	t.Helper()
	group := &sync.WaitGroup{}
	for number := range 12 {
		group.Go(func() {
			request := fmt.Sprint("r", number)
			many := work(request, 8)
			many.Expires = time.Now().Add(10 * time.Second)
			assertFinished(t, fl.clients[from].Run(ctx, "b", many), request, 8)
		})
	}
	return group
}

// owner returns the instance that gathers for failure domain b.
func owner(fl *fleet) string {
	for _, name := range fl.names {
		if fl.clients[name].Owns(gather.QueueKey{Pool: "p", FailureDomain: "b"}) {
			return name
		}
	}
	return ""
}

// assertCaller checks which instance makes all calls from a time on.
func assertCaller(t *testing.T, fk *fakes, want string, from time.Time) {
	t.Helper()
	count := 0
	for _, each := range fk.made() {
		if each.at.After(from) {
			must.Eq(t, want, each.instance, must.Sprintf("%v after the change", each.at.Sub(from)))
			count++
		}
	}
	must.Positive(t, count)
}

// TestOwnerChanges replays an instance that comes back with work waiting at the one that stood in for it: two that fill
// calls to the same upstreams would each count only their own results against the room there.
func TestOwnerChanges(t *testing.T) {
	play(t, []string{"b1", "b2", "b3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		first := owner(fl)
		fl.leave(first, true)
		second := owner(fl)
		must.NotEq(t, first, second)
		group := submitMany(ctx, t, fl, second)
		time.Sleep(100 * time.Millisecond)
		fl.leave(first, false)
		changed := time.Now()
		group.Wait()
		assertCaller(t, fk, first, changed.Add(time.Second))
	})
}

// TestGathererStops replays an instance that stops with work waiting: all of it is done by others.
func TestGathererStops(t *testing.T) {
	play(t, []string{"b1", "b2", "b3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		first := owner(fl)
		other := fl.names[(slices.Index(fl.names, first)+1)%len(fl.names)]
		group := submitMany(ctx, t, fl, other)
		time.Sleep(100 * time.Millisecond)
		fl.leave(first, true)
		fl.gatherers[first].Drain(ctx)
		stopped := time.Now()
		group.Wait()
		assertCaller(t, fk, owner(fl), stopped)
	})
}

// TestUnevenConnections replays one instance with three times the work of the others: all share the calls of one
// gatherer, and no instance's work waits longer for it.
func TestUnevenConnections(t *testing.T) {
	play(t, []string{"a1", "a2", "a3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		group, mu := sync.WaitGroup{}, sync.Mutex{}
		took := map[string][]time.Duration{}
		began := time.Now()
		hand := func(name string, number int) {
			request := fmt.Sprint(name, "-", number)
			assertFinished(t, fl.clients[name].Run(ctx, "a", work(request, 2)), request, 2)
			mu.Lock()
			defer mu.Unlock()
			took[name] = append(took[name], time.Since(began))
		}
		for number := range 9 {
			group.Go(func() { hand("a1", number) })
			if number < 3 {
				group.Go(func() { hand("a2", number) })
				group.Go(func() { hand("a3", number) })
			}
		}
		group.Wait()
		must.LessEq(t, 6, len(fk.made()), must.Sprint("30 items in calls of up to 8"))
		for name, list := range took {
			must.LessEq(t, time.Second, slices.Max(list), must.Sprint(name))
		}
	})
}

// TestDomainCut replays a failure domain that is cut off: neither its instances nor its upstreams answer. Work that was
// planned there is done in another, long before it expires.
func TestDomainCut(t *testing.T) {
	play(t, []string{"a1", "a2", "b1", "b2"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		fl.frozen["b1"], fl.frozen["b2"] = true, true
		fk.kill("b1", true)
		group := sync.WaitGroup{}
		for number := range 4 {
			group.Go(func() {
				began := time.Now()
				request := fmt.Sprint("r", number)
				assertFinished(t, fl.clients["a1"].Run(ctx, "b", work(request, 2)), request, 2)
				must.Less(t, 2500*time.Millisecond, time.Since(began))
			})
		}
		group.Wait()
	})
}

// TestStrongInstancesGather replays a fleet of few strong and many weak machines.
func TestStrongInstancesGather(t *testing.T) {
	play(t, []string{"b1", "b2", "b3", "b4", "a1"}, func(_ context.Context, fl *fleet, _ *fakes) {
		fl.cores = map[string]int64{"b1": 190, "b2": 190, "b3": 800, "b4": 190, "a1": 800}
		must.Eq(t, "b3", owner(fl))
		fl.leave("b3", true)
		must.NotEq(t, "a1", owner(fl), must.Sprint("the failure domain goes first"))
	})
}

// TestMovedWorkBeyondBudget replays work whose gatherer fell silent after it had begun: its items would all be repeated
// sends. When the budget has not so many left, its caller is told at once and not when its time is over.
func TestMovedWorkBeyondBudget(t *testing.T) {
	play(t, []string{"b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		fk.budget = 3
		moved := work("r", 8)
		moved.MayHaveRun = true
		began := time.Now()
		_, refused := fl.clients["b1"].Run(ctx, "b", moved).(gather.Refused)
		must.True(t, refused)
		must.Less(t, 100*time.Millisecond, time.Since(began))
		must.SliceEmpty(t, fk.made())
		few := work("s", 3)
		few.MayHaveRun = true
		assertFinished(t, fl.clients["b1"].Run(ctx, "b", few), "s", 3)
	})
}
