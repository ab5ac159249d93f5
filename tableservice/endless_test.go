package tableservice_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/endlessserver"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/tableservice"
)

const (
	// headLimit and replyLimit are the limits in docs/OPERATIONS.md, in bytes.
	headLimit  = 64 << 10
	replyLimit = 16 << 20
	// callTimeout is the timeout of the calls below, and closeSlack how much later the connection may be closed.
	callTimeout = 700 * time.Millisecond
	closeSlack  = 500 * time.Millisecond
	okHead      = "HTTP/1.1 200 OK\r\n"
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\n"
)

// assertEndless makes a call to services whose answers do not end and checks that the connection is closed.
func assertEndless(t *testing.T, bodies map[string]endlessserver.Case, call func(t *testing.T, ctx context.Context, cl *tableservice.Client)) {
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
			call(t, ctx, tableservice.New(sv.Address))
			closed, err := sv.AwaitClosed()
			must.NoError(t, err)
			must.NoError(t, closed.Check(body.Limit, callTimeout+closeSlack))
		})
	}
}

// bodies returns bodies without end, one of them after an answer.
func bodies(answer string) map[string]endlessserver.Case {
	cases := endlessserver.Bodies(okHead, replyLimit, headLimit)
	cases["blanks after an answer"] = endlessserver.Case{Answer: endlessserver.Answer{Head: okHead + "\r\n" + answer, Repeated: " "}, Limit: replyLimit}
	return cases
}

// TestEndlessAnswers guards against answers without end that fill the memory, or are taken for a commit or its refusal.
func TestEndlessAnswers(t *testing.T) {
	commit := func(t *testing.T, ctx context.Context, cl *tableservice.Client) {
		t.Helper()
		outcome := cl.Commit(ctx, table.Transaction{})
		_, is := outcome.(table.Unknown)
		must.True(t, is, must.Sprintf("%#v", outcome))
	}
	t.Run("reads", func(t *testing.T) {
		assertEndless(t, bodies(`{"Rows":[]}`), func(t *testing.T, ctx context.Context, cl *tableservice.Client) {
			t.Helper()
			outcome := cl.Read(ctx, "k")
			_, is := outcome.(table.Unavailable)
			must.True(t, is, must.Sprintf("%#v", outcome))
		})
	})
	t.Run("commits", func(t *testing.T) {
		assertEndless(t, bodies(`{"Committed":true}`), commit)
	})
	t.Run("refusals", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(refusedHead, headLimit, headLimit), commit)
	})
	t.Run("instances", func(t *testing.T) {
		assertEndless(t, bodies(`[]`), func(t *testing.T, ctx context.Context, cl *tableservice.Client) {
			t.Helper()
			_, err := cl.Instances(ctx)
			must.Error(t, err)
		})
	})
}
