package entry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// assertCancelled calls CancelRequests while a request is in flight and checks the outcome of the request.
func assertCancelled(t *testing.T, want, path string, prepare func(up *upstream)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleet(1, defects{})
		sk := &soak{fleet: fl, keyHolders: []string{organisationName(0)}}
		sk.configure()
		time.Sleep(convergenceTime)
		fl.upstreams.mu.Lock()
		for _, up := range fl.upstreams.byID {
			prepare(up)
		}
		fl.upstreams.mu.Unlock()
		nd := fl.live()[0]
		httpRequest, err := http.NewRequest(http.MethodPost, "http://h"+path, nil)
		must.NoError(t, err)
		request := &gateway.Request{
			ID: "r", Method: http.MethodPost, Host: "h", Path: path, APIKey: "key-" + organisationName(0), Arrived: time.Now(), CallerTimeout: requestTimeout,
			ItemCounts: []int{2, 1}, ItemKey: "r",
		}
		time.AfterFunc(300*time.Millisecond, nd.entry.CancelRequests)
		outcome := nd.entry.Serve(httpRequest, request, &sink{})
		must.Eq(t, want, gateway.OutcomeName(outcome))
		must.Less(t, time.Second, time.Since(request.Arrived))
		fl.stop()
	})
}

// TestCancelRequests checks the outcomes of requests that are in flight when the grace period ends.
func TestCancelRequests(t *testing.T) {
	t.Run("a request that waits for its stages did not run and is refused", func(t *testing.T) {
		assertCancelled(t, "Refused", "/draft/1", func(up *upstream) { up.hangs = up.Pool == "encode" })
	})
	t.Run("a request that was sent may have run and times out", func(t *testing.T) {
		assertCancelled(t, "TimedOut", "/once/1", func(up *upstream) { up.hangs = up.Pool == "plain" })
	})
}
