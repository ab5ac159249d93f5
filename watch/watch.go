package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/storeclock"
	"github.com/turmericdoor/turmericdoor/storereader"
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
	// Confirmed reports that the table was up to date at a time, as this instance has found.
	Confirmed(table string, at time.Time)
	// ReadOverdue reports that this instance reads the store itself, since no other one has confirmed the table for a time.
	ReadOverdue(table string, staleness time.Duration)
	// StoreUnavailable reports the first failed call to the store.
	StoreUnavailable(table string, cause error)
	// StoreRecovered reports that the store is available again.
	StoreRecovered(table string)
}

// Schedule decides when this instance reads a table.
type Schedule interface {
	// Next returns the next turn, given how long the table has not been known to be up to date.
	Next(table string, staleness time.Duration) storereader.Turn
	// Begin records the beginning of a turn, and Fail that a turn has brought nothing.
	Begin(table string)
	Fail(table string)
}

// Parts holds the dependencies of a watcher.
type Parts struct {
	Source   Source
	Timers   *timer.Service
	Random   *entropy.Source
	Clock    *storeclock.Clock
	Schedule Schedule
	Listener Listener
}

// Watcher watches one table; it is safe for concurrent use.
type Watcher struct {
	table    string
	source   Source
	timers   *timer.Service
	random   *entropy.Source
	clock    *storeclock.Clock
	schedule Schedule
	listener Listener
	// wake ends the pause before the next turn.
	wake chan struct{}
	// isFull is set if the next call reads the full table, and emptyAt is when the last answer came that brought nothing. Run alone
	// uses them.
	isFull  bool
	emptyAt time.Time

	mu          sync.Mutex
	replica     *replica.Replica
	unavailable bool
	// unavailableAt is when the call began whose failure showed that the store is not available.
	unavailableAt time.Time
	peerNewest    replica.Position
	peerAhead     chan struct{}
	// freshAt is when the replica was last known to be up to date with the store.
	freshAt time.Time
	// overdue is set once ReadOverdue has been reported, until the table is up to date again.
	overdue bool
}

const (
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
	// missedAfter is the staleness at which a read of the full table may hide rows that came and went meanwhile: their
	// writers keep them for longer.
	missedAfter = 2 * time.Second
	// maxPause bounds the pause between two looks at the schedule.
	maxPause = 500 * time.Millisecond
	// peerAheadTimeout is how long the store has to deliver a change that another instance already has.
	peerAheadTimeout = 150 * time.Millisecond
)

// New returns a watcher with an empty replica; Run must be called. It reads the store before the first snapshot and in its turns.
func New(table string, parts Parts) *Watcher {
	return &Watcher{
		table: table, source: parts.Source, timers: parts.Timers, random: parts.Random, clock: parts.Clock, schedule: parts.Schedule,
		listener: parts.Listener, replica: replica.New(), peerAhead: make(chan struct{}, 1), wake: make(chan struct{}, 1), isFull: true,
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

// Confirmation says that another instance has found its replica, whose newest change is at Newest, up to date at Position and At.
type Confirmation struct {
	Newest   replica.Position
	Position replica.Position
	At       time.Time
}

// ObservePeerFreshness records what another instance has found. If this replica has all changes of that one, it was as up to date; else
// it returns false, and also if that one lacks a change of this replica: it was not up to date, or not so lately.
func (wt *Watcher) ObservePeerFreshness(peer Confirmation) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	own := wt.replica.Position()
	isBehind := !wt.replica.HasSnapshot() || peer.Newest.Era != own.Era || own.IsBefore(peer.Newest)
	if isBehind || peer.Position.IsBefore(wt.replica.NewestChange()) || !peer.At.After(wt.freshAt) {
		return false
	}
	wt.freshAt, wt.overdue = peer.At, false
	if wt.unavailable && peer.At.After(wt.unavailableAt) {
		wt.unavailable = false
		wt.listener.StoreRecovered(wt.table)
	}
	return true
}

// FreshAt returns when the replica was last known to be up to date with the store, or the zero time.
func (wt *Watcher) FreshAt() time.Time {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.freshAt
}

// Wake makes the watcher look at its schedule.
func (wt *Watcher) Wake() {
	select {
	case wt.wake <- struct{}{}:
	default:
	}
}

// hasSnapshot reports whether a full table has been applied; the version can't tell, as an empty store has version 0.
func (wt *Watcher) hasSnapshot() bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.HasSnapshot()
}

// nextTurn returns the next turn of this instance; before the first snapshot it is always due.
func (wt *Watcher) nextTurn() storereader.Turn {
	if !wt.hasSnapshot() {
		return storereader.Turn{}
	}
	return wt.schedule.Next(wt.table, wt.Staleness())
}

// reportOverdue reports once that the turn of another instance has not confirmed the table.
func (wt *Watcher) reportOverdue() {
	staleness := wt.Staleness()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.overdue {
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
	for ctx.Err() == nil {
		next := wt.nextTurn()
		if next.Delay > 0 {
			wt.pause(ctx, min(next.Delay, maxPause))
			continue
		}
		if next.Overdue {
			wt.reportOverdue()
		}
		wt.schedule.Begin(wt.table)
		began := wt.timers.Now()
		err := wt.readFor(ctx, next.Wait)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff = minBackoff
			continue
		}
		wt.schedule.Fail(wt.table)
		wt.recordFailure(began, err)
		_ = wt.timers.Sleep(ctx, backoff/2+wt.random.DurationUpTo(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause waits for a time, or until Wake is called.
func (wt *Watcher) pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-wt.wake:
	case <-wt.timers.After(length):
	}
}
