package command_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/command"
)

// askForStream runs the command ask with --stream against an instance that answers with a text.
func askForStream(text string) (int, string) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, text)
	}))
	defer server.Close()
	return run("ask", "--pipeline", "p", "--input", "i", "--stream", "--address", strings.TrimPrefix(server.URL, "http://"))
}

// TestStreamThatFailedIsPrintedAsDone guards against a command that reports a stream as done that failed or has no End event.
func TestStreamThatFailedIsPrintedAsDone(t *testing.T) {
	token := "event: Token\ndata: {\"Index\":0,\"Text\":\"a\"}\n\n"
	cases := map[string]string{
		"without an End event":                token,
		"a failure":                           token + "event: End\ndata: {\"Outcome\":\"Failed\",\"Error\":{\"Code\":\"UpstreamFailed\"}}\n\n",
		"an unknown outcome":                  token + "event: End\ndata: {\"Outcome\":\"Unknown\"}\n\n",
		"an End event without its blank line": token + "event: End\ndata: {\"Outcome\":\"Answered\"}\n",
		"a success as a token":                "event: Token\ndata: {\"Outcome\":\"Answered\"}\n\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			code, out := askForStream(text)
			must.NotEq(t, command.ExitDone, code)
			must.StrHasPrefix(t, text, out)
		})
	}
	t.Run("a success", func(t *testing.T) {
		code, out := askForStream(token + "event: End\ndata: {\"Outcome\":\"Answered\"}\n\n")
		must.Eq(t, command.ExitDone, code)
		must.StrContains(t, out, "Answered")
	})
}
