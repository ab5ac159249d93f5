package events_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/events"
)

// TestLineEndsHideIDs guards against ids that are not found because the lines of a stream end otherwise.
func TestLineEndsHideIDs(t *testing.T) {
	for name, end := range map[string]string{"line feeds": "\n", "carriage returns": "\r", "both": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			first, comment, unnumbered := "data: a"+end+"id: 7"+end+end, ": id: 8"+end+end, "data: id: 9"+end+end
			sc := events.Scanner{}
			ids, text, fields := []string{}, "", 0
			for event := range sc.Events([]byte(first + comment + unnumbered + first + "id:")) {
				text += string(event.Text)
				if event.HasID {
					ids = append(ids, event.ID)
				}
				if event.HasFields {
					fields++
				}
			}
			must.Eq(t, []string{"7", "7", ""}, ids)
			must.Eq(t, 4, fields, must.Sprint("events with fields"))
			must.Eq(t, first+comment+unnumbered+first+"id:", text)
			must.False(t, sc.IsAfterEvent())
		})
	}
}
