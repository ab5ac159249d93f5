package gather_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// slowLoad is the load that the owner of the queue in failure domain a sends if one upstream there is slow.
func slowLoad(slow ...*wire.SlowUpstream) *wire.LoadRequest {
	return &wire.LoadRequest{Pool: "p", Load: &wire.PoolLoad{FailureDomain: "a", WaitMs: 1, Slow: slow}}
}

// callsTo returns the number of calls to an upstream.
func callsTo(fk *fakes, id string) int {
	count := 0
	for _, each := range fk.madeCalls() {
		if each.upstream == id {
			count++
		}
	}
	return count
}

// runJobs submits jobs of one item, one after the other, to the queue in failure domain a.
func runJobs(ctx context.Context, t *testing.T, fl *fleet, from string) {
	t.Helper()
	for number := range 4 {
		request := fmt.Sprint("r", number)
		assertFinished(t, fl.clients[from].Run(ctx, "a", newJob(request, 1)), request, 1)
	}
}

// TestSlowUpstreamsOfLostOwner guards against a new owner of a queue that sends its first calls to the upstreams that the last
// one knew as slow.
func TestSlowUpstreamsOfLostOwner(t *testing.T) {
	slow := &wire.SlowUpstream{Upstream: "a1", Factor: 9, AgeMs: 100}
	t.Run("the load of the owner tells", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			_, _ = fl.servers["a1"].Load(ctx, slowLoad(slow))
			runJobs(ctx, t, fl, "a1")
			must.Zero(t, callsTo(fk, "a1"))
		})
	})
	t.Run("replies to submitted jobs tell", func(t *testing.T) {
		runFleet(t, []string{"a1", "a2", "a3"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			first := ownerOf(fl, "a")
			_, _ = fl.servers[first].Load(ctx, slowLoad(slow))
			for _, name := range fl.names {
				assertFinished(t, fl.clients[name].Run(ctx, "a", newJob("r"+name, 1)), "r"+name, 1)
			}
			fl.setLeft(first, true)
			second := ownerOf(fl, "a")
			must.NotEq(t, first, second)
			runJobs(ctx, t, fl, second)
			must.Zero(t, callsTo(fk, "a1"))
			reply, err := fl.servers[second].Load(ctx, &wire.LoadRequest{Pool: "p", FailureDomain: "a"})
			must.NoError(t, err)
			must.SliceLen(t, 1, reply.GetLoad().GetSlow())
			must.Eq(t, "a1", reply.GetLoad().GetSlow()[0].GetUpstream())
			must.GreaterEq(t, 100+time.Second.Milliseconds(), reply.GetLoad().GetSlow()[0].GetAgeMs(), must.Sprint("ages grow"))
		})
	})
	t.Run("the time without an owner does not count", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			_, _ = fl.servers["a1"].Load(ctx, slowLoad(&wire.SlowUpstream{Upstream: "a1", Factor: 3, AgeMs: 2000}))
			time.Sleep(1500 * time.Millisecond)
			runJobs(ctx, t, fl, "a1")
			must.NotEq(t, "a1", fk.madeCalls()[0].upstream)
		})
	})
}

// TestSlowUpstreamsForgotten guards against upstreams that get no calls because they once were slow, or because of a message.
func TestSlowUpstreamsForgotten(t *testing.T) {
	slow := &wire.SlowUpstream{Upstream: "a1", Factor: 9, AgeMs: 100}
	t.Run("an estimate is not kept forever", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			_, _ = fl.servers["a1"].Load(ctx, slowLoad(slow))
			time.Sleep(20 * time.Second)
			group := sync.WaitGroup{}
			for _, request := range []string{"r", "s"} {
				group.Go(func() { assertFinished(t, fl.clients["a1"].Run(ctx, "a", newJob(request, 8)), request, 8) })
			}
			group.Wait()
			must.Eq(t, 1, callsTo(fk, "a1"))
		})
	})
	t.Run("an owner that knows of none is believed", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			_, _ = fl.servers["a1"].Load(ctx, slowLoad(slow))
			time.Sleep(100 * time.Millisecond)
			_, _ = fl.servers["a1"].Load(ctx, slowLoad())
			runJobs(ctx, t, fl, "a1")
			must.Positive(t, callsTo(fk, "a1"))
		})
	})
	t.Run("another incarnation is not slow", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, fk *fakes) {
			_, _ = fl.servers["a1"].Load(ctx, slowLoad(&wire.SlowUpstream{Upstream: "a1", StartUnixMs: 7, Factor: 9}))
			runJobs(ctx, t, fl, "a1")
			must.Positive(t, callsTo(fk, "a1"))
		})
	})
	t.Run("no message makes a pool useless", func(t *testing.T) {
		runFleet(t, []string{"a1"}, func(ctx context.Context, fl *fleet, _ *fakes) {
			many := []*wire.SlowUpstream{{Upstream: "@", AgeMs: -1 << 62}, {Factor: -1}, {}}
			for at := range 1000 {
				many = append(many, &wire.SlowUpstream{Upstream: "a" + fmt.Sprint(at), Factor: 1e300, AgeMs: 1 << 62})
			}
			_, _ = fl.servers["a1"].Load(ctx, slowLoad(many...))
			runJobs(ctx, t, fl, "a1")
		})
	})
}

// ownerOf returns the instance that owns the queue in a failure domain.
func ownerOf(fl *fleet, domain string) string {
	for _, name := range fl.names {
		if !fl.left[name] && fl.clients[name].Owns(gather.QueueKey{Pool: "p", FailureDomain: domain}) {
			return name
		}
	}
	return ""
}
