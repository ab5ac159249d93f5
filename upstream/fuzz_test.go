package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// FuzzReply checks that a call to an upstream of any kind that answers with arbitrary bytes ends in an outcome.
func FuzzReply(f *testing.F) {
	f.Add("data: {\"index\":0,\"text\":\"a\"}\n\ndata: [DONE]\n\n")
	f.Add(`{"embedding":[1,2]}`)
	f.Add(`{"documents":[{"id":"a"}]}`)
	f.Add("data: {\"index\":7}\n")
	body := ""
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, body)
	}))
	f.Cleanup(server.Close)
	cl := upstream.New()
	f.Fuzz(func(t *testing.T, text string) {
		body = text
		for _, kind := range []document.Kind{document.Engine, document.Encoder, document.Retriever, document.Service} {
			outcome := cl.Do(context.Background(), &upstream.Call{
				Kind: kind, Address: strings.TrimPrefix(server.URL, "http://"), Path: "/", Candidates: 4, MaxTokens: 4,
			})
			must.NotNil(t, outcome)
		}
	})
}
