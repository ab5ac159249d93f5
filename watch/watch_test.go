package watch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/storeclock"
	"github.com/turmericdoor/turmericdoor/storereader"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/watch"
)

// store simulates a table whose store can be down, hang, return stale data, or have lost its history.
type store struct {
	mu      sync.Mutex
	page    replica.Update
	changed chan struct{}
	down    bool
	hanging bool
	stale   bool
	// impatient makes the store answer a wait after callTime.
	impatient bool
	oldest    int64
	calls     int
}

// callTime is how long a call takes that is answered at once.
const callTime = time.Millisecond

func newStore() *store {
	return &store{page: replica.Update{Full: true, Version: 1}, changed: make(chan struct{})}
}

func (st *store) put(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.page.Version++
	st.page.Rows = append(st.page.Rows, replica.Row{Key: key, Version: st.page.Version})
	close(st.changed)
	st.changed = make(chan struct{})
}

// callCount returns the number of calls.
func (st *store) callCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

func (st *store) set(change func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	change()
}

func (st *store) ReadAll(context.Context, string) (replica.Update, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.calls++
	if st.down {
		return replica.Update{}, errors.New("down")
	}
	if st.stale {
		return replica.Update{Full: true, Version: 1}, nil
	}
	return st.page, nil
}

func (st *store) ReadChanges(ctx context.Context, _ string, after int64, wait time.Duration) (replica.Update, error) {
	st.mu.Lock()
	st.calls++
	down, hanging, oldest, changed, version := st.down, st.hanging, st.oldest, st.changed, st.page.Version
	if st.impatient {
		wait = callTime
	}
	st.mu.Unlock()
	switch {
	case down:
		return replica.Update{}, errors.New("down")
	case hanging:
		<-ctx.Done()
		return replica.Update{}, ctx.Err()
	case after < oldest:
		time.Sleep(callTime)
		return replica.Update{}, watch.ErrHistoryGone
	}
	if version == after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return replica.Update{}, ctx.Err()
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	page := replica.Update{Era: st.page.Era, Version: st.page.Version}
	for _, row := range st.page.Rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// log records the calls of a listener.
type log struct {
	mu     sync.Mutex
	keys   []string
	lost   int
	back   int
	missed int
}

func (lg *log) RowsChanged(_ string, rows []replica.Row, _ int64, _ bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for _, row := range rows {
		lg.keys = append(lg.keys, row.Key)
	}
}

func (lg *log) StoreUnavailable(string, error) { lg.mu.Lock(); defer lg.mu.Unlock(); lg.lost++ }

func (lg *log) ChangesMissed(string)                                     { lg.mu.Lock(); defer lg.mu.Unlock(); lg.missed++ }
func (lg *log) Confirmed(string, time.Time)                              {}
func (lg *log) ReadOverdue(string, time.Duration)                        {}
func (lg *log) StoreRestored(string, replica.Position, replica.Position) {}
func (lg *log) StoreRecovered(string)                                    { lg.mu.Lock(); defer lg.mu.Unlock(); lg.back++ }

// missedCount returns how often changes were missed.
func (lg *log) missedCount() int {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.missed
}

// outages returns how often the store became unavailable and recovered.
func (lg *log) outages() (int, int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.lost, lg.back
}

func (lg *log) seen() []string {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return append([]string{}, lg.keys...)
}

// testWait is how long a call waits for changes, and testStaleness the staleness at which one that does not always read does so.
const (
	testWait      = 2500 * time.Millisecond
	testStaleness = 4 * time.Second
)

// schedule has an instance read all the time, or only when its table is stale.
type schedule struct {
	isReader bool
}

func (sc schedule) Next(_ string, staleness time.Duration) storereader.Turn {
	switch {
	case sc.isReader:
		return storereader.Turn{Wait: testWait}
	case staleness >= testStaleness:
		return storereader.Turn{Overdue: true}
	}
	return storereader.Turn{Delay: testStaleness - staleness}
}

func (schedule) Begin(string) {}
func (schedule) Fail(string)  {}

// newWatcher returns a watcher of a store.
func newWatcher(st *store, lg *log, isReader bool) *watch.Watcher {
	return watch.New("t", watch.Parts{
		Source: st, Timers: timer.New(), Random: entropy.New(1), Clock: storeclock.New(), Schedule: schedule{isReader}, Listener: lg,
	})
}

// peerFresh returns what another instance has found whose replica ends at a version, an age ago.
func peerFresh(version int64, age time.Duration) watch.Confirmation {
	position := replica.Position{Version: version}
	return watch.Confirmation{Newest: position, Position: position, At: time.Now().Add(-age)}
}

// runWatcher runs a watcher in fake time.
func runWatcher(t *testing.T, isReader bool, play func(st *store, wt *watch.Watcher, lg *log)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		st, lg := newStore(), &log{}
		wt := newWatcher(st, lg, isReader)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go wt.Run(ctx, done)
		defer func() { cancel(); <-done }()
		time.Sleep(time.Second)
		play(st, wt, lg)
	})
}

func TestWatch(t *testing.T) {
	t.Run("a change is delivered at once", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.put("a")
			time.Sleep(time.Millisecond)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("an outage is reported once, and changes made during it are delivered when it ends", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.set(func() { st.down = true })
			time.Sleep(5 * time.Second)
			st.put("a")
			st.set(func() { st.down = false })
			time.Sleep(2 * time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
			lost, back := lg.outages()
			must.Eq(t, 1, lost)
			must.Eq(t, 1, back)
		})
	})
	t.Run("the full table is read when the store has lost its history", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.set(func() { st.down = true })
			time.Sleep(3 * time.Second)
			st.put("a")
			st.set(func() { st.down, st.oldest = false, st.page.Version })
			time.Sleep(2 * time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("a stale read of the store is ignored", func(t *testing.T) {
		runWatcher(t, true, func(st *store, wt *watch.Watcher, lg *log) {
			st.put("a")
			time.Sleep(10 * time.Millisecond)
			version := wt.Position()
			st.set(func() { st.stale, st.oldest = true, 1<<40 })
			time.Sleep(3 * time.Second)
			must.Eq(t, version, wt.Position())
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

func TestHangingConnection(t *testing.T) {
	t.Run("a hanging call is cancelled within 3.5 s", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.set(func() { st.hanging = true })
			time.Sleep(2600 * time.Millisecond)
			st.put("a")
			time.Sleep(3500 * time.Millisecond)
			st.set(func() { st.hanging = false })
			time.Sleep(3500 * time.Millisecond)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("a hanging call is cancelled soon when another instance is ahead", func(t *testing.T) {
		runWatcher(t, true, func(st *store, wt *watch.Watcher, lg *log) {
			st.set(func() { st.hanging = true })
			time.Sleep(2600 * time.Millisecond)
			st.put("a")
			wt.ObservePeerNewest(replica.Position{Version: 2})
			st.set(func() { st.hanging = false })
			time.Sleep(time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

func TestNonReader(t *testing.T) {
	t.Run("makes no calls while other instances are fresh", func(t *testing.T) {
		runWatcher(t, false, func(st *store, wt *watch.Watcher, _ *log) {
			before := st.callCount()
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				wt.ObservePeerFreshness(peerFresh(1, 200*time.Millisecond))
			}
			must.Eq(t, before, st.callCount())
		})
	})
	t.Run("reads the store when its replica is stale", func(t *testing.T) {
		runWatcher(t, false, func(st *store, _ *watch.Watcher, lg *log) {
			st.put("a")
			time.Sleep(6 * time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("reports the store as recovered once another instance is fresh", func(t *testing.T) {
		runWatcher(t, false, func(st *store, wt *watch.Watcher, lg *log) {
			st.set(func() { st.down = true })
			time.Sleep(8 * time.Second)
			lost, _ := lg.outages()
			must.Eq(t, 1, lost)
			wt.ObservePeerFreshness(peerFresh(1, 100*time.Millisecond))
			_, back := lg.outages()
			must.Eq(t, 1, back)
		})
	})
	t.Run("applies updates from other instances", func(t *testing.T) {
		runWatcher(t, false, func(_ *store, wt *watch.Watcher, lg *log) {
			wt.ApplyFromPeer(replica.Update{Version: 5, Rows: []replica.Row{{Key: "a", Version: 5}}})
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

func TestEmptyStore(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		st, lg := newStore(), &log{}
		st.page.Version = 0
		wt := newWatcher(st, lg, true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go wt.Run(ctx, done)
		time.Sleep(10 * time.Second)
		must.LessEq(t, 6, st.callCount(), must.Sprint("an empty store must be waited on, not polled in a busy loop"))
		st.put("a")
		time.Sleep(time.Millisecond)
		must.Eq(t, []string{"a"}, lg.seen())
		cancel()
		<-done
	})
}

// callsInOneSecond returns how many calls the watcher makes in a second.
func callsInOneSecond(st *store) int {
	before := st.callCount()
	time.Sleep(time.Second)
	return st.callCount() - before
}

// maxEmptyCalls bounds the calls in a second to a store whose answers bring nothing: 5 waits, each with the full table.
const maxEmptyCalls = 12

// TestEmptyAnswers guards against a busy loop of calls to a store whose answers come at once and bring nothing.
func TestEmptyAnswers(t *testing.T) {
	t.Run("waits that are answered at once", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, _ *log) {
			st.set(func() { st.impatient = true })
			time.Sleep(3 * time.Second)
			must.LessEq(t, maxEmptyCalls, callsInOneSecond(st))
		})
	})
	t.Run("a history that is never there", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, _ *log) {
			st.set(func() { st.oldest = 1 << 40 })
			time.Sleep(3 * time.Second)
			must.LessEq(t, maxEmptyCalls, callsInOneSecond(st))
		})
	})
	t.Run("a change after an empty answer is delivered at once", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			time.Sleep(2501 * time.Millisecond)
			st.put("a")
			time.Sleep(time.Millisecond)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("changes are delivered while the store answers waits at once", func(t *testing.T) {
		runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.set(func() { st.impatient = true })
			time.Sleep(3 * time.Second)
			st.put("a")
			time.Sleep(201 * time.Millisecond)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

// TestMissedChanges guards against a gap in what was read that is taken for a time without changes.
func TestMissedChanges(t *testing.T) {
	for name, each := range map[string]struct {
		away   time.Duration
		missed int
	}{
		"the history is gone after a long outage":          {5 * time.Second, 1},
		"the history is gone, but nothing could be missed": {500 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, true, func(st *store, _ *watch.Watcher, lg *log) {
				st.put("a")
				time.Sleep(time.Second)
				st.set(func() { st.down = true })
				st.put("b")
				time.Sleep(each.away)
				st.set(func() { st.down, st.oldest = false, st.page.Version+1 })
				time.Sleep(3 * time.Second)
				must.Eq(t, each.missed, lg.missedCount())
			})
		})
	}
}

// restore makes the store come back from a copy with one row; the era rises.
func (st *store) restore(key string, version int64) {
	st.set(func() {
		st.page = replica.Update{Full: true, Era: st.page.Era + 1, Version: version, Rows: []replica.Row{{Key: key, Version: version}}}
		close(st.changed)
		st.changed = make(chan struct{})
	})
}

// TestStoreOfAnotherEra guards against a watcher that compares the versions of two eras of the store.
func TestStoreOfAnotherEra(t *testing.T) {
	t.Run("changes of a later era are read as a full table", func(t *testing.T) {
		runWatcher(t, true, func(st *store, wt *watch.Watcher, lg *log) {
			for _, key := range []string{"a", "b", "c"} {
				st.put(key)
				time.Sleep(100 * time.Millisecond)
			}
			st.restore("d", 2)
			time.Sleep(500 * time.Millisecond)
			must.Eq(t, replica.Position{Era: 1, Version: 2}, wt.Position())
			must.Eq(t, []string{"a", "b", "c", "d", "a", "b", "c"}, lg.seen())
			st.put("e")
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, int64(3), wt.Position().Version)
		})
	})
	t.Run("an answer of an earlier era takes nothing back", func(t *testing.T) {
		runWatcher(t, true, func(st *store, wt *watch.Watcher, lg *log) {
			st.restore("a", 9)
			time.Sleep(500 * time.Millisecond)
			st.set(func() { st.page.Era, st.page.Version = 0, 20 })
			wt.ApplyFromPeer(replica.Update{Era: 0, Version: 3, Full: true})
			must.Eq(t, []string{"a"}, lg.seen())
			must.Eq(t, replica.Position{Era: 1, Version: 9}, wt.Position())
		})
	})
	t.Run("the first call after an outage does not wait", func(t *testing.T) {
		runWatcher(t, true, func(st *store, wt *watch.Watcher, _ *log) {
			st.set(func() { st.down = true })
			time.Sleep(4 * time.Second)
			st.set(func() { st.down, st.page.Era = false, 1 })
			time.Sleep(1500 * time.Millisecond)
			must.Eq(t, int64(1), wt.Position().Era)
		})
	})
}
