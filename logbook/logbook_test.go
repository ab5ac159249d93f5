package logbook_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/logbook"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

func writeAndFlush(to io.Writer, timers *timer.Service, feed func(lb *logbook.Logbook)) {
	lb := logbook.New(log.NewWithOptions(to, log.Options{Formatter: log.LogfmtFormatter}), timers)
	feed(lb)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan struct{})
	lb.Run(ctx, done)
	<-done
}

func TestLogbook(t *testing.T) {
	event := func() *wire.Event {
		return &wire.Event{Kind: wire.EventKind_EventRequestEnded, RequestId: "r1", Outcome: "Answered"}
	}
	t.Run("an event is one line with its fields", func(t *testing.T) {
		out := &bytes.Buffer{}
		writeAndFlush(out, timer.New(), func(lb *logbook.Logbook) { lb.Write(event()) })
		must.Eq(t, 1, strings.Count(out.String(), "\n"))
		must.StrContains(t, out.String(), "msg=RequestEnded request=r1 outcome=Answered")
	})
	t.Run("the lines of a kind are bounded per second", func(t *testing.T) {
		out := &bytes.Buffer{}
		timers := timer.NewManual(time.Unix(0, 0))
		writeAndFlush(out, timers, func(lb *logbook.Logbook) {
			for range 1000 {
				lb.Write(event())
			}
		})
		must.Eq(t, 400, strings.Count(out.String(), "\n"))
	})
	t.Run("a full queue drops events and the log shows their number", func(t *testing.T) {
		out := &bytes.Buffer{}
		writeAndFlush(out, timer.New(), func(lb *logbook.Logbook) {
			for range 10000 {
				lb.Write(event())
			}
		})
		must.StrContains(t, out.String(), "omitted=")
	})
}
