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

// withStandin runs a test with an emulated upstream on a free port.
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

func do(t *testing.T, cl *upstream.Client, request *upstream.Call) upstream.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return cl.Do(ctx, request)
}

// outcomeIs fails the test unless the outcome is of the variant T, and returns it as T.
func outcomeIs[T upstream.Outcome](t *testing.T, outcome upstream.Outcome) T {
	t.Helper()
	variant, is := outcome.(T)
	must.True(t, is, must.Sprintf("%#v", outcome))
	return variant
}

func TestDo(t *testing.T) {
	t.Run("a complete answer has the identity of the call", func(t *testing.T) {
		withStandin(t, "Engine", func(sd *emulator.Standin) {
			request := call(sd, document.Engine)
			reply := outcomeIs[upstream.Replied](t, do(t, upstream.New(), request))
			must.Eq(t, request.Identity, reply.Identity)
			must.Len(t, 8, reply.Payload.Tokens)
		})
	})
	t.Run("a call without a listener is not sent", func(t *testing.T) {
		withStandin(t, "Encoder", func(sd *emulator.Standin) {
			sd.Stop()
			outcomeIs[upstream.NotSent](t, do(t, upstream.New(), call(sd, document.Encoder)))
		})
	})
	t.Run("an upstream that crashes on the call died", func(t *testing.T) {
		withStandin(t, "Engine", func(sd *emulator.Standin) {
			sd.SetFaults(emulator.Faults{CrashOn: "q"})
			must.True(t, outcomeIs[upstream.Broken](t, do(t, upstream.New(), call(sd, document.Engine))).Died)
		})
	})
	t.Run("an invalid answer is garbage", func(t *testing.T) {
		for kind, standin := range map[document.Kind]string{document.Engine: "Engine", document.Encoder: "Encoder", document.Retriever: "Retriever"} {
			withStandin(t, standin, func(sd *emulator.Standin) {
				sd.SetFaults(emulator.Faults{Garbage: true})
				outcomeIs[upstream.Garbage](t, do(t, upstream.New(), call(sd, kind)))
			})
		}
	})
	t.Run("a truncated answer is broken without a crash", func(t *testing.T) {
		withStandin(t, "Encoder", func(sd *emulator.Standin) {
			sd.SetFaults(emulator.Faults{CutShort: true})
			must.False(t, outcomeIs[upstream.Broken](t, do(t, upstream.New(), call(sd, document.Encoder))).Died)
		})
	})
	t.Run("an answer that comes early and is reset is broken", func(t *testing.T) {
		withStandin(t, "Service", func(sd *emulator.Standin) {
			for pause := range int64(20) {
				sd.SetFaults(emulator.Faults{EarlyReset: true, EarlyResetMs: pause})
				long := call(sd, document.Service)
				long.Path, long.Payload.Body = "/", json.RawMessage(`"`+strings.Repeat("x", 3<<20)+`"`)
				outcomeIs[upstream.Broken](t, do(t, upstream.New(), long))
			}
		})
	})
	t.Run("an answer whose status is none is broken", func(t *testing.T) {
		withStandin(t, "Encoder", func(sd *emulator.Standin) {
			for _, status := range []string{"000", "099", "101", "999"} {
				sd.SetFaults(emulator.Faults{Status: status})
				outcomeIs[upstream.Broken](t, do(t, upstream.New(), call(sd, document.Encoder)))
			}
		})
	})
	t.Run("a leaving upstream refuses the call", func(t *testing.T) {
		withStandin(t, "Engine", func(sd *emulator.Standin) {
			sd.SetFaults(emulator.Faults{Leaving: true})
			must.True(t, outcomeIs[upstream.Refused](t, do(t, upstream.New(), call(sd, document.Engine))).Leaving)
		})
	})
}

// TestResume checks that a call resumes from the tokens that arrived before the upstream broke off, and that each
// token is reported once.
func TestResume(t *testing.T) {
	withStandin(t, "Engine", func(sd *emulator.Standin) {
		sd.SetFaults(emulator.Faults{BreakAfterTokens: 3})
		cl, request, seen := upstream.New(), call(sd, document.Engine), []int{}
		request.OnToken = func(index int, _ string) { seen = append(seen, index) }
		broken := outcomeIs[upstream.Broken](t, do(t, cl, request))
		must.Len(t, 3, broken.Tokens)
		request.Payload.Tokens = broken.Tokens
		reply := outcomeIs[upstream.Replied](t, do(t, cl, request))
		must.Eq(t, []int{0, 1, 2, 3, 4, 5, 6, 7}, seen)
		for index, token := range reply.Payload.Tokens {
			must.Eq(t, emulator.Token("", "q", index), token)
		}
	})
}

// TestVersionOfTokens checks that the tokens of emulated engines name the software version of the engine, so that a
// stream with tokens of two versions is seen in its answer.
func TestVersionOfTokens(t *testing.T) {
	generate := func(version string, tokens []string) []string {
		sd := emulator.New("u", &plan.Standin{
			Kind: "Engine", Address: "127.0.0.1:0", Slots: 4, ServiceMicros: 100, TokenMicros: 100, SoftwareVersion: version,
		})
		must.NoError(t, sd.Start())
		defer sd.Stop()
		request := call(sd, document.Engine)
		request.Payload.Tokens = tokens
		return outcomeIs[upstream.Replied](t, do(t, upstream.New(), request)).Payload.Tokens
	}
	begun := generate("v1", nil)
	must.Len(t, 8, begun)
	for _, token := range begun {
		must.StrContains(t, token, "@v1")
	}
	for index, token := range generate("v2", begun[:3]) {
		must.StrContains(t, token, []string{"@v1", "@v2"}[min(index/3, 1)])
	}
}

// withStaleServer runs a test with a server that answers the first request on each connection, and reads the second
// one and closes the connection without an answer. executed counts the requests named "order" that it has read.
func withStaleServer(t *testing.T, test func(address string, executed *atomic.Int64)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	executed := &atomic.Int64{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveStale(connection, executed)
		}
	}()
	test(listener.Addr().String(), executed)
}

func serveStale(connection net.Conn, executed *atomic.Int64) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for at := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if strings.Contains(string(body), "order") {
			executed.Add(1)
		}
		if at == 0 && !strings.Contains(string(body), "order") {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		return
	}
}

// TestNoReplay checks that a call isn't sent twice when the server closes a reused connection after it has executed
// the call. net/http resends some requests in this case.
func TestNoReplay(t *testing.T) {
	order := func(address string, nonIdempotent bool) *upstream.Call {
		return &upstream.Call{
			Kind: document.Service, Address: address, Path: "/", NonIdempotent: nonIdempotent,
			Payload: upstream.Payload{Body: json.RawMessage(`"order"`)},
		}
	}
	warmUp := func(address string) *upstream.Call {
		return &upstream.Call{Kind: document.Service, Address: address, Path: "/", Payload: upstream.Payload{Body: json.RawMessage(`"warm"`)}}
	}
	for name, nonIdempotent := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name+" calls are sent once", func(t *testing.T) {
			withStaleServer(t, func(address string, executed *atomic.Int64) {
				cl := upstream.New()
				do(t, cl, warmUp(address))
				outcomeIs[upstream.Broken](t, do(t, cl, order(address, nonIdempotent)))
				must.Eq(t, 1, executed.Load())
			})
		})
	}
	t.Run("the server detects the replay of a net/http client", func(t *testing.T) {
		withStaleServer(t, func(address string, executed *atomic.Int64) {
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
			must.Greater(t, 1, executed.Load())
		})
	})
}
