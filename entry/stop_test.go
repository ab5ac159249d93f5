package entry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// assertEnded has an instance end its requests while one is under way, and checks what its caller is told.
func assertEnded(t *testing.T, want, path string, prepare func(up *upstream)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleet(1, broken{})
		sk := &soak{fleet: fl, holders: []string{organisation(0)}}
		sk.configure()
		time.Sleep(contact)
		fl.world.mu.Lock()
		for _, up := range fl.world.upstreams {
			prepare(up)
		}
		fl.world.mu.Unlock()
		nd := fl.live()[0]
		carrier, err := http.NewRequest(http.MethodPost, "http://h"+path, nil)
		must.NoError(t, err)
		request := &gateway.Request{
			ID: "r", Method: http.MethodPost, Host: "h", Path: path, APIKey: "key-" + organisation(0), Arrived: time.Now(), CallerTimeout: patience,
			ItemCounts: []int{2, 1}, ItemKey: "r",
		}
		time.AfterFunc(300*time.Millisecond, nd.entry.CancelRequests)
		outcome := nd.entry.Serve(carrier, request, &sink{})
		must.Eq(t, want, gateway.OutcomeName(outcome))
		must.Less(t, time.Second, time.Since(request.Arrived))
		fl.end()
	})
}

// TestEndRequests replays the end of an instance's grace time with requests under way: each is told its outcome.
func TestEndRequests(t *testing.T) {
	t.Run("one that waits for its stages is refused: it did not run", func(t *testing.T) {
		assertEnded(t, "Refused", "/draft/1", func(up *upstream) { up.hangs = up.Pool == "encode" })
	})
	t.Run("one that was sent may have run", func(t *testing.T) {
		assertEnded(t, "TimedOut", "/once/1", func(up *upstream) { up.hangs = up.Pool == "plain" })
	})
}
