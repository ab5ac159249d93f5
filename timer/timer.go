package timer

import (
	"context"
	"sync"
	"time"
)

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// Earlier returns the earlier of two times.
func Earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// Later returns the later of two times.
func Later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// Service provides the time and timers, from the system clock or from a manual clock. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	manual  bool
	now     time.Time
	pending []alarm
}

// alarm is a pending timer of the manual clock.
type alarm struct {
	at time.Time
	ch chan time.Time
}

// New returns a service that uses the system clock.
func New() *Service {
	return &Service{}
}

// NewManual returns a service with a manual clock that stands at start until Advance is called.
func NewManual(start time.Time) *Service {
	return &Service{manual: true, now: start}
}

// Now returns the current time; that of the system clock includes a monotonic reading.
func (sv *Service) Now() time.Time {
	if !sv.manual {
		return time.Now()
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.now
}

// After returns a channel that receives the time after d, or holds it already if d is not positive.
func (sv *Service) After(d time.Duration) <-chan time.Time {
	if d <= 0 {
		due := make(chan time.Time, 1)
		due <- sv.Now()
		return due
	}
	if !sv.manual {
		return time.After(d)
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ch := make(chan time.Time, 1)
	sv.pending = append(sv.pending, alarm{at: sv.now.Add(d), ch: ch})
	return ch
}

// AfterFunc calls run after d in its own goroutine, unless stop is called before.
func (sv *Service) AfterFunc(d time.Duration, run func()) (stop func()) {
	if !sv.manual {
		waiting := time.AfterFunc(d, run)
		return func() { waiting.Stop() }
	}
	stopped := make(chan struct{})
	alarm := sv.After(d)
	go func() {
		select {
		case <-alarm:
			run()
		case <-stopped:
		}
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// Sleep waits for d; it returns ctx.Err() if the context ends first.
func (sv *Service) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sv.After(d):
		return nil
	}
}

// Advance advances the manual clock by d and fires the timers that are due.
func (sv *Service) Advance(d time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.now = sv.now.Add(d)
	kept := sv.pending[:0]
	for _, al := range sv.pending {
		if al.at.After(sv.now) {
			kept = append(kept, al)
			continue
		}
		al.ch <- sv.now
	}
	sv.pending = kept
}
