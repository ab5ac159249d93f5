package timer

import (
	"context"
	"sync"
	"time"
)

// Milliseconds converts a setting in milliseconds.
func Milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// Service tells the time and wakes its subscribers; it is driven by the clock or by hand.
type Service struct {
	mu      sync.Mutex
	manual  bool
	now     time.Time
	pending []alarm
}

// alarm is one subscriber that waits for a point of manual time.
type alarm struct {
	at time.Time
	ch chan time.Time
}

// New returns a service driven by the machine's clock.
func New() *Service {
	return &Service{}
}

// NewManual returns a service that stands still at start until Advance is called.
func NewManual(start time.Time) *Service {
	return &Service{manual: true, now: start}
}

// Now returns the current time, with a monotonic reading when the clock drives the service.
func (sv *Service) Now() time.Time {
	if !sv.manual {
		return time.Now()
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.now
}

// After returns a channel that receives the time once d has passed.
func (sv *Service) After(d time.Duration) <-chan time.Time {
	if !sv.manual {
		return time.After(d)
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ch := make(chan time.Time, 1)
	sv.pending = append(sv.pending, alarm{at: sv.now.Add(d), ch: ch})
	return ch
}

// AfterFunc calls what once d has passed, in a goroutine of its own, unless stop is called before.
func (sv *Service) AfterFunc(d time.Duration, what func()) (stop func()) {
	if !sv.manual {
		waiting := time.AfterFunc(d, what)
		return func() { waiting.Stop() }
	}
	stopped := make(chan struct{})
	alarm := sv.After(d)
	go func() {
		select {
		case <-alarm:
			what()
		case <-stopped:
		}
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// Sleep waits for d and returns ctx.Err() if the context ends first.
func (sv *Service) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sv.After(d):
		return nil
	}
}

// Advance moves manual time by d and wakes the subscribers whose time has come.
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
