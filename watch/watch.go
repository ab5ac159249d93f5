package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/timer"
)

// ErrHistoryGone reports that the store no longer has the changes after a version.
var ErrHistoryGone = errors.New("the store no longer has the changes since this version")

// Source reads a table from the store.
type Source interface {
	// ReadAll returns the full table.
	ReadAll(ctx context.Context, table string) (replica.Update, error)
	// ReadChanges waits for changes after a version and returns them, or none once wait has passed. The error is
	// ErrHistoryGone if the full table has to be read.
	ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (replica.Update, error)
}

// Listener receives changes; its methods are called one at a time and must not block or call the watcher.
type Listener interface {
	// RowsChanged delivers the changed rows; fromPeer is true if another instance sent them.
	RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool)
	// ChangesMissed reports that rows may have come and gone unseen.
	ChangesMissed(table string)
	// StoreRestored reports that the store has come back from an older copy; the rows of the copy are delivered next.
	StoreRestored(table string, before, after replica.Position)
	// ReadOverdue reports that this instance reads the store itself, since no other one has confirmed the table for a time.
	ReadOverdue(table string, staleness time.Duration)
	// StoreUnavailable reports the first failed call to the store.
	StoreUnavailable(table string, cause error)
	// StoreRecovered reports that the store is available again.
	StoreRecovered(table string)
}

// Watcher watches one table; it is safe for concurrent use.
type Watcher struct {
	table    string
	source   Source
	timers   *timer.Service
	random   *entropy.Source
	listener Listener
	isReader func() bool

	mu          sync.Mutex
	replica     *replica.Replica
	unavailable bool
	peerNewest  replica.Position
	peerAhead   chan struct{}
	// freshAt is when the replica was last known to be up to date with the store.
	freshAt time.Time
	// overdue is set once ReadOverdue has been reported, until the table is up to date again.
	overdue bool
}

const (
	// changesWait bounds a wait for changes, so that a dead connection is detected.
	changesWait = 2500 * time.Millisecond
	// callSlack is added to the wait to get the timeout of a call.
	callSlack = 600 * time.Millisecond
	// readTimeout bounds a read of the full table.
	readTimeout = 1200 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minEmptyInterval is the least time between two answers of the store that bring nothing, so that a store that does
	// not wait, or has never a history, is not called in a busy loop.
	minEmptyInterval = 200 * time.Millisecond
	// coalescePause is the pause after a change, so that changes in quick succession need only one call.
	coalescePause = 60 * time.Millisecond
	// maxStaleness is the staleness at which an instance that relies on others reads the store itself.
	maxStaleness = 4 * time.Second
	// missedAfter is the staleness at which a read of the full table may hide rows that came and went meanwhile: their
	// writers keep them for longer.
	missedAfter = 2 * time.Second
	// recoveredStaleness is how fresh another instance must be for the store to count as recovered.
	recoveredStaleness = time.Second
	// roleCheckInterval is how often an instance that does not read the store checks whether it should.
	roleCheckInterval = 500 * time.Millisecond
	// peerAheadTimeout is how long the store has to deliver a change that another instance already has.
	peerAheadTimeout = 150 * time.Millisecond
)

// New returns a watcher with an empty replica; Run must be called. It reads the store while isReader returns true, and
// otherwise only before the first snapshot or when its replica is stale.
func New(table string, source Source, timers *timer.Service, random *entropy.Source, listener Listener, isReader func() bool) *Watcher {
	return &Watcher{
		table: table, source: source, timers: timers, random: random, listener: listener, isReader: isReader,
		replica: replica.New(), peerAhead: make(chan struct{}, 1),
	}
}

// Table returns the table's name.
func (wt *Watcher) Table() string {
	return wt.table
}

// Position returns the position of the replica.
func (wt *Watcher) Position() replica.Position {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.Position()
}

// NewestChange returns the position of the newest row in the replica.
func (wt *Watcher) NewestChange() replica.Position {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.NewestChange()
}

// ChangesSince returns the changes after a position.
func (wt *Watcher) ChangesSince(after replica.Position) replica.Update {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.ChangesSince(after)
}

// Staleness returns the time since the replica was last known to be up to date with the store.
func (wt *Watcher) Staleness() time.Duration {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.timers.Now().Sub(wt.freshAt)
}

// ObservePeerFreshness records the newest change of another instance's replica and its staleness. If this replica has
// that change too, it is at least as fresh.
func (wt *Watcher) ObservePeerFreshness(newest replica.Position, age time.Duration) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	at := wt.timers.Now().Add(-age)
	own := wt.replica.Position()
	if newest.Era != own.Era || own.IsBefore(newest) || !at.After(wt.freshAt) {
		return
	}
	wt.freshAt, wt.overdue = at, false
	if wt.unavailable && age < recoveredStaleness {
		wt.unavailable = false
		wt.listener.StoreRecovered(wt.table)
	}
}

// hasSnapshot reports whether a full table has been applied; the version can't tell, as an empty store has version 0.
func (wt *Watcher) hasSnapshot() bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.HasSnapshot()
}

// shouldReadStore reports whether this instance must read the store.
func (wt *Watcher) shouldReadStore() bool {
	return !wt.hasSnapshot() || wt.isReader() || wt.Staleness() > maxStaleness
}

// reportOverdue reports once that no other instance has confirmed the table for a time.
func (wt *Watcher) reportOverdue() {
	staleness := wt.Staleness()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.overdue || !wt.replica.HasSnapshot() || wt.isReader() || staleness <= maxStaleness {
		return
	}
	wt.overdue = true
	wt.listener.ReadOverdue(wt.table, staleness)
}

// ApplyFromPeer applies an update from another instance.
func (wt *Watcher) ApplyFromPeer(update replica.Update) {
	wt.apply(update, true)
}

// ObservePeerNewest records that another instance has a change. If the pending call to the store does not deliver it soon, the
// call is cancelled: its connection may be dead.
func (wt *Watcher) ObservePeerNewest(newest replica.Position) {
	wt.mu.Lock()
	fresh := wt.replica.Position().IsBefore(newest) && wt.peerNewest.IsBefore(newest)
	if fresh {
		wt.peerNewest = newest
	}
	wt.mu.Unlock()
	if !fresh {
		return
	}
	select {
	case wt.peerAhead <- struct{}{}:
	default:
	}
}

func (wt *Watcher) apply(update replica.Update, fromPeer bool) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	now, unseen, before := wt.timers.Now(), wt.replica.Unseen(), wt.replica.Position()
	skipped := update.Full && wt.replica.HasSnapshot() && now.Sub(wt.freshAt) > missedAfter
	isRestored := wt.replica.HasSnapshot() && update.Full && update.Era > before.Era
	changed := wt.replica.Apply(now, update)
	if isRestored {
		wt.listener.StoreRestored(wt.table, before, wt.replica.Position())
		skipped = true
	}
	if skipped || wt.replica.Unseen() > unseen {
		wt.listener.ChangesMissed(wt.table)
	}
	if len(changed) > 0 {
		wt.listener.RowsChanged(wt.table, changed, wt.replica.Version(), fromPeer)
	}
}

// Run watches the table until ctx ends; done is closed at the end.
func (wt *Watcher) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	backoff := minBackoff
	full := true
	emptyAt := time.Time{}
	for ctx.Err() == nil {
		if !wt.shouldReadStore() {
			_ = wt.timers.Sleep(ctx, roleCheckInterval)
			continue
		}
		wt.reportOverdue()
		before := wt.NewestChange()
		err := wt.fetch(ctx, full)
		switch {
		case err == nil:
			backoff = minBackoff
			wt.recordSuccess()
			switch {
			case wt.NewestChange() != before:
				_ = wt.timers.Sleep(ctx, coalescePause)
			case !full:
				emptyAt = wt.pauseAfterEmpty(ctx, emptyAt)
			}
			full = false
			continue
		case errors.Is(err, ErrHistoryGone):
			full = true
			emptyAt = wt.pauseAfterEmpty(ctx, emptyAt)
			continue
		case ctx.Err() != nil:
			return
		}
		wt.recordFailure(err)
		_ = wt.timers.Sleep(ctx, backoff/2+wt.random.DurationUpTo(backoff/2))
		backoff = min(2*backoff, maxBackoff)
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

// fetch makes one call to the store and applies the result.
func (wt *Watcher) fetch(ctx context.Context, full bool) error {
	if full || !wt.hasSnapshot() {
		return wt.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, changesWait+callSlack)
	defer cancel()
	stopped := make(chan struct{})
	defer func() { cancel(); <-stopped }()
	go wt.cancelWhenPeerAhead(ctx, cancel, stopped)
	before, wait := wt.Position(), changesWait
	if wt.isUnavailable() {
		// The answer tells whether the store is back, and of which era it is.
		wait = 0
	}
	update, err := wt.source.ReadChanges(ctx, wt.table, before.Version, wait)
	if err != nil {
		return err
	}
	if err := checkEra(update, before); err != nil {
		return err
	}
	wt.apply(update, false)
	return nil
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
	before := wt.Position()
	update, err := wt.source.ReadChanges(ctx, wt.table, before.Version, 0)
	if err == nil {
		err = checkEra(update, before)
	}
	switch {
	case errors.Is(err, ErrHistoryGone):
		err = wt.readAll(ctx)
	case err == nil:
		wt.apply(update, false)
	}
	if err != nil {
		return err
	}
	wt.recordSuccess()
	return nil
}

func (wt *Watcher) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	update, err := wt.source.ReadAll(ctx, wt.table)
	if err != nil {
		return err
	}
	position, own := update.Position(), wt.Position()
	if position.Era == replica.EraUnknown {
		position.Era = own.Era
	}
	if position.IsBefore(own) {
		return fmt.Errorf("%w of table %q: version %d of era %d, replica has %d of %d", errStale, wt.table, position.Version, position.Era, own.Version, own.Era)
	}
	wt.apply(update, false)
	return nil
}

// errStale reports that a read of the full table returned an older version than the replica's.
var errStale = errors.New("stale read")

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

func (wt *Watcher) recordSuccess() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.freshAt, wt.overdue = wt.timers.Now(), false
	if wt.unavailable {
		wt.unavailable = false
		wt.listener.StoreRecovered(wt.table)
	}
}

func (wt *Watcher) recordFailure(cause error) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.unavailable {
		wt.unavailable = true
		wt.listener.StoreUnavailable(wt.table, cause)
	}
}
