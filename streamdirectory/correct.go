package streamdirectory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/origin"
)

const (
	// correctionInterval is the pause before a correction is sent again to an instance that did not answer.
	correctionInterval = 50 * time.Millisecond
	// maxCorrections bounds the corrections that are repeated at the same time.
	maxCorrections = 256
)

// correct sends the origin of a stream without delay to the instances that keep the one of an earlier send, and repeats it
// until they have answered. The caller holds the lock.
func (dr *Directory) correct(record origin.Record) {
	done := make(chan struct{})
	dr.corrected[record.Stream] = done
	keepers := dr.others(record.Stream, keeperCount)
	dr.dropOutgoing(record.Stream)
	until := dr.Timers.Now().Add(dr.retention)
	dr.background.Go(func() {
		silent := dr.sendCorrection(keepers, record)
		dr.mu.Lock()
		close(done)
		if dr.corrected[record.Stream] == done {
			delete(dr.corrected, record.Stream)
		}
		repeats := len(silent) > 0 && dr.corrections < maxCorrections
		if repeats {
			dr.corrections++
		}
		dr.mu.Unlock()
		if repeats {
			dr.repeatCorrection(silent, record, until)
		}
	})
}

// dropOutgoing drops the records of a stream that wait to be sent. The caller holds the lock.
func (dr *Directory) dropOutgoing(stream origin.Stream) {
	for keeper, records := range dr.outgoing {
		dr.outgoing[keeper] = slices.DeleteFunc(records, func(record origin.Record) bool { return record.Stream == stream })
	}
}

// sendCorrection sends a record to the instances that keep it, and returns those that did not answer.
func (dr *Directory) sendCorrection(keepers []member.Member, record origin.Record) []member.Member {
	mu, silent := sync.Mutex{}, []member.Member{}
	calls := sync.WaitGroup{}
	for _, keeper := range keepers {
		calls.Go(func() {
			if dr.send(keeper, []origin.Record{record}) == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, keeper)
		})
	}
	calls.Wait()
	return silent
}

// repeatCorrection sends a record again to instances that did not answer, while they are live, until callers no longer take
// up the stream.
func (dr *Directory) repeatCorrection(silent []member.Member, record origin.Record, until time.Time) {
	defer func() {
		dr.mu.Lock()
		defer dr.mu.Unlock()
		dr.corrections--
	}()
	for len(silent) > 0 && dr.Timers.Now().Before(until) && dr.isLastSend(record) {
		if dr.Timers.Sleep(dr.lifetime, correctionInterval) != nil {
			return
		}
		live := dr.Fleet.Live()
		silent = slices.DeleteFunc(silent, func(keeper member.Member) bool {
			return !slices.ContainsFunc(live, func(other member.Member) bool { return other.ID == keeper.ID })
		})
		silent = dr.sendCorrection(silent, record)
	}
}

// isLastSend reports whether no later send of the record's attempt has been recorded.
func (dr *Directory) isLastSend(record origin.Record) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	known, found := dr.table.Find(record.Stream)
	return found && known.Send == record.Send
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
