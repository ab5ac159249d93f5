package streamdirectory

import (
	"context"
	"sync"

	"github.com/turmericdoor/turmericdoor/origin"
)

// correct sends the origin of a stream without delay to the instances that keep the one of an earlier send. The caller holds
// the lock.
func (dr *Directory) correct(record origin.Record) {
	done := make(chan struct{})
	dr.corrected[record.Stream] = done
	keepers := dr.others(record.Stream, keeperCount)
	dr.background.Go(func() {
		calls := sync.WaitGroup{}
		for _, keeper := range keepers {
			calls.Go(func() { dr.send(keeper, []origin.Record{record}) })
		}
		calls.Wait()
		dr.mu.Lock()
		defer dr.mu.Unlock()
		close(done)
		if dr.corrected[record.Stream] == done {
			delete(dr.corrected, record.Stream)
		}
	})
}

// AwaitCorrection waits until the instances that keep the record of an attempt's stream know its origin, if it is another one than
// that of an earlier send. It must be called before the first event is passed on, as the caller may then take up the stream.
func (dr *Directory) AwaitCorrection(ctx context.Context, attemptID string) {
	dr.mu.Lock()
	done := dr.corrected[origin.StreamOf(attemptID)]
	dr.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
