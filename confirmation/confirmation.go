package confirmation

import (
	"context"
	"sync"
)

// Group runs reads one after the other; it is safe for concurrent use.
type Group struct {
	// Read makes one read; its error is that of all requests that share it.
	Read func() error
	// Go runs a function in the background.
	Go func(func())

	mu        sync.Mutex
	isRunning bool
	// next is the read that has not begun yet, or nil if no request waits for one.
	next *read
}

// read is a read that requests share; err is valid once done is closed.
type read struct {
	done chan struct{}
	err  error
}

// Confirm waits for a read that begins after the call, and returns its error or that of ctx.
func (gr *Group) Confirm(ctx context.Context) error {
	gr.mu.Lock()
	if gr.next == nil {
		gr.next = &read{done: make(chan struct{})}
	}
	shared := gr.next
	if !gr.isRunning {
		gr.isRunning = true
		gr.Go(gr.run)
	}
	gr.mu.Unlock()
	select {
	case <-shared.done:
		return shared.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes reads until no request waits for one.
func (gr *Group) run() {
	for {
		gr.mu.Lock()
		current := gr.next
		gr.next = nil
		gr.isRunning = current != nil
		gr.mu.Unlock()
		if current == nil {
			return
		}
		current.err = gr.Read()
		close(current.done)
	}
}
