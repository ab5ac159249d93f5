package events_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/events"
)

func TestCutter(t *testing.T) {
	t.Run("an event that is not whole is held back", func(t *testing.T) {
		ct := events.New()
		must.Eq(t, "", string(ct.Take([]byte("id: 1\ndata: a\n"))))
		must.Eq(t, "id: 1\ndata: a\n\n", string(ct.Take([]byte("\nid: 2\nda"))))
		must.Eq(t, "1", ct.LastID())
		must.Eq(t, "id: 2\nda", string(ct.Rest()))
	})
	t.Run("what broke off is dropped before the stream goes on", func(t *testing.T) {
		ct := events.New()
		ct.Take([]byte("id: 1\n\nid: 2\nda"))
		ct.Drop()
		must.Eq(t, "id: 2\n\nid: 3\n\n", string(ct.Take([]byte("id: 2\n\nid: 3\n\n"))))
		must.Eq(t, "3", ct.LastID())
	})
}
