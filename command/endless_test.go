package command_test

import (
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/command"
	"github.com/turmericdoor/turmericdoor/endlessserver"
	"github.com/turmericdoor/turmericdoor/timer"
)

const (
	// headLimit, answerLimit and streamLimit are the limits in docs/OPERATIONS.md, in bytes.
	headLimit   = 64 << 10
	answerLimit = 32 << 20
	streamLimit = 64 << 20
	// commandTimeout is the timeout of the commands below, in milliseconds.
	commandTimeout = 700
	okHead         = "HTTP/1.1 200 OK\r\n"
)

// counter counts the bytes that are written. A buffer that grows by copying 32 MB stops the whole process under the race
// detector, also the goroutine that closes the connection.
type counter struct {
	bytes int64
}

// Write counts data and drops it.
func (ct *counter) Write(data []byte) (int, error) {
	ct.bytes += int64(len(data))
	return len(data), nil
}

// assertEndless runs a command against instances whose answers do not end; it must fail, and close the connection: at a limit
// before any time has passed by the command's timers, or at its timeout if the answer hardly comes.
func assertEndless(t *testing.T, bodies map[string]endlessserver.Case, arguments ...string) {
	t.Helper()
	cases := endlessserver.Heads(okHead, headLimit)
	maps.Copy(cases, bodies)
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			sv, err := endlessserver.New(t.Context(), body.Answer)
			must.NoError(t, err)
			defer sv.Close()
			timers := timer.NewManual(time.Now())
			if body.Answer.Every > 0 || body.Answer.Repeated == "" {
				go timeOut(timers, sv.Began)
			}
			out := &counter{}
			cli := command.New(out)
			cli.Timers = timers
			code := cli.Run(append(arguments, "--address", sv.Address, "--timeout", strconv.Itoa(commandTimeout)))
			must.NotEq(t, command.ExitDone, code)
			must.LessEq(t, body.Limit, out.bytes, must.Sprint("bytes printed"))
			closed, err := sv.AwaitClosed()
			must.NoError(t, err)
			t.Logf("printed %d, sent %d bytes, closed after %v", out.bytes, closed.Sent, closed.After)
			must.LessEq(t, endlessserver.MaxSent(body.Limit), closed.Sent, must.Sprint("bytes sent"))
		})
	}
}

// timeOut lets the timeout of a command pass once its answer has begun.
func timeOut(timers *timer.Service, began <-chan struct{}) {
	<-began
	timers.Advance(timer.Milliseconds(commandTimeout))
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
