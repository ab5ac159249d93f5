package peer

import "sync"

// calls counts the calls under way. Unlike a sync.WaitGroup it may be waited for while new calls begin.
type calls struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Go makes a call in the background.
func (cs *calls) Go(call func()) {
	cs.mu.Lock()
	if cs.count == 0 {
		cs.idle = make(chan struct{})
	}
	cs.count++
	cs.mu.Unlock()
	go func() {
		defer cs.done()
		call()
	}()
}

func (cs *calls) done() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.count--; cs.count == 0 {
		close(cs.idle)
	}
}

// Wait returns at the first moment at which no call is under way.
func (cs *calls) Wait() {
	cs.mu.Lock()
	idle := cs.idle
	if cs.count == 0 {
		idle = nil
	}
	cs.mu.Unlock()
	if idle != nil {
		<-idle
	}
}
