package response_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/response"
)

// sink stores a response.
type sink struct {
	heads  int
	length int64
	body   string
}

func (sk *sink) Start(_ int, _ http.Header, length int64) { sk.heads, sk.length = sk.heads+1, length }
func (sk *sink) Write(part []byte) error                  { sk.body += string(part); return nil }

// stream returns the head of a resumable stream of events.
func stream(attempt int) response.Head {
	return response.Head{
		Attempt: attempt, Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1, Streamed: true, Resumable: true,
	}
}

// assertViolation checks that act violates an invariant.
func assertViolation(t *testing.T, rule string, act func()) {
	t.Helper()
	defer func() {
		violation, is := recover().(invariant.Violation)
		must.True(t, is, must.Sprint("no invariant was violated"))
		must.Eq(t, rule, violation.Rule)
	}()
	act()
}

func TestResponseHasOneHeadAndOneEnd(t *testing.T) {
	t.Run("a second head", func(t *testing.T) {
		out := &sink{}
		rs := response.New(out)
		rs.Begin(stream(1))
		assertViolation(t, "a response has one head", func() { rs.Begin(response.Head{Attempt: 2, Status: 500}) })
		must.Eq(t, 1, out.heads)
	})
	t.Run("a body that another one continues", func(t *testing.T) {
		rs := response.New(&sink{})
		first := rs.Begin(stream(1))
		must.NoError(t, first.Write([]byte("id: 1\n\n")))
		second, err := rs.Resume(stream(2))
		must.NoError(t, err)
		assertViolation(t, "a response is written by one answer at a time", func() { _ = first.Write([]byte("id: 2\n\n")) })
		assertViolation(t, "a response is completed by the answer that wrote last", func() { _ = first.Complete() })
		must.NoError(t, second.Write([]byte("id: 2\n\n")))
		must.NoError(t, second.Complete())
		must.True(t, rs.IsComplete())
	})
	t.Run("after the end", func(t *testing.T) {
		for name, end := range map[string]func(*response.Response, *response.Body){
			"complete": func(_ *response.Response, body *response.Body) { must.NoError(t, body.Complete()) },
			"cut off":  func(rs *response.Response, _ *response.Body) { rs.CutOff() },
		} {
			t.Run(name, func(t *testing.T) {
				rs := response.New(&sink{})
				body := rs.Begin(stream(1))
				must.NoError(t, body.Write([]byte("id: 1\n\n")))
				end(rs, body)
				must.False(t, rs.CanResume())
				_, err := rs.Resume(stream(2))
				must.Error(t, err)
				assertViolation(t, "a response is written by one answer at a time", func() { _ = body.Write([]byte("x")) })
				assertViolation(t, "a response is completed by the answer that wrote last", func() { _ = body.Complete() })
			})
		}
	})
}

func TestLengthOfAResumableResponseIsUnknown(t *testing.T) {
	out := &sink{}
	head := stream(1)
	head.Length = 7
	response.New(out).Begin(head)
	must.Eq(t, -1, out.length)
}

func TestOnlyAContinuationIsWritten(t *testing.T) {
	cases := []struct {
		name, first, second, want string
		fails                     bool
	}{
		{"higher numbers", "id: 9\n\n", "id: 10\n\nid: 30\n\n", "id: 10\n\nid: 30\n\n", false},
		{"the same number", "id: 9\n\n", "id: 9\n\nid: 10\n\n", "", true},
		{"a lower number after a higher one", "id: 9\n\n", "id: 11\n\nid: 10\n\n", "id: 11\n\n", true},
		{"names", "id: a\n\nid: b\n\n", "id: c\n\n", "id: c\n\n", false},
		{"the first name again", "id: a\n\nid: b\n\n", "id: a\n\nid: b\n\nid: c\n\n", "", true},
		{"the last name again", "id: a\n\nid: b\n\n", "id: b\n\n", "", true},
		{"a comment", "id: 1\n\n: alive\n\n", ": alive\n\nid: 2\n\n", ": alive\n\nid: 2\n\n", false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			out := &sink{}
			rs := response.New(out)
			must.NoError(t, rs.Begin(stream(1)).Write([]byte(each.first)))
			body, err := rs.Resume(stream(2))
			must.NoError(t, err)
			err = body.Write([]byte(each.second))
			must.Eq(t, each.fails, err != nil, must.Sprint(err))
			must.Eq(t, each.first+each.want, out.body)
		})
	}
	t.Run("a response without a known place can't be resumed", func(t *testing.T) {
		for _, first := range []string{"data: x\n\n", "id: 1\n\ndata: x\n\n"} {
			rs := response.New(&sink{})
			must.NoError(t, rs.Begin(stream(1)).Write([]byte(first)))
			must.False(t, rs.CanResume())
		}
	})
}

func TestStreamEndsWithAnEvent(t *testing.T) {
	ends := map[string]bool{"data: x\n\n": true, "data: x\r\n\r\n": true, "data: x\n": false, "data: x": false, "\n": false}
	for text, want := range ends {
		t.Run(text, func(t *testing.T) {
			head := stream(1)
			head.Resumable = false
			rs := response.New(&sink{})
			body := rs.Begin(head)
			for at := range text {
				must.NoError(t, body.Write([]byte(text[at:at+1])))
			}
			must.Eq(t, want, body.Complete() == nil)
			must.Eq(t, want, rs.IsComplete())
		})
	}
}
