package invariant_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/invariant"
)

func serve(next http.HandlerFunc) []invariant.Violation {
	breaches := []invariant.Violation{}
	handler := invariant.Handler(next, func(breach invariant.Violation) { breaches = append(breaches, breach) })
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	return breaches
}

func TestHandler(t *testing.T) {
	t.Run("a breach goes to the one who stops the process", func(t *testing.T) {
		found := serve(func(http.ResponseWriter, *http.Request) { invariant.Check(false, "sent once", "request %s", "r1") })
		must.Eq(t, []invariant.Violation{{Rule: "sent once", Detail: "request r1"}}, found)
		must.Eq(t, "invariant broken: sent once: request r1", found[0].Error())
	})
	t.Run("an aborted answer stays aborted", func(t *testing.T) {
		defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
		serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	})
	t.Run("without a breach nothing happens", func(t *testing.T) {
		must.SliceEmpty(t, serve(func(http.ResponseWriter, *http.Request) { invariant.Check(true, "sent once", "") }))
	})
}
