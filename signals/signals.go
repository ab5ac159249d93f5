package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Receiver receives the signals of a process, each purpose on a channel of its own: os/signal drops a signal whose channel
// is full, and a pending signal may only displace another one that asks for the same.
type Receiver struct {
	// Stop receives SIGTERM and SIGINT, which ask the process to stop.
	Stop chan os.Signal
	// Reload receives SIGHUP, which asks the process to read its settings again.
	Reload chan os.Signal
}

// New returns a receiver. Signals that come before end the process, so it is created before anything else.
func New() *Receiver {
	rc := &Receiver{Stop: make(chan os.Signal, 1), Reload: make(chan os.Signal, 1)}
	signal.Notify(rc.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(rc.Reload, syscall.SIGHUP)
	return rc
}

// Close ends the receiver; signals then have their default effect.
func (rc *Receiver) Close() {
	signal.Stop(rc.Stop)
	signal.Stop(rc.Reload)
}
