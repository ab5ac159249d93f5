package gateway_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// permitsAfter returns fakes whose model engines permit a request after a time.
func permitsAfter(wait time.Duration, ids ...string) *fakes {
	fk := &fakes{permitAfter: map[string]time.Duration{}}
	for _, id := range ids {
		fk.permitAfter[id] = wait
	}
	return fk
}

// assertRefusedAt checks that a request was refused without a send, and when its caller is asked to retry.
func assertRefusedAt(t *testing.T, fk *fakes, outcome gateway.Outcome, after time.Duration) {
	t.Helper()
	refused, is := outcome.(gateway.Refused)
	must.True(t, is, must.Sprint(gateway.OutcomeName(outcome)))
	must.Eq(t, gateway.RateLimited, refused.Cause)
	must.Eq(t, after, refused.RetryAfter)
	must.SliceEmpty(t, fk.sends)
}

func TestRateLimits(t *testing.T) {
	t.Run("other upstreams get the requests that a rate limit does not allow, without a retry", func(t *testing.T) {
		fk := permitsAfter(time.Second, "p1")
		fk.budget.Window, fk.earlier = time.Second, 9
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 10, fk.sends)
		for _, send := range fk.sends {
			must.Eq(t, "p2", send.Upstream.ID)
		}
	})
	t.Run("an upstream whose permit was denied is not asked again until then", func(t *testing.T) {
		fk := permitsAfter(time.Second, "p1")
		fk.earlier = 9
		serve(t, fk, "/lookup/1", nil)
		must.SliceLen(t, 10+1, fk.asked)
	})
	t.Run("where all are limited a request waits while its first byte can still be on time", func(t *testing.T) {
		fk := permitsAfter(150*time.Millisecond, "p1", "p2")
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 1, fk.sends)
		must.LessEq(t, 2*time.Second-150*time.Millisecond, fk.sends[0].Remaining, must.Sprint("the time that is left when it is sent"))
	})
	t.Run("it is refused at once if it would be late, with the time of the next permit", func(t *testing.T) {
		fk := permitsAfter(800*time.Millisecond, "p1", "p2")
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertRefusedAt(t, fk, outcome, 800*time.Millisecond)
	})
	t.Run("callers are asked to come back one after the other, at the rate of the limits", func(t *testing.T) {
		fk := permitsAfter(800*time.Millisecond, "p1", "p2")
		fk.earlier = 3
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertRefusedAt(t, fk, outcome, 800*time.Millisecond+3*time.Second/4)
	})
	t.Run("a request that runs once is sent once its upstream allows it", func(t *testing.T) {
		fk := permitsAfter(100*time.Millisecond, "p1", "p2")
		outcome, _ := serve(t, fk, "/once/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 1, fk.sends)
	})
	t.Run("a broken stream waits for a permit", func(t *testing.T) {
		fk := permitsAfter(600*time.Millisecond, "m1", "m2", "m3")
		fk.responses = []response{
			{status: 200, body: "id: 1\ndata: x\n\n", contentType: "text/event-stream", interrupted: true},
			{status: 200, body: "id: 2\ndata: x\n\n", contentType: "text/event-stream"},
		}
		outcome, _ := serve(t, fk, "/query/1", nil)
		assertOutcome(t, "Answered", outcome)
		must.SliceLen(t, 2, fk.sends)
	})
	t.Run("a request that would end while it waits is refused at once", func(t *testing.T) {
		fk := permitsAfter(200*time.Millisecond, "p1", "p2")
		outcome, _ := serve(t, fk, "/lookup/1", func(rq *gateway.Request) { rq.CallerTimeout = 100 * time.Millisecond })
		assertRefusedAt(t, fk, outcome, 200*time.Millisecond)
	})
}

// withKey gives a request another API key.
func withKey(key string) func(rq *gateway.Request) {
	return func(rq *gateway.Request) { rq.APIKey = key }
}

// TestAllColdUpstreams guards against callers who are asked to retry long after the upstreams are warm, and against less urgent
// requests that take the permits for which more urgent ones wait.
func TestAllColdUpstreams(t *testing.T) {
	t.Run("callers are asked to come back one after the other, soon after the end of the cold time at the latest", func(t *testing.T) {
		fk := permitsAfter(800*time.Millisecond, "p1", "p2")
		fk.coldFor, fk.earlier = time.Second, 9
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertRefusedAt(t, fk, outcome, time.Second+9*10*time.Millisecond)
	})
	t.Run("an urgent request waits as at a rate limit", func(t *testing.T) {
		fk := permitsAfter(150*time.Millisecond, "p1", "p2")
		fk.coldFor = time.Second
		outcome, _ := serve(t, fk, "/lookup/1", nil)
		assertOutcome(t, "Answered", outcome)
	})
	t.Run("a less urgent one leaves the late permits to others", func(t *testing.T) {
		fk := permitsAfter(150*time.Millisecond, "p1", "p2")
		fk.coldFor = time.Second
		outcome, _ := serve(t, fk, "/lookup/1", withKey("patient"))
		assertRefusedAt(t, fk, outcome, 150*time.Millisecond)
	})
}
