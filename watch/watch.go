package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/timer"
)

// ErrHistoryGone says that the store no longer has the changes after a version.
var ErrHistoryGone = errors.New("the store no longer has these changes")

// Source is the store that holds the table.
type Source interface {
	// ReadAll returns the whole table.
	ReadAll(ctx context.Context, table string) (replica.Update, error)
	// ReadChanges returns the changes after a version as soon as there are any, or none after wait; the error is
	// ErrHistoryGone when the whole table has to be read.
	ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (replica.Update, error)
}

// Listener is told what changes, one call at a time; its methods must not block or call the watch.
type Listener interface {
	// RowsChanged tells the rows that changed, and whether another instance sent them.
	RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool)
	// StoreUnavailable tells that the store stopped answering.
	StoreUnavailable(table string, cause error)
	// StoreRecovered tells that the store answers again.
	StoreRecovered(table string)
}

// Watcher follows one table; it is safe for concurrent use.
type Watcher struct {
	table    string
	source   Source
	timers   *timer.Service
	chance   *entropy.Source
	listener Listener
	deputy   func() bool

	mu      sync.Mutex
	replica *replica.Replica
	lost    bool
	behind  int64
	nudge   chan struct{}
	// currentAt is when the store was last known to have nothing newer.
	currentAt time.Time
}

const (
	// changesWait bounds a wait for changes, so that a connection that went silent is noticed.
	changesWait = 2500 * time.Millisecond
	// answerSlack is how much longer than its wait a call may take.
	answerSlack = 600 * time.Millisecond
	// readTimeout bounds a read of the whole table.
	readTimeout = 1200 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// coalesce is the pause after a change, so that changes that come together cost one call.
	coalesce = 60 * time.Millisecond
	// staleAfter is how old what other instances read may become before this one reads the store itself.
	staleAfter = 4 * time.Second
	// heardBack is how current another instance must be for the store to count as back.
	heardBack = time.Second
	// roleCheck is how often an instance that does not read the store looks whether it should.
	roleCheck = 500 * time.Millisecond
	// behindPause is how long the store has to deliver a change that another instance has already.
	behindPause = 150 * time.Millisecond
)

// New returns a watch that knows nothing yet; Run must be running. It reads the store while deputy says so, and
// else only when what other instances tell grows old.
func New(table string, source Source, timers *timer.Service, chance *entropy.Source, listener Listener, deputy func() bool) *Watcher {
	return &Watcher{
		table: table, source: source, timers: timers, chance: chance, listener: listener, deputy: deputy,
		replica: replica.New(), nudge: make(chan struct{}, 1),
	}
}

// Table returns the table's name.
func (wt *Watcher) Table() string {
	return wt.table
}

// Version returns how far the replica has come.
func (wt *Watcher) Version() int64 {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.Version()
}

// NewestChange returns the version of the newest change that the replica has.
func (wt *Watcher) NewestChange() int64 {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.NewestChange()
}

// ChangesSince returns what changed after a version.
func (wt *Watcher) ChangesSince(version int64) replica.Update {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.ChangesSince(version)
}

// Staleness returns how long ago the store was known to have nothing newer.
func (wt *Watcher) Staleness() time.Duration {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.timers.Now().Sub(wt.currentAt)
}

// ObservePeerFreshness takes note that another instance's replica, which has nothing newer, was current that long ago.
func (wt *Watcher) ObservePeerFreshness(newest int64, age time.Duration) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	at := wt.timers.Now().Add(-age)
	if newest > wt.replica.Version() || !at.After(wt.currentAt) {
		return
	}
	wt.currentAt = at
	if wt.lost && age < heardBack {
		wt.lost = false
		wt.listener.StoreRecovered(wt.table)
	}
}

// started reports whether the replica was ever whole; an empty store has version 0.
func (wt *Watcher) started() bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.HasSnapshot()
}

// reads reports whether this instance is to read the store.
func (wt *Watcher) reads() bool {
	return !wt.started() || wt.deputy() || wt.Staleness() > staleAfter
}

// ApplyFromPeer applies a page that another instance sent.
func (wt *Watcher) ApplyFromPeer(page replica.Update) {
	wt.apply(page, true)
}

// ObservePeerVersion notes that another instance has come to a version. The call for changes that is under way is given
// up if it has not delivered them shortly: its connection may be dead.
func (wt *Watcher) ObservePeerVersion(version int64) {
	wt.mu.Lock()
	fresh := version > wt.replica.Version() && version > wt.behind
	if fresh {
		wt.behind = version
	}
	wt.mu.Unlock()
	if !fresh {
		return
	}
	select {
	case wt.nudge <- struct{}{}:
	default:
	}
}

func (wt *Watcher) apply(page replica.Update, fromPeer bool) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	changed := wt.replica.Apply(wt.timers.Now(), page)
	if len(changed) > 0 {
		wt.listener.RowsChanged(wt.table, changed, wt.replica.Version(), fromPeer)
	}
}

// Run follows the table until ctx ends; done is closed at the end.
func (wt *Watcher) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	pause := firstPause
	whole := true
	for ctx.Err() == nil {
		if !wt.reads() {
			_ = wt.timers.Sleep(ctx, roleCheck)
			continue
		}
		before := wt.NewestChange()
		err := wt.step(ctx, whole)
		switch {
		case err == nil:
			whole, pause = false, firstPause
			wt.answered()
			if wt.NewestChange() != before {
				_ = wt.timers.Sleep(ctx, coalesce)
			}
			continue
		case errors.Is(err, ErrHistoryGone):
			whole = true
			continue
		case ctx.Err() != nil:
			return
		}
		wt.failed(err)
		_ = wt.timers.Sleep(ctx, pause/2+wt.chance.DurationUpTo(pause/2))
		pause = min(2*pause, longestPause)
	}
}

// step makes one call and applies its answer.
func (wt *Watcher) step(ctx context.Context, whole bool) error {
	if whole || !wt.started() {
		return wt.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, changesWait+answerSlack)
	defer cancel()
	stopped := make(chan struct{})
	defer func() { cancel(); <-stopped }()
	go wt.giveUpWhenBehind(ctx, cancel, stopped)
	page, err := wt.source.ReadChanges(ctx, wt.table, wt.Version(), changesWait)
	if err != nil {
		return err
	}
	wt.apply(page, false)
	return nil
}

func (wt *Watcher) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := wt.source.ReadAll(ctx, wt.table)
	if err != nil {
		return err
	}
	if page.Version < wt.Version() {
		return errStale
	}
	wt.apply(page, false)
	return nil
}

// errStale says that a read of the whole table returned an older state than the replica has.
var errStale = errors.New("the store answered with an older state")

// giveUpWhenBehind cancels a call that stays without the changes that another instance has.
func (wt *Watcher) giveUpWhenBehind(ctx context.Context, cancel context.CancelFunc, stopped chan<- struct{}) {
	defer close(stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wt.nudge:
		}
		if wt.timers.Sleep(ctx, behindPause) != nil {
			return
		}
		wt.mu.Lock()
		behind := wt.behind > wt.replica.Version()
		wt.mu.Unlock()
		if behind {
			cancel()
			return
		}
	}
}

func (wt *Watcher) answered() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.currentAt = wt.timers.Now()
	if wt.lost {
		wt.lost = false
		wt.listener.StoreRecovered(wt.table)
	}
}

func (wt *Watcher) failed(cause error) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.lost {
		wt.lost = true
		wt.listener.StoreUnavailable(wt.table, cause)
	}
}
