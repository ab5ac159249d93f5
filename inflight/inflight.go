package inflight

import "sync"

// Group counts the calls in flight; its zero value is ready to use. Unlike with a sync.WaitGroup, new calls may start while
// others wait.
type Group struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Go runs a call in the background.
func (gr *Group) Go(call func()) {
	gr.mu.Lock()
	if gr.count == 0 {
		gr.idle = make(chan struct{})
	}
	gr.count++
	gr.mu.Unlock()
	go func() {
		defer gr.done()
		call()
	}()
}

func (gr *Group) done() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.count--; gr.count == 0 {
		close(gr.idle)
	}
}

// Wait returns as soon as no call is in flight.
func (gr *Group) Wait() {
	gr.mu.Lock()
	idle := gr.idle
	if gr.count == 0 {
		idle = nil
	}
	gr.mu.Unlock()
	if idle != nil {
		<-idle
	}
}
