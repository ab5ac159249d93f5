package tableservice_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/tableservice"
)

// clientOf returns a client of a service that answers every call with the body, with or without a length; a body without
// length ends with the connection.
func clientOf(t *testing.T, body string, length bool) *tableservice.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if length {
			_, _ = io.WriteString(writer, body)
			return
		}
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n"+body)
		_ = connection.Close()
	}))
	t.Cleanup(server.Close)
	return tableservice.New(strings.TrimPrefix(server.URL, "http://"))
}

// assertOutcome fails the test unless the outcome is of the variant T.
func assertOutcome[T table.Outcome](t *testing.T, outcome table.Outcome) {
	t.Helper()
	_, is := outcome.(T)
	must.True(t, is, must.Sprintf("%#v", outcome))
}

// TestPartOfAReplyIsNoResult guards against a reply that lacks a part and is taken for an empty table, an absent row or a
// conflict.
func TestPartOfAReplyIsNoResult(t *testing.T) {
	rows := `{"Rows":[{"Key":"k","Value":"eA==","Version":3}]}`
	for name, body := range map[string]string{
		"an empty object": `{}`, "null": `null`, "a row without a version": `{"Rows":[{"Key":"k","Value":"eA=="}]}`,
		"a cut body": rows[:len(rows)-2], "bytes after the body": rows + "{}", "no body": "",
	} {
		for _, length := range []bool{true, false} {
			t.Run(name+" is no result of a read", func(t *testing.T) {
				assertOutcome[table.Unavailable](t, clientOf(t, body, length).Read(t.Context(), "k"))
				assertOutcome[table.Unavailable](t, clientOf(t, body, length).List(t.Context(), "k"))
			})
			t.Run(name+" is no result of a commit", func(t *testing.T) {
				assertOutcome[table.Unknown](t, clientOf(t, body, length).Commit(t.Context(), table.Transaction{}))
			})
		}
	}
	t.Run("rows are the result of a read", func(t *testing.T) {
		assertOutcome[table.Rows](t, clientOf(t, rows, false).Read(t.Context(), "k"))
		assertOutcome[table.Rows](t, clientOf(t, `{"Rows":[]}`, true).Read(t.Context(), "k"))
	})
	t.Run("a conflict and a commit are told apart", func(t *testing.T) {
		assertOutcome[table.Conflict](t, clientOf(t, `{"Committed":false,"Conflicts":["k"]}`, true).Commit(t.Context(), table.Transaction{}))
		assertOutcome[table.Committed](t, clientOf(t, `{"Committed":true}`, false).Commit(t.Context(), table.Transaction{}))
	})
}
