package watch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericdoor/turmericdoor/replica"
)

// readFor brings the replica up to date and then waits for changes until wait has passed.
func (wt *Watcher) readFor(ctx context.Context, wait time.Duration) error {
	end := wt.timers.Now().Add(wait)
	for {
		before, wasFull := wt.NewestChange(), wt.isFull
		err := wt.fetch(ctx, wt.isFull, max(0, end.Sub(wt.timers.Now())))
		switch {
		case errors.Is(err, ErrHistoryGone) && ctx.Err() == nil:
			wt.isFull = true
			wt.emptyAt = wt.pauseAfterEmpty(ctx, wt.emptyAt)
			continue
		case err != nil:
			return err
		}
		wt.isFull = false
		switch isOver := !wt.timers.Now().Before(end); {
		case isOver:
			return nil
		case wt.NewestChange() != before:
			_ = wt.timers.Sleep(ctx, coalescePause)
		case !wasFull:
			wt.emptyAt = wt.pauseAfterEmpty(ctx, wt.emptyAt)
		}
	}
}

// pauseAfterEmpty pauses after an answer that brought nothing, until minEmptyInterval after the one before, and returns
// the current time. An answer that was waited for, or the first one, is followed by no pause.
func (wt *Watcher) pauseAfterEmpty(ctx context.Context, last time.Time) time.Time {
	if left := minEmptyInterval - wt.timers.Now().Sub(last); left > 0 {
		_ = wt.timers.Sleep(ctx, left)
	}
	return wt.timers.Now()
}

// fetch makes one call to the store, which may wait for changes, and applies the result.
func (wt *Watcher) fetch(ctx context.Context, full bool, wait time.Duration) error {
	if full || !wt.hasSnapshot() {
		return wt.readAll(ctx)
	}
	if wt.isUnavailable() {
		// The answer tells whether the store is back, and of which era it is.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	stopped := make(chan struct{})
	defer func() { cancel(); <-stopped }()
	go wt.cancelWhenPeerAhead(ctx, cancel, stopped)
	return wt.readChanges(ctx, wait)
}

// readChanges reads the changes since the replica's position and applies them.
func (wt *Watcher) readChanges(ctx context.Context, wait time.Duration) error {
	before, began := wt.Position(), wt.timers.Now()
	update, err := wt.source.ReadChanges(ctx, wt.table, before.Version, wait)
	if err == nil {
		err = checkEra(update, before)
	}
	if err == nil && update.Version < before.Version {
		err = wt.staleRead(update.Position(), before)
	}
	if err != nil {
		return err
	}
	wt.apply(update, false)
	if len(update.Rows) == 0 {
		began = began.Add(wait)
	}
	wt.recordSuccess(wt.confirmedAt(update, began))
	return nil
}

// confirmedAt returns the latest time at which an answer that has just arrived was surely up to date: that of the store's clock in
// it, or else a given one. The answer may have been on its way for long.
func (wt *Watcher) confirmedAt(update replica.Update, otherwise time.Time) time.Time {
	now := wt.timers.Now()
	if update.StoreTime > 0 {
		wt.clock.Observe(now, update.StoreTime)
		if at, known := wt.clock.Local(now, update.StoreTime); known {
			return at
		}
	}
	if otherwise.After(now) {
		return now
	}
	return otherwise
}

// checkEra returns an error if changes after a position were read in another era: those of a later one may not follow the
// position, whose version is given out again.
func checkEra(update replica.Update, before replica.Position) error {
	switch {
	case update.Era == replica.EraUnknown || update.Era == before.Era:
		return nil
	case update.Era > before.Era:
		return ErrHistoryGone
	}
	return fmt.Errorf("%w: era %d, replica has %d", errStale, update.Era, before.Era)
}

// errNoSnapshot reports that the table has never been read.
var errNoSnapshot = errors.New("the table has not been read yet")

// Confirm brings the replica up to date with the store; the error is that of the read.
func (wt *Watcher) Confirm(ctx context.Context) error {
	if !wt.hasSnapshot() {
		return errNoSnapshot
	}
	err := wt.readChanges(ctx, 0)
	if errors.Is(err, ErrHistoryGone) {
		err = wt.readAll(ctx)
	}
	return err
}

func (wt *Watcher) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := wt.timers.Now()
	update, err := wt.source.ReadAll(ctx, wt.table)
	if err != nil {
		return err
	}
	position, own := update.Position(), wt.Position()
	if position.Era == replica.EraUnknown {
		position.Era = own.Era
	}
	if position.IsBefore(own) {
		return wt.staleRead(position, own)
	}
	wt.apply(update, false)
	wt.recordSuccess(wt.confirmedAt(update, began))
	return nil
}

// errStale reports that a read returned an older version than the replica's.
var errStale = errors.New("stale read")

// staleRead returns the error of a read that returned an older position than the replica's.
func (wt *Watcher) staleRead(read, own replica.Position) error {
	return fmt.Errorf("%w of table %q: version %d of era %d, replica has %d of %d", errStale, wt.table, read.Version, read.Era, own.Version, own.Era)
}

// cancelWhenPeerAhead cancels a call that does not deliver the changes that another instance has.
func (wt *Watcher) cancelWhenPeerAhead(ctx context.Context, cancel context.CancelFunc, stopped chan<- struct{}) {
	defer close(stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wt.peerAhead:
		}
		if wt.timers.Sleep(ctx, peerAheadTimeout) != nil {
			return
		}
		wt.mu.Lock()
		lagging := wt.replica.Position().IsBefore(wt.peerNewest)
		wt.mu.Unlock()
		if lagging {
			cancel()
			return
		}
	}
}

func (wt *Watcher) isUnavailable() bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.unavailable
}

// recordSuccess records that the replica was up to date at a time.
func (wt *Watcher) recordSuccess(at time.Time) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if at.After(wt.freshAt) {
		wt.freshAt = at
	}
	wt.overdue = false
	if wt.unavailable {
		wt.unavailable = false
		wt.listener.StoreRecovered(wt.table)
	}
	wt.listener.Confirmed(wt.table, wt.freshAt)
}

// recordFailure records that a call that began at a time has failed. If another instance has read the store since, only the path of this
// one is at fault: the store is available.
func (wt *Watcher) recordFailure(began time.Time, cause error) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.unavailable && !wt.freshAt.After(began) {
		wt.unavailable, wt.unavailableAt = true, began
		wt.listener.StoreUnavailable(wt.table, cause)
	}
}
