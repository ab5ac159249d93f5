package instance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/faultserver"
)

const (
	// maxOpenTime bounds how long a connection to a peer that never answers is open: the timeout of a heartbeat, and the time
	// for which gRPC tries to send its last frame.
	maxOpenTime = 6 * time.Second
	// maxOpenBytes bounds what is read on such a connection, in bytes.
	maxOpenBytes = 64 << 20
	// emptySettings is an HTTP/2 frame without settings.
	emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
)

// TestOtherServerAtTheAddressOfAPeer guards against connections that are kept although no instance answers on them.
func TestOtherServerAtTheAddressOfAPeer(t *testing.T) {
	for name, answer := range map[string]faultserver.Answer{
		"an HTTP/1.1 head":     {Head: "HTTP/1.1 200 OK\r\n", Repeated: "X-A: b\r\n"},
		"settings without end": {Repeated: emptySettings},
		"silence":              {},
	} {
		t.Run(name, func(t *testing.T) {
			sv, err := faultserver.New(t.Context(), answer)
			must.NoError(t, err)
			defer sv.Close()
			plainWithSeed := func(cl *cluster) { cl.seeds = []string{sv.Address} }
			withCluster(t, 1, plainWithSeed, func(*cluster) {
				select {
				case closed := <-sv.Closed:
					t.Log(closed)
					must.LessEq(t, faultserver.MaxSent(maxOpenBytes), closed.Sent)
					must.LessEq(t, maxOpenTime, closed.After)
				case <-time.After(2 * maxOpenTime):
					must.Unreachable(t, must.Sprint("no connection was closed"))
				}
			})
		})
	}
}
