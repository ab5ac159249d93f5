package upstream_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/emulator"
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// withStandin runs a test against an emulated upstream on a free port.
func withStandin(t *testing.T, kind string, test func(sd *emulator.Standin)) {
	t.Helper()
	sd := emulator.New("u", &plan.Standin{Kind: kind, Address: "127.0.0.1:0", Slots: 4, ServiceMicros: 100, TokenMicros: 100})
	must.NoError(t, sd.Start())
	defer sd.Stop()
	test(sd)
}

func call(sd *emulator.Standin, kind document.Kind) *upstream.Call {
	return &upstream.Call{
		Kind: kind, Upstream: "u", Address: sd.Address(), Path: "/act", MaxTokens: 8, Candidates: 2,
		Identity: attempt.Identity{RequestID: "r1", Stage: "s", Attempt: 3},
		Payload:  upstream.Payload{Query: "q", Vector: []float64{1}, Body: json.RawMessage(`{"a":1}`)},
	}
}

func do(t *testing.T, cl *upstream.Client, one *upstream.Call) upstream.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return cl.Do(ctx, one)
}

// outcomeIs fails the test unless the outcome is of a variant, and returns it.
func outcomeIs[T upstream.Outcome](t *testing.T, outcome upstream.Outcome) T {
	t.Helper()
	variant, is := outcome.(T)
	must.True(t, is, must.Sprintf("%#v", outcome))
	return variant
}

func TestDo(t *testing.T) {
	t.Run("a whole answer with its identity", func(t *testing.T) {
		withStandin(t, "Engine", func(sd *emulator.Standin) {
			one := call(sd, document.Engine)
			reply := outcomeIs[upstream.Replied](t, do(t, upstream.New(), one))
			must.Eq(t, one.Identity, reply.Identity)
			must.Len(t, 8, reply.Payload.Tokens)
		})
	})
	t.Run("nobody listens", func(t *testing.T) {
		withStandin(t, "Encoder", func(sd *emulator.Standin) {
			sd.Stop()
			outcomeIs[upstream.NotSent](t, do(t, upstream.New(), call(sd, document.Encoder)))
		})
	})
	t.Run("the upstream dies of the call", func(t *testing.T) {
		withStandin(t, "Engine", func(sd *emulator.Standin) {
			sd.SetFaults(emulator.Faults{CrashOn: "q"})
			must.True(t, outcomeIs[upstream.Broken](t, do(t, upstream.New(), call(sd, document.Engine))).Died)
		})
	})
	t.Run("garbage", func(t *testing.T) {
		for kind, standin := range map[document.Kind]string{document.Engine: "Engine", document.Encoder: "Encoder", document.Retriever: "Retriever"} {
			withStandin(t, standin, func(sd *emulator.Standin) {
				sd.SetFaults(emulator.Faults{Garbage: true})
				outcomeIs[upstream.Garbage](t, do(t, upstream.New(), call(sd, kind)))
			})
		}
	})
	t.Run("an answer that is cut short", func(t *testing.T) {
		withStandin(t, "Encoder", func(sd *emulator.Standin) {
			sd.SetFaults(emulator.Faults{CutShort: true})
			must.False(t, outcomeIs[upstream.Broken](t, do(t, upstream.New(), call(sd, document.Encoder))).Died)
		})
	})
	t.Run("leaving", func(t *testing.T) {
		withStandin(t, "Engine", func(sd *emulator.Standin) {
			sd.SetFaults(emulator.Faults{Leaving: true})
			must.True(t, outcomeIs[upstream.Refused](t, do(t, upstream.New(), call(sd, document.Engine))).Leaving)
		})
	})
}

func TestResume(t *testing.T) {
	withStandin(t, "Engine", func(sd *emulator.Standin) {
		sd.SetFaults(emulator.Faults{BreakAfterTokens: 3})
		cl, one, seen := upstream.New(), call(sd, document.Engine), []int{}
		one.OnToken = func(index int, _ string) { seen = append(seen, index) }
		broken := outcomeIs[upstream.Broken](t, do(t, cl, one))
		must.Len(t, 3, broken.Tokens)
		one.Payload.Tokens = broken.Tokens
		reply := outcomeIs[upstream.Replied](t, do(t, cl, one))
		must.Eq(t, []int{0, 1, 2, 3, 4, 5, 6, 7}, seen)
		for index, token := range reply.Payload.Tokens {
			must.Eq(t, emulator.Token("q", index), token)
		}
	})
}

// withStaleServer serves connections that answer once, read a second request, act on it and close. It counts
// what it acted on.
func withStaleServer(t *testing.T, test func(address string, acted *atomic.Int64)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	acted := &atomic.Int64{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveStale(connection, acted)
		}
	}()
	test(listener.Addr().String(), acted)
}

func serveStale(connection net.Conn, acted *atomic.Int64) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for at := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if strings.Contains(string(body), "order") {
			acted.Add(1)
		}
		if at == 0 && !strings.Contains(string(body), "order") {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		return
	}
}

// TestNoReplay sends an order after a connection has been kept, to a server that acts and closes.
func TestNoReplay(t *testing.T) {
	order := func(address string, nonIdempotent bool) *upstream.Call {
		return &upstream.Call{
			Kind: document.Service, Address: address, Path: "/", NonIdempotent: nonIdempotent,
			Payload: upstream.Payload{Body: json.RawMessage(`"order"`)},
		}
	}
	warm := func(address string) *upstream.Call {
		return &upstream.Call{Kind: document.Service, Address: address, Path: "/", Payload: upstream.Payload{Body: json.RawMessage(`"warm"`)}}
	}
	for name, nonIdempotent := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name+" calls are sent once", func(t *testing.T) {
			withStaleServer(t, func(address string, acted *atomic.Int64) {
				cl := upstream.New()
				do(t, cl, warm(address))
				outcomeIs[upstream.Broken](t, do(t, cl, order(address, nonIdempotent)))
				must.Eq(t, 1, acted.Load())
			})
		})
	}
	t.Run("the check finds a client of net/http that replays", func(t *testing.T) {
		withStaleServer(t, func(address string, acted *atomic.Int64) {
			for _, body := range []string{`"warm"`, `"order"`} {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(body))
				must.NoError(t, err)
				request.Header.Set("Idempotency-Key", "k")
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			must.Greater(t, 1, acted.Load())
		})
	})
}
