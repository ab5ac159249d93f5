package events_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/events"
)

func TestCutter(t *testing.T) {
	t.Run("an event that is not whole is held back", func(t *testing.T) {
		ct := events.New()
		must.Eq(t, "", string(ct.Push([]byte("id: 1\ndata: a\n"))))
		must.Eq(t, "id: 1\ndata: a\n\n", string(ct.Push([]byte("\nid: 2\nda"))))
		must.Eq(t, "1", ct.LastEventID())
		must.Eq(t, "id: 2\nda", string(ct.Partial()))
	})
	t.Run("what broke off is dropped before the stream goes on", func(t *testing.T) {
		ct := events.New()
		ct.Push([]byte("id: 1\n\nid: 2\nda"))
		ct.DiscardPartial()
		must.Eq(t, "id: 2\n\nid: 3\n\n", string(ct.Push([]byte("id: 2\n\nid: 3\n\n"))))
		must.Eq(t, "3", ct.LastEventID())
	})
}
