package gather

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/timer"
)

// watchdog cancels a call that gets no answer in time.
type watchdog struct {
	extended chan time.Duration
	stopped  chan struct{}
	ended    chan struct{}
}

func newWatchdog(timers *timer.Service, cancel context.CancelCauseFunc, limit time.Duration) *watchdog {
	wd := &watchdog{extended: make(chan time.Duration, 1), stopped: make(chan struct{}), ended: make(chan struct{})}
	go wd.run(timers, cancel, limit)
	return wd
}

func (wd *watchdog) run(timers *timer.Service, cancel context.CancelCauseFunc, limit time.Duration) {
	defer close(wd.ended)
	for {
		select {
		case <-wd.stopped:
			return
		case limit = <-wd.extended:
		case <-timers.After(limit):
			cancel(errSilent)
			return
		}
	}
}

// extend starts the time anew.
func (wd *watchdog) extend(limit time.Duration) {
	select {
	case wd.extended <- limit:
	case <-wd.ended:
	}
}

func (wd *watchdog) stop() {
	close(wd.stopped)
	<-wd.ended
}
