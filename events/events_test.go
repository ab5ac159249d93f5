package events_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/events"
)

func TestFramer(t *testing.T) {
	t.Run("an incomplete event is buffered", func(t *testing.T) {
		fr := events.New()
		must.Eq(t, "", string(fr.Push([]byte("id: 1\ndata: a\n"))))
		must.Eq(t, "id: 1\ndata: a\n\n", string(fr.Push([]byte("\nid: 2\nda"))))
		must.Eq(t, "1", fr.LastEventID())
		must.Eq(t, "id: 2\nda", string(fr.Partial()))
	})
	t.Run("an incomplete event is discarded before the stream resumes", func(t *testing.T) {
		fr := events.New()
		fr.Push([]byte("id: 1\n\nid: 2\nda"))
		fr.DiscardPartial()
		must.Eq(t, "id: 2\n\nid: 3\n\n", string(fr.Push([]byte("id: 2\n\nid: 3\n\n"))))
		must.Eq(t, "3", fr.LastEventID())
	})
}
