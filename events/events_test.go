package events_test

import (
	"bytes"
	"errors"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/events"
	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/readlimit"
)

// newFramer returns a framer with memory for the longest event and no more.
func newFramer() *events.Framer {
	return events.New(readbudget.New(2 * events.MaxEvent))
}

func push(t *testing.T, fr *events.Framer, chunk string) string {
	t.Helper()
	complete, err := fr.Push([]byte(chunk))
	must.NoError(t, err)
	return string(complete)
}

func TestFramer(t *testing.T) {
	t.Run("an incomplete event is buffered", func(t *testing.T) {
		fr := newFramer()
		must.Eq(t, "", push(t, fr, "id: 1\ndata: a\n"))
		must.Eq(t, "id: 1\ndata: a\n\n", push(t, fr, "\nid: 2\nda"))
		must.Eq(t, "id: 2\nda", string(fr.Partial()))
	})
	t.Run("an incomplete event is discarded before the stream resumes", func(t *testing.T) {
		fr := newFramer()
		push(t, fr, "id: 1\n\nid: 2\nda")
		fr.DiscardPartial()
		must.Eq(t, "id: 2\n\nid: 3\n\n", push(t, fr, "id: 2\n\nid: 3\n\n"))
	})
}

// TestLineEnds guards against events that are held back because their lines end otherwise than with a line feed.
func TestLineEnds(t *testing.T) {
	for name, end := range map[string]string{"line feeds": "\n", "carriage returns": "\r", "both": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			event := "id: 7" + end + "data: a" + end + end
			fr := newFramer()
			must.Eq(t, event+event, push(t, fr, event+event+"id: 8"+end))
			must.Eq(t, "id: 8"+end, string(fr.Partial()))
		})
		t.Run(name+", byte by byte", func(t *testing.T) {
			event := "id: 7" + end + "data: a" + end + end
			fr := newFramer()
			passed := ""
			for _, char := range event + event {
				passed += push(t, fr, string(char))
			}
			must.Eq(t, event+event, passed)
			must.SliceEmpty(t, fr.Partial())
		})
	}
}

func assertExceeded(t *testing.T, complete []byte, err error) {
	t.Helper()
	exceeded := readlimit.Exceeded{}
	must.True(t, errors.As(err, &exceeded))
	must.Eq(t, events.MaxEvent, exceeded.Limit)
	must.Nil(t, complete)
}

// TestOversizedEvent guards against an event without end that fills the memory or is passed on.
func TestOversizedEvent(t *testing.T) {
	longest := strings.Repeat("x", events.MaxEvent-2) + "\n\n"
	t.Run("the longest event passes", func(t *testing.T) {
		fr := newFramer()
		must.Eq(t, longest, push(t, fr, longest))
		must.Eq(t, "", push(t, fr, longest[:events.MaxEvent-1]))
		must.Eq(t, longest, push(t, fr, "\n"))
	})
	t.Run("a longer one is an error, in one chunk or many", func(t *testing.T) {
		fr := newFramer()
		complete, err := fr.Push([]byte("id: 1\n\nx" + longest))
		assertExceeded(t, complete, err)
		push(t, fr, longest[:events.MaxEvent-2])
		complete, err = fr.Push([]byte("xxx"))
		assertExceeded(t, complete, err)
		must.SliceEmpty(t, fr.Partial())
	})
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	usage := syscall.Rusage{}
	must.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// maxEventTime bounds the processor time of the longest event: what 0.19 core give in a second.
const maxEventTime = 190 * time.Millisecond

// TestProcessorTimeOfALongEvent guards against time that grows with the square of an event's size.
func TestProcessorTimeOfALongEvent(t *testing.T) {
	for name, size := range map[string]int{"in chunks of 4 KB": 4096, "byte by byte": 1} {
		t.Run(name, func(t *testing.T) {
			fr := newFramer()
			chunk := bytes.Repeat([]byte("x"), size)
			failed := error(nil)
			before := processorTime(t)
			for range events.MaxEvent / size {
				_, err := fr.Push(chunk)
				failed = errors.Join(failed, err)
			}
			must.Less(t, maxEventTime, processorTime(t)-before)
			must.NoError(t, failed)
		})
	}
}

// TestLongEventsAtOnce guards against a limit for each event that many streams at once turn into all of the memory.
func TestLongEventsAtOnce(t *testing.T) {
	long := strings.Repeat("x", events.MaxEvent-2)
	bu := readbudget.New(events.MaxEvent)
	first, second := events.New(bu), events.New(bu)
	push(t, first, long)
	complete, err := second.Push([]byte(long))
	must.ErrorIs(t, err, readbudget.ErrExhausted)
	must.Nil(t, complete)
	must.SliceEmpty(t, second.Partial())
	short := strings.Repeat("x", events.FreeBytes-2) + "\n\n"
	must.Eq(t, short, push(t, second, short))
	must.Eq(t, long+"\n\n", push(t, first, "\n\n"))
	must.Less(t, events.MaxEvent, bu.Left(), must.Sprint("the event that was returned takes memory until the next call"))
	push(t, first, "")
	must.Eq(t, events.MaxEvent, bu.Left())
	push(t, first, long)
	first.DiscardPartial()
	must.Eq(t, events.MaxEvent, bu.Left())
}
