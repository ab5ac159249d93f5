package upstream_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/endlessserver"
	"github.com/turmericdoor/turmericdoor/order"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// The limits in docs/OPERATIONS.md, in bytes.
const (
	headLimit      = 64 << 10
	replyLimit     = 8 << 20
	rejectionLimit = 64 << 10
	lineLimit      = 256 << 10
	streamLimit    = 16 << 20
	controlLimit   = 1 << 20
)

const (
	// callTimeout is the timeout of the calls below, and closeSlack how much later the connection may be closed.
	callTimeout = 700 * time.Millisecond
	closeSlack  = 500 * time.Millisecond
	okHead      = "HTTP/1.1 200 OK\r\n"
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
	invalidHead = "HTTP/1.1 400 Bad Request\r\n"
)

// assertEndless makes a call to servers whose answers do not end and checks that the connection is closed.
func assertEndless(t *testing.T, bodies map[string]endlessserver.Case, call func(t *testing.T, ctx context.Context, address string)) {
	t.Helper()
	cases := endlessserver.Heads(okHead, headLimit)
	maps.Copy(cases, bodies)
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			sv, err := endlessserver.New(t.Context(), body.Answer)
			must.NoError(t, err)
			defer sv.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			call(t, ctx, sv.Address)
			closed, err := sv.AwaitClosed()
			must.NoError(t, err)
			must.NoError(t, closed.Check(body.Limit, callTimeout+closeSlack))
		})
	}
}

// assertUnusable returns a call of a kind whose outcome must be neither an answer nor the promise that it did not run.
func assertUnusable(kind document.Kind) func(t *testing.T, ctx context.Context, address string) {
	return func(t *testing.T, ctx context.Context, address string) {
		t.Helper()
		outcome := upstream.New().Do(ctx, &upstream.Call{Kind: kind, Upstream: "u", Address: address, Path: "/act", MaxTokens: 8, Candidates: 2})
		switch outcome.(type) {
		case upstream.Broken, upstream.Garbage:
		default:
			must.Unreachable(t, must.Sprintf("%#v", outcome))
		}
	}
}

// TestEndlessAnswers guards against answers without end that fill the memory or are taken for answers.
func TestEndlessAnswers(t *testing.T) {
	t.Run("answers", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(okHead, replyLimit, headLimit), assertUnusable(document.Encoder))
	})
	t.Run("streams", func(t *testing.T) {
		bodies := endlessserver.Bodies(okHead, lineLimit, headLimit)
		for name, line := range map[string]string{"lines": "x\n", "empty lines": "\n", "repeated tokens": `data: {"index":-1,"text":"a"}` + "\n\n"} {
			bodies[name] = endlessserver.Case{Answer: endlessserver.Answer{Head: okHead + "\r\n", Repeated: line}, Limit: streamLimit}
		}
		assertEndless(t, bodies, assertUnusable(document.Engine))
	})
	t.Run("refusals", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(refusedHead, rejectionLimit, headLimit), assertUnusable(document.Engine))
	})
	t.Run("rejections", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(invalidHead, rejectionLimit, headLimit), assertUnusable(document.Engine))
	})
	t.Run("the state of an engine", func(t *testing.T) {
		bodies := endlessserver.Bodies(okHead, controlLimit, headLimit)
		bodies["blanks after an answer"] = endlessserver.Case{Answer: endlessserver.Answer{Head: okHead + "\r\n{}", Repeated: " "}, Limit: controlLimit}
		assertEndless(t, bodies, func(t *testing.T, ctx context.Context, address string) {
			t.Helper()
			_, err := upstream.New().ReadEngine(ctx, address)
			must.Error(t, err)
		})
	})
	t.Run("the answer to an order", func(t *testing.T) {
		bodies := endlessserver.Bodies(okHead, controlLimit, headLimit)
		bodies["blanks after an answer"] = endlessserver.Case{Answer: endlessserver.Answer{Head: okHead + "\r\n{}", Repeated: " "}, Limit: controlLimit}
		bodies["a refusal"] = endlessserver.Case{Answer: endlessserver.Answer{Head: refusedHead + "\r\n", Repeated: "x"}, Limit: rejectionLimit}
		assertEndless(t, bodies, func(t *testing.T, ctx context.Context, address string) {
			t.Helper()
			must.Error(t, upstream.New().OrderEngine(ctx, address, 1, order.State{Model: "m"}))
		})
	})
}

// TestEndlessAnswerToAProbe guards against a probe that reads what an upstream sends, or waits for it.
func TestEndlessAnswerToAProbe(t *testing.T) {
	for name, answer := range map[string]endlessserver.Answer{
		"bytes":           {Repeated: "x", AtOnce: true},
		"bytes that drip": {Repeated: "x", AtOnce: true, Every: endlessserver.Drip},
		"silence":         {AtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			sv, err := endlessserver.New(t.Context(), answer)
			must.NoError(t, err)
			defer sv.Close()
			must.True(t, upstream.New().Reachable(t.Context(), sv.Address))
			closed, err := sv.AwaitClosed()
			must.NoError(t, err)
			must.NoError(t, closed.Check(0, closeSlack))
		})
	}
}

// brokenHeads are heads of answers that break off.
var brokenHeads = []string{
	okHead + "X-Request-Id: r1\r\nX-Stage: s\r\nX-Attempt: 1\r\nContent-Length: 2\r\n\r\n",
	okHead + "Transfer-Encoding: chunked\r\n\r\n", okHead + "\r\n", refusedHead + "\r\n", invalidHead + "Content-Length: 0\r\n\r\n",
}

// TestHeadThatBreaksOff guards against an answer whose head breaks off at any byte and that is taken for an answer, or for one that says
// that the call has not run.
func TestHeadThatBreaksOff(t *testing.T) {
	for _, kind := range []document.Kind{document.Service, document.Engine, document.Encoder, document.Retriever} {
		for _, head := range brokenHeads {
			for end := range len(head) {
				switch outcome := answerRaw(t, kind, head[:end], end%20 == 7); outcome.(type) {
				case upstream.Broken, upstream.Garbage:
				default:
					must.Unreachable(t, must.Sprintf("%q: %#v", head[:end], outcome))
				}
			}
		}
	}
}
