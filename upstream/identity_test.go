package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// otherIdentities are the headers of answers that name another call than r1, stage encode, attempt 1.
var otherIdentities = map[string]map[string]string{
	"request": {upstream.HeaderRequestID: "another"},
	"stage":   {upstream.HeaderRequestID: "r1", upstream.HeaderStage: "rank"},
	"attempt": {upstream.HeaderRequestID: "r1", upstream.HeaderStage: "encode", upstream.HeaderAttempt: "2"},
}

// answerTo returns the outcome of a call of request r1 that is answered with a status and headers.
func answerTo(t *testing.T, status int, headers map[string]string) upstream.Outcome {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for name, value := range headers {
			writer.Header().Set(name, value)
		}
		writer.Header().Set(upstream.HeaderNotRun, "1")
		writer.WriteHeader(status)
	}))
	defer server.Close()
	return upstream.New().Do(t.Context(), &upstream.Call{
		Kind: document.Encoder, Address: strings.TrimPrefix(server.URL, "http://"),
		Identity: attempt.Identity{RequestID: "r1", Stage: "encode", Attempt: 1},
	})
}

// TestRefusalOfAnotherCallIsTaken guards against a refusal or a rejection that belongs to another call.
func TestRefusalOfAnotherCallIsTaken(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusBadRequest} {
		for name, headers := range otherIdentities {
			t.Run(http.StatusText(status)+", another "+name, func(t *testing.T) {
				outcome := answerTo(t, status, headers)
				_, broken := outcome.(upstream.Broken)
				must.True(t, broken, must.Sprintf("%#v", outcome))
			})
		}
	}
	t.Run("an answer without identity", func(t *testing.T) {
		refused, is := answerTo(t, http.StatusServiceUnavailable, nil).(upstream.Refused)
		must.True(t, is)
		must.True(t, refused.NotRun)
	})
	t.Run("an answer with the call's identity", func(t *testing.T) {
		own := map[string]string{upstream.HeaderRequestID: "r1", upstream.HeaderStage: "encode", upstream.HeaderAttempt: "1"}
		_, is := answerTo(t, http.StatusBadRequest, own).(upstream.Rejected)
		must.True(t, is)
	})
}
