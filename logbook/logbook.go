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

// Logbook writes each event as one line; it is safe for concurrent use.
type Logbook struct {
	logger  *log.Logger
	timers  *timer.Service
	events  chan *wire.Event
	dropped atomic.Int64
}

const (
	// bufferedEvents is how many events may wait to be written; more are counted and left out.
	bufferedEvents = 4096
	// linesPerSecond bounds the lines of one kind of event.
	linesPerSecond = 400
)

// New returns a logbook that writes to logger once Run is running.
func New(logger *log.Logger, timers *timer.Service) *Logbook {
	return &Logbook{logger: logger, timers: timers, events: make(chan *wire.Event, bufferedEvents)}
}

// Write hands an event over and returns at once; it is counted and left out when the buffer is full.
func (lb *Logbook) Write(event *wire.Event) {
	select {
	case lb.events <- event:
	default:
		lb.dropped.Add(1)
	}
}

// Run writes events until ctx ends, then those that are left; done is closed at the end.
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

// print writes a line unless its kind has used up its lines of this second.
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

// quota counts the lines of each kind in the current second.
type quota struct {
	second  time.Time
	lines   map[wire.EventKind]int
	omitted map[wire.EventKind]int64
}

func newQuota() *quota {
	return &quota{lines: map[wire.EventKind]int{}, omitted: map[wire.EventKind]int64{}}
}

// take reports whether a line of a kind may be written, and how many of it were left out before.
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
