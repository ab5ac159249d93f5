package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/limit"
)

var start = time.Unix(1000, 0)

// newDispatcher returns a dispatcher on the only instance, for a pool of upstreams with the given slots each.
func newDispatcher(upstreams, slots int) *dispatch.Dispatcher {
	pool := &document.Pool{Name: "p", StageTime: 10 * time.Millisecond, RetryPercent: 10}
	for at := range upstreams {
		pool.Upstreams = append(pool.Upstreams, &document.Upstream{Name: fmt.Sprintf("u%d", at), FailureDomain: "a", Slots: int64(slots), Incarnation: 1})
	}
	ds := dispatch.New(limit.Divided{}, rand.New(rand.NewPCG(1, 2)), 100, pool.StageTime)
	ds.Update(start, pool, []*document.Rank{{Name: "Urgent"}, {Name: "Background", Index: 1}}, nil)
	return ds
}

func request(id uint64, rank int) dispatch.Request {
	return dispatch.Request{ID: id, Organisation: "o", Weight: 1, Rank: rank, Deadline: start.Add(time.Second), FailureDomain: "a"}
}

// started returns the upstream of each Start action by request ID.
func started(actions []dispatch.Action) map[uint64]string {
	found := map[uint64]string{}
	for _, action := range actions {
		if one, ok := action.(dispatch.Start); ok {
			found[one.ID] = one.Upstream
		}
	}
	return found
}

func TestSubmit(t *testing.T) {
	t.Run("starts requests while upstreams have capacity, then when a call ends", func(t *testing.T) {
		ds := newDispatcher(1, 1)
		must.MapContainsKey(t, started(ds.Submit(start, request(1, 0), nil)), 1)
		must.SliceEmpty(t, ds.Submit(start, request(2, 1), nil))
		must.SliceEmpty(t, ds.Submit(start, request(3, 0), nil))
		ended := ds.Finish(start, dispatch.CallResult{ID: 1, Upstream: "u0", Status: dispatch.Succeeded, Elapsed: time.Millisecond, Load: -1}, nil)
		must.MapContainsKey(t, started(ended), 3)
	})
	t.Run("refuses an expired request with a positive RetryAfter", func(t *testing.T) {
		ds := newDispatcher(1, 1)
		ds.Submit(start, request(1, 0), nil)
		ds.Submit(start, request(2, 0), nil)
		refused, ok := ds.Tick(start.Add(2*time.Second), nil)[0].(dispatch.Refuse)
		must.True(t, ok)
		must.Eq(t, dispatch.DeadlineCannotBeMet, refused.Reason)
		must.Positive(t, refused.RetryAfter)
	})
	t.Run("refuses a request if the queue is full", func(t *testing.T) {
		ds := newDispatcher(1, 1)
		for id := range uint64(101) {
			must.SliceEmpty(t, refusals(ds.Submit(start, request(id+1, 0), nil)))
		}
		must.SliceNotEmpty(t, refusals(ds.Submit(start, request(200, 0), nil)))
	})
}

func refusals(actions []dispatch.Action) []dispatch.Refuse {
	found := []dispatch.Refuse{}
	for _, action := range actions {
		if one, ok := action.(dispatch.Refuse); ok {
			found = append(found, one)
		}
	}
	return found
}

// TestExclusive checks that an exclusive request waits for an idle upstream and that others wait for its end.
func TestExclusive(t *testing.T) {
	ds := newDispatcher(1, 4)
	ds.Submit(start, request(1, 0), nil)
	exclusive := request(2, 0)
	exclusive.Exclusive = true
	must.SliceEmpty(t, ds.Submit(start, exclusive, nil))
	must.SliceEmpty(t, ds.Submit(start, request(3, 0), nil))
	finish := func(id uint64) map[uint64]string {
		return started(ds.Finish(start, dispatch.CallResult{ID: id, Upstream: "u0", Status: dispatch.Succeeded, Load: -1}, nil))
	}
	must.Eq(t, map[uint64]string{2: "u0"}, finish(1))
	must.Eq(t, map[uint64]string{3: "u0"}, finish(2))
}

// TestMarkLeaving checks that a leaving upstream gets no new calls.
func TestMarkLeaving(t *testing.T) {
	ds := newDispatcher(2, 4)
	ds.MarkLeaving("u0", 1)
	for id := range uint64(4) {
		must.Eq(t, "u1", started(ds.Submit(start, request(id+1, 0), nil))[id+1])
	}
	must.SliceEmpty(t, ds.Submit(start, request(9, 0), nil))
}

// TestFinishTwice checks that finishing a call twice breaks an invariant.
func TestFinishTwice(t *testing.T) {
	ds := newDispatcher(1, 1)
	ds.Submit(start, request(1, 0), nil)
	result := dispatch.CallResult{ID: 1, Upstream: "u0", Load: -1}
	ds.Finish(start, result, nil)
	defer func() {
		_, isBreach := recover().(invariant.Violation)
		must.True(t, isBreach)
	}()
	ds.Finish(start, result, nil)
}

// BenchmarkSubmit measures all decisions for one request: Submit and Finish.
func BenchmarkSubmit(b *testing.B) {
	for _, size := range []int{10, 150, 600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ds := newDispatcher(size, 8)
			actions := make([]dispatch.Action, 0, 4)
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				actions = ds.Submit(start, request(id, 0), actions[:0])
				up := started(actions)[id]
				ds.Finish(start, dispatch.CallResult{ID: id, Upstream: up, Elapsed: 10 * time.Millisecond, Load: 1}, actions[:0])
			}
		})
	}
}
