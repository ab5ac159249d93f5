package instancecore_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/upstream"
)

// panickingUpstream streams one token and panics.
type panickingUpstream struct{ instantUpstream }

func (panickingUpstream) Do(_ context.Context, call *upstream.Call) upstream.Outcome {
	call.OnToken(0, "a")
	panic("a fault of the program")
}

// TestPanicInAStreamDoesNotEndIt guards against a stream that ends as complete because the program failed in the middle
// of it: it has no End event, and where the protocol has chunks, not the last one.
func TestPanicInAStreamDoesNotEndIt(t *testing.T) {
	text := engineText + "[Upstream e]\nPool = engines\nAddress = 127.0.0.1:1\nFailureDomain = a\nSlots = 4\n"
	server := httptest.NewUnstartedServer(startCore(t, text, emptyStore{}, panickingUpstream{}).CallerHandler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	body := `{"Rank":"Urgent","Input":"q","Stream":true}`
	t.Run("HTTP/1.1", func(t *testing.T) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/pipelines/draft", strings.NewReader(body))
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer key")
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assertNoEnd(t, string(content))
	})
	t.Run("HTTP/1.0", func(t *testing.T) {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		must.NoError(t, err)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST /v1/pipelines/draft HTTP/1.0\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		must.NoError(t, err)
		content, _ := io.ReadAll(connection)
		assertNoEnd(t, string(content))
	})
}

func assertNoEnd(t *testing.T, content string) {
	t.Helper()
	must.StrContains(t, content, "event: Token\ndata: {\"Index\":0,\"Text\":\"a\"}")
	must.StrNotContains(t, content, "event: End")
}
