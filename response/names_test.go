package response_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/response"
)

// TestNamesAreRepeatedFromTheMiddle guards against a resumed stream whose ids are no numbers and that repeats events.
func TestNamesAreRepeatedFromTheMiddle(t *testing.T) {
	out := &sink{}
	rs := response.New(out)
	must.NoError(t, rs.Begin(stream(1)).Write([]byte("id: a\n\nid: b\n\nid: c\n\n")))
	body, err := rs.Resume(stream(2))
	must.NoError(t, err)
	must.Error(t, body.Write([]byte("id: b\n\nid: c\n\nid: d\n\n")))
	must.Eq(t, "id: a\n\nid: b\n\nid: c\n\n", out.body)
}

// TestMoreNamesThanAreRemembered guards against a resumed stream that repeats events whose ids are forgotten, and against
// memory that grows with the length of a stream.
func TestMoreNamesThanAreRemembered(t *testing.T) {
	const remembered = 4096
	rs := response.New(&sink{})
	body := rs.Begin(stream(1))
	for number := range remembered {
		must.NoError(t, body.Write(fmt.Appendf(nil, "id: n%d\n\n", number)))
	}
	must.True(t, rs.CanResume())
	must.NoError(t, body.Write([]byte("id: n1\n\nid: 7\n\n")))
	must.True(t, rs.CanResume())
	must.NoError(t, body.Write([]byte("id: one more\n\n")))
	must.False(t, rs.CanResume())
	must.NoError(t, body.Complete())
}

// TestNumbersAndNamesAreRepeated guards against a resumed stream that repeats ids of one kind after one of the other.
func TestNumbersAndNamesAreRepeated(t *testing.T) {
	for _, repeated := range []string{"1", "01", "2", "a", "b"} {
		t.Run(repeated, func(t *testing.T) {
			rs := response.New(&sink{})
			must.NoError(t, rs.Begin(stream(1)).Write([]byte("id: 1\n\nid: a\n\nid: 2\n\nid: b\n\n")))
			body, err := rs.Resume(stream(2))
			must.NoError(t, err)
			must.Error(t, body.Write([]byte("id: "+repeated+"\n\n")))
		})
	}
}
