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
	ReadAll(ctx context.Context, table string) (replica.Page, error)
	// ReadChanges returns the changes after a version as soon as there are any, or none after wait; the error is
	// ErrHistoryGone when the whole table has to be read.
	ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (replica.Page, error)
}

// Listener is told what changes, one call at a time; its methods must not block or call the watch.
type Listener interface {
	// RowsChanged tells the rows that changed, and whether another instance sent them.
	RowsChanged(table string, rows []replica.Row, version int64, fromPeer bool)
	// StoreLost tells that the store stopped answering.
	StoreLost(table string, cause error)
	// StoreBack tells that the store answers again.
	StoreBack(table string)
}

// Watch follows one table; it is safe for concurrent use.
type Watch struct {
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
func New(table string, source Source, timers *timer.Service, chance *entropy.Source, listener Listener, deputy func() bool) *Watch {
	return &Watch{
		table: table, source: source, timers: timers, chance: chance, listener: listener, deputy: deputy,
		replica: replica.New(), nudge: make(chan struct{}, 1),
	}
}

// Table returns the table's name.
func (wt *Watch) Table() string {
	return wt.table
}

// Version returns how far the replica has come.
func (wt *Watch) Version() int64 {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.Version()
}

// Newest returns the version of the newest change that the replica has.
func (wt *Watch) Newest() int64 {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.Newest()
}

// Since returns what changed after a version.
func (wt *Watch) Since(version int64) replica.Page {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.Since(version)
}

// Age returns how long ago the store was known to have nothing newer.
func (wt *Watch) Age() time.Duration {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.timers.Now().Sub(wt.currentAt)
}

// Heard takes note that another instance's replica, which has nothing newer, was current that long ago.
func (wt *Watch) Heard(newest int64, age time.Duration) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	at := wt.timers.Now().Add(-age)
	if newest > wt.replica.Version() || !at.After(wt.currentAt) {
		return
	}
	wt.currentAt = at
	if wt.lost && age < heardBack {
		wt.lost = false
		wt.listener.StoreBack(wt.table)
	}
}

// started reports whether the replica was ever whole; an empty store has version 0.
func (wt *Watch) started() bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.replica.Started()
}

// reads reports whether this instance is to read the store.
func (wt *Watch) reads() bool {
	return !wt.started() || wt.deputy() || wt.Age() > staleAfter
}

// Take applies a page that another instance sent.
func (wt *Watch) Take(page replica.Page) {
	wt.apply(page, true)
}

// Behind notes that another instance has come to a version. The call for changes that is under way is given
// up if it has not delivered them shortly: its connection may be dead.
func (wt *Watch) Behind(version int64) {
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

func (wt *Watch) apply(page replica.Page, fromPeer bool) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	changed := wt.replica.Apply(wt.timers.Now(), page)
	if len(changed) > 0 {
		wt.listener.RowsChanged(wt.table, changed, wt.replica.Version(), fromPeer)
	}
}

// Run follows the table until ctx ends; done is closed at the end.
func (wt *Watch) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	pause := firstPause
	whole := true
	for ctx.Err() == nil {
		if !wt.reads() {
			_ = wt.timers.Sleep(ctx, roleCheck)
			continue
		}
		before := wt.Newest()
		err := wt.step(ctx, whole)
		switch {
		case err == nil:
			whole, pause = false, firstPause
			wt.answered()
			if wt.Newest() != before {
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
func (wt *Watch) step(ctx context.Context, whole bool) error {
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

func (wt *Watch) readAll(ctx context.Context) error {
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
func (wt *Watch) giveUpWhenBehind(ctx context.Context, cancel context.CancelFunc, stopped chan<- struct{}) {
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

func (wt *Watch) answered() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.currentAt = wt.timers.Now()
	if wt.lost {
		wt.lost = false
		wt.listener.StoreBack(wt.table)
	}
}

func (wt *Watch) failed(cause error) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.lost {
		wt.lost = true
		wt.listener.StoreLost(wt.table, cause)
	}
}
