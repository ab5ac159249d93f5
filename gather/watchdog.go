package gather

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/timer"
)

// watchdog cancels a call with errUnresponsive if it is not reset in time.
type watchdog struct {
	resets  chan time.Duration
	stopped chan struct{}
	ended   chan struct{}
}

func newWatchdog(timers *timer.Service, cancel context.CancelCauseFunc, limit time.Duration) *watchdog {
	wd := &watchdog{resets: make(chan time.Duration, 1), stopped: make(chan struct{}), ended: make(chan struct{})}
	go wd.run(timers, cancel, limit)
	return wd
}

func (wd *watchdog) run(timers *timer.Service, cancel context.CancelCauseFunc, limit time.Duration) {
	defer close(wd.ended)
	for {
		select {
		case <-wd.stopped:
			return
		case limit = <-wd.resets:
		case <-timers.After(limit):
			cancel(errUnresponsive)
			return
		}
	}
}

// reset restarts the timer with a new limit.
func (wd *watchdog) reset(limit time.Duration) {
	select {
	case wd.resets <- limit:
	case <-wd.ended:
	}
}

func (wd *watchdog) stop() {
	close(wd.stopped)
	<-wd.ended
}
