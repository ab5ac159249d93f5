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

// setDead makes an upstream refuse connections, or accept them again.
func (fk *fakes) setDead(id string, dead bool) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.dead[id] = dead
}

// TestDomainRecovers: the only upstream of a failure domain crashes and is back after two seconds. The failure domain
// must get jobs again, although no job went there meanwhile that would have updated its load.
func TestDomainRecovers(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		class := gather.JobClass{}
		fk.setDead("b1", true)
		for number := range 4 {
			assertFinished(t, fl.clients["a1"].Run(ctx, "b", newJob(fmt.Sprint("r", number), 1)), fmt.Sprint("r", number), 1)
		}
		domain, _ := fl.clients["a1"].ShortestWait("p", "b", 0, class)
		must.Eq(t, "a", domain, must.Sprint("while the upstream is down, the other failure domain has the shorter wait"))
		fk.setDead("b1", false)
		time.Sleep(2 * time.Second)
		for _, name := range fl.names {
			must.Less(t, time.Second, fl.clients[name].ExpectedWait("p", "b", class))
		}
		assertFinished(t, fl.clients["a1"].Run(ctx, "b", newJob("again", 1)), "again", 1)
		calls := fk.madeCalls()
		must.Eq(t, "b1", calls[len(calls)-1].upstream)
	})
}

// TestDeadDomainFailsOver: the only upstream of a failure domain crashes while jobs are queued. They must be done in
// another failure domain long before they expire.
func TestDeadDomainFailsOver(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		group := sync.WaitGroup{}
		for number := range 3 {
			group.Go(func() {
				began := time.Now()
				request := fmt.Sprint("r", number)
				long := newJob(request, 8)
				assertFinished(t, fl.clients["a1"].Run(ctx, "b", long), request, 8)
				must.Less(t, 2*time.Second, time.Since(began))
			})
		}
		time.Sleep(100 * time.Millisecond)
		fk.setDead("b1", true)
		group.Wait()
	})
}

// submitMany has an instance submit more jobs than fit into a few calls; the returned group waits for all results.
func submitMany(ctx context.Context, t *testing.T, fl *fleet, from string) *sync.WaitGroup {
	t.Helper()
	group := &sync.WaitGroup{}
	for number := range 12 {
		group.Go(func() {
			request := fmt.Sprint("r", number)
			many := newJob(request, 8)
			many.Expires = time.Now().Add(10 * time.Second)
			assertFinished(t, fl.clients[from].Run(ctx, "b", many), request, 8)
		})
	}
	return group
}

// owner returns the instance that owns the queue in failure domain b.
func owner(fl *fleet) string {
	for _, name := range fl.names {
		if fl.clients[name].Owns(gather.QueueKey{Pool: "p", FailureDomain: "b"}) {
			return name
		}
	}
	return ""
}

// assertCaller checks that one instance makes all calls after a time.
func assertCaller(t *testing.T, fk *fakes, want string, from time.Time) {
	t.Helper()
	count := 0
	for _, each := range fk.madeCalls() {
		if each.at.After(from) {
			must.Eq(t, want, each.instance, must.Sprintf("%v after the change", each.at.Sub(from)))
			count++
		}
	}
	must.Positive(t, count)
}

// TestOwnerChanges: the first owner of a queue is live again while jobs are queued at the instance that replaced it. The
// jobs must move, since two instances that call the same upstreams would each count only their own results against the
// memory there.
func TestOwnerChanges(t *testing.T) {
	runFleet(t, []string{"b1", "b2", "b3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		first := owner(fl)
		fl.setLeft(first, true)
		second := owner(fl)
		must.NotEq(t, first, second)
		group := submitMany(ctx, t, fl, second)
		time.Sleep(100 * time.Millisecond)
		fl.setLeft(first, false)
		changed := time.Now()
		group.Wait()
		assertCaller(t, fk, first, changed.Add(time.Second))
	})
}

// TestOwnerStops: an owner shuts down with jobs in its queue. All of them must be done by other instances.
func TestOwnerStops(t *testing.T) {
	runFleet(t, []string{"b1", "b2", "b3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		first := owner(fl)
		other := fl.names[(slices.Index(fl.names, first)+1)%len(fl.names)]
		group := submitMany(ctx, t, fl, other)
		time.Sleep(100 * time.Millisecond)
		fl.setLeft(first, true)
		fl.gatherers[first].Drain(ctx)
		stopped := time.Now()
		group.Wait()
		assertCaller(t, fk, owner(fl), stopped)
	})
}

// TestUnevenLoadOfInstances: one instance has three times the jobs of the others. All must share the calls of one owner,
// and the jobs of no instance may wait longer for that.
func TestUnevenLoadOfInstances(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "a3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		group, mu := sync.WaitGroup{}, sync.Mutex{}
		took := map[string][]time.Duration{}
		began := time.Now()
		submit := func(name string, number int) {
			request := fmt.Sprint(name, "-", number)
			assertFinished(t, fl.clients[name].Run(ctx, "a", newJob(request, 2)), request, 2)
			mu.Lock()
			defer mu.Unlock()
			took[name] = append(took[name], time.Since(began))
		}
		for number := range 9 {
			group.Go(func() { submit("a1", number) })
			if number < 3 {
				group.Go(func() { submit("a2", number) })
				group.Go(func() { submit("a3", number) })
			}
		}
		group.Wait()
		must.LessEq(t, 6, len(fk.madeCalls()), must.Sprint("30 items in calls of up to 8"))
		for name, list := range took {
			must.LessEq(t, time.Second, slices.Max(list), must.Sprint(name))
		}
	})
}

// TestIsolatedDomain: a network partition isolates a failure domain, so that neither its instances nor its upstreams
// respond. Jobs planned there must be done in another one, long before they expire.
func TestIsolatedDomain(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1", "b2"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		fl.frozen["b1"], fl.frozen["b2"] = true, true
		fk.setDead("b1", true)
		group := sync.WaitGroup{}
		for number := range 4 {
			group.Go(func() {
				began := time.Now()
				request := fmt.Sprint("r", number)
				assertFinished(t, fl.clients["a1"].Run(ctx, "b", newJob(request, 2)), request, 2)
				must.Less(t, 2500*time.Millisecond, time.Since(began))
			})
		}
		group.Wait()
	})
}

// TestOwnersHaveEnoughCPU: in a fleet of few large and many small instances, the large ones must own the queues.
func TestOwnersHaveEnoughCPU(t *testing.T) {
	runFleet(t, []string{"b1", "b2", "b3", "b4", "a1"}, func(_ context.Context, fl *fleet, _ *fakes) {
		fl.cores = map[string]int64{"b1": 190, "b2": 190, "b3": 800, "b4": 190, "a1": 800}
		must.Eq(t, "b3", owner(fl))
		fl.setLeft("b3", true)
		must.NotEq(t, "a1", owner(fl), must.Sprint("an instance of the same failure domain ranks before a large one of another"))
	})
}

// TestResubmittedJobBeyondBudget: the owner of a queue stops responding after it accepted a job, so that each send of its
// items counts against the retry budget. If the budget is too small, the job must be refused at once and not time out.
func TestResubmittedJobBeyondBudget(t *testing.T) {
	runFleet(t, []string{"b1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
		fk.budget = 3
		resubmitted := newJob("r", 8)
		resubmitted.MayHaveRun = true
		began := time.Now()
		_, refused := fl.clients["b1"].Run(ctx, "b", resubmitted).(gather.Refused)
		must.True(t, refused)
		must.Less(t, 100*time.Millisecond, time.Since(began))
		must.SliceEmpty(t, fk.madeCalls())
		few := newJob("s", 3)
		few.MayHaveRun = true
		assertFinished(t, fl.clients["b1"].Run(ctx, "b", few), "s", 3)
	})
}
