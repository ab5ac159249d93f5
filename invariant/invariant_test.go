package invariant_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/invariant"
)

func serve(next http.HandlerFunc) []invariant.Violation {
	violations := []invariant.Violation{}
	handler := invariant.Handler(next, func(violation invariant.Violation) { violations = append(violations, violation) })
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	return violations
}

func TestHandler(t *testing.T) {
	t.Run("a violation is passed to abort", func(t *testing.T) {
		found := serve(func(http.ResponseWriter, *http.Request) { invariant.Check(false, "sent once", "request %s", "r1") })
		must.Eq(t, []invariant.Violation{{Rule: "sent once", Detail: "request r1"}}, found)
		must.Eq(t, "invariant broken: sent once: request r1", found[0].Error())
	})
	t.Run("a panic with http.ErrAbortHandler is passed on", func(t *testing.T) {
		defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
		serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	})
	t.Run("abort is not called without a violation", func(t *testing.T) {
		must.SliceEmpty(t, serve(func(http.ResponseWriter, *http.Request) { invariant.Check(true, "sent once", "") }))
	})
}
