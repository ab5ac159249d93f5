package command_test

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/command"
	"github.com/turmericdoor/turmericdoor/endlessserver"
)

const (
	// headLimit, answerLimit and streamLimit are the limits in docs/OPERATIONS.md, in bytes.
	headLimit   = 64 << 10
	answerLimit = 32 << 20
	streamLimit = 64 << 20
	// commandTimeout is the timeout of the commands below, and closeSlack how much later the connection may be closed.
	commandTimeout = "700"
	closeWithin    = 1200 * time.Millisecond
	okHead         = "HTTP/1.1 200 OK\r\n"
)

// assertEndless runs a command against instances whose answers do not end; it must fail, and close the connection.
func assertEndless(t *testing.T, bodies map[string]endlessserver.Case, arguments ...string) {
	t.Helper()
	cases := endlessserver.Heads(okHead, headLimit)
	maps.Copy(cases, bodies)
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			sv, err := endlessserver.New(t.Context(), body.Answer)
			must.NoError(t, err)
			defer sv.Close()
			code, out := run(append(arguments, "--address", sv.Address, "--timeout", commandTimeout)...)
			must.NotEq(t, command.ExitDone, code)
			must.LessEq(t, body.Limit, int64(len(out)), must.Sprint("bytes printed"))
			closed, err := sv.AwaitClosed()
			must.NoError(t, err)
			t.Logf("printed %d, sent %d bytes", len(out), closed.Sent)
			must.NoError(t, closed.Check(body.Limit, closeWithin))
		})
	}
}

// TestEndlessAnswers guards against a command that collects an answer without end until its timeout.
func TestEndlessAnswers(t *testing.T) {
	t.Run("status", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(okHead, answerLimit, headLimit), "status")
	})
	t.Run("ask", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(okHead, answerLimit, headLimit), "ask", "--pipeline", "p", "--input", "i")
	})
	t.Run("ask for a stream", func(t *testing.T) {
		assertEndless(t, endlessserver.Bodies(okHead, streamLimit, headLimit), "ask", "--pipeline", "p", "--input", "i", "--stream")
	})
}
