package logbook

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Logbook writes each event as one log line; it is safe for concurrent use.
type Logbook struct {
	logger  *log.Logger
	timers  *timer.Service
	events  chan *wire.Event
	dropped atomic.Int64
}

const (
	// bufferedEvents is the capacity of the queue, in events; further events are dropped and counted.
	bufferedEvents = 4096
	// linesPerSecond bounds the log lines of each kind of event.
	linesPerSecond = 400
)

// New returns a logbook that writes to logger; Run must be running.
func New(logger *log.Logger, timers *timer.Service) *Logbook {
	return &Logbook{logger: logger, timers: timers, events: make(chan *wire.Event, bufferedEvents)}
}

// Write queues an event and returns at once; it drops the event and counts it if the queue is full.
func (lb *Logbook) Write(event *wire.Event) {
	select {
	case lb.events <- event:
	default:
		lb.dropped.Add(1)
	}
}

// Run writes events until ctx ends, then writes the queued events and closes done.
func (lb *Logbook) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	quota := newQuota()
	for {
		select {
		case event := <-lb.events:
			lb.print(event, quota)
		case <-ctx.Done():
			lb.drain(quota)
			return
		}
	}
}

func (lb *Logbook) drain(quota *quota) {
	for {
		select {
		case event := <-lb.events:
			lb.print(event, quota)
		default:
			return
		}
	}
}

// print writes an event unless its kind has reached linesPerSecond in the current second.
func (lb *Logbook) print(event *wire.Event, quota *quota) {
	omitted, allowed := quota.take(lb.timers.Now(), event.GetKind())
	if !allowed {
		return
	}
	facts := []any{}
	for _, pair := range timeline.Fields(event) {
		facts = append(facts, pair.Name, pair.Value)
	}
	omitted += lb.dropped.Swap(0)
	if omitted > 0 {
		facts = append(facts, "omitted", omitted)
	}
	lb.logger.Info(timeline.KindName(event.GetKind()), facts...)
}

// quota counts the lines of each kind in the current second, and the lines omitted since the last one written.
type quota struct {
	second  time.Time
	lines   map[wire.EventKind]int
	omitted map[wire.EventKind]int64
}

func newQuota() *quota {
	return &quota{lines: map[wire.EventKind]int{}, omitted: map[wire.EventKind]int64{}}
}

// take reports whether a line of a kind may be written, and returns how many were omitted since the last one.
func (qt *quota) take(now time.Time, kind wire.EventKind) (int64, bool) {
	if now.Sub(qt.second) >= time.Second {
		qt.second = now
		clear(qt.lines)
	}
	if qt.lines[kind] >= linesPerSecond {
		qt.omitted[kind]++
		return 0, false
	}
	qt.lines[kind]++
	omitted := qt.omitted[kind]
	delete(qt.omitted, kind)
	return omitted, true
}
