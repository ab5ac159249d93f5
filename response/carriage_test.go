package response_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/response"
)

// TestLineEndsHideARepeatedEvent guards against a resumed stream that repeats an event because its lines end otherwise.
func TestLineEndsHideARepeatedEvent(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
		event := func(id string) string { return "id: " + id + end + "data: x" + end + end }
		t.Run(name, func(t *testing.T) {
			out := &sink{}
			rs := response.New(out)
			must.NoError(t, rs.Begin(stream(1)).Write([]byte(event("1")+event("2"))))
			must.Eq(t, "2", rs.LastEventID())
			body, err := rs.Resume(stream(2))
			must.NoError(t, err)
			must.Error(t, body.Write([]byte(event("2")+event("3"))))
			must.Eq(t, event("1")+event("2"), out.body)
		})
	}
}
