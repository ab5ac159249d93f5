package confirmation_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/confirmation"
)

func inBackground(run func()) { go run() }

const readTime = 10 * time.Millisecond

// TestManyShareARead guards against a read for each stream that is taken up.
func TestManyShareARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := atomic.Int64{}
		gr := &confirmation.Group{Go: inBackground, Read: func() error { reads.Add(1); time.Sleep(readTime); return nil }}
		group := sync.WaitGroup{}
		for at := range 100 {
			group.Go(func() {
				time.Sleep(time.Duration(at) * 100 * time.Microsecond)
				must.NoError(t, gr.Confirm(t.Context()))
			})
		}
		group.Wait()
		must.Eq(t, 2, reads.Load())
	})
}

// TestReadBeganBefore guards against a request that takes the result of a read which began before it.
func TestReadBeganBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := atomic.Int64{}
		read := int64(0)
		gr := &confirmation.Group{Go: inBackground, Read: func() error { read = value.Load(); time.Sleep(readTime); return nil }}
		group := sync.WaitGroup{}
		group.Go(func() { must.NoError(t, gr.Confirm(t.Context())) })
		time.Sleep(readTime / 2)
		value.Store(1)
		must.NoError(t, gr.Confirm(t.Context()))
		must.Eq(t, 1, read)
		group.Wait()
	})
}

func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("store is away")
		gr := &confirmation.Group{Go: inBackground, Read: func() error { time.Sleep(readTime); return failure }}
		must.ErrorIs(t, gr.Confirm(t.Context()), failure)
		ctx, cancel := context.WithTimeout(t.Context(), readTime/2)
		defer cancel()
		must.ErrorIs(t, gr.Confirm(ctx), context.DeadlineExceeded)
		time.Sleep(readTime)
	})
}
