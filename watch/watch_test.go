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
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/watch"
)

// store is a table that can be down, slow to answer, silent, or without its history.
type store struct {
	mu      sync.Mutex
	page    replica.Update
	changed chan struct{}
	down    bool
	silent  bool
	stale   bool
	cut     int64
	calls   int
}

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

// made returns the number of calls.
func (st *store) made() int {
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
	down, silent, cut, changed, version := st.down, st.silent, st.cut, st.changed, st.page.Version
	st.mu.Unlock()
	switch {
	case down:
		return replica.Update{}, errors.New("down")
	case silent:
		<-ctx.Done()
		return replica.Update{}, ctx.Err()
	case after < cut:
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
	page := replica.Update{Version: st.page.Version}
	for _, row := range st.page.Rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// log notes what a watch tells.
type log struct {
	mu   sync.Mutex
	keys []string
	lost int
	back int
}

func (lg *log) RowsChanged(_ string, rows []replica.Row, _ int64, _ bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for _, row := range rows {
		lg.keys = append(lg.keys, row.Key)
	}
}
func (lg *log) StoreUnavailable(string, error) { lg.mu.Lock(); defer lg.mu.Unlock(); lg.lost++ }
func (lg *log) StoreRecovered(string)          { lg.mu.Lock(); defer lg.mu.Unlock(); lg.back++ }

// outages returns how often the store was lost and came back.
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

// follow runs a watch in fake time.
func follow(t *testing.T, deputy bool, play func(st *store, wt *watch.Watcher, lg *log)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		st, lg := newStore(), &log{}
		wt := watch.New("t", st, timer.New(), entropy.New(1), lg, func() bool { return deputy })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go wt.Run(ctx, done)
		time.Sleep(time.Second)
		play(st, wt, lg)
		cancel()
		<-done
	})
}

func TestWatch(t *testing.T) {
	t.Run("a change is told at once", func(t *testing.T) {
		follow(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.put("a")
			time.Sleep(time.Millisecond)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("an outage is told once, and what changed meanwhile when it ends", func(t *testing.T) {
		follow(t, true, func(st *store, _ *watch.Watcher, lg *log) {
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
	t.Run("a lost history leads to a read of all", func(t *testing.T) {
		follow(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.set(func() { st.down = true })
			time.Sleep(3 * time.Second)
			st.put("a")
			st.set(func() { st.down, st.cut = false, st.page.Version })
			time.Sleep(2 * time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("an older state of the store is not taken over", func(t *testing.T) {
		follow(t, true, func(st *store, wt *watch.Watcher, lg *log) {
			st.put("a")
			time.Sleep(10 * time.Millisecond)
			version := wt.Version()
			st.set(func() { st.stale, st.cut = true, 1<<40 })
			time.Sleep(3 * time.Second)
			must.Eq(t, version, wt.Version())
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

func TestSilentConnection(t *testing.T) {
	t.Run("a connection that went silent is given up within three seconds and a half", func(t *testing.T) {
		follow(t, true, func(st *store, _ *watch.Watcher, lg *log) {
			st.set(func() { st.silent = true })
			time.Sleep(2600 * time.Millisecond)
			st.put("a")
			time.Sleep(3500 * time.Millisecond)
			st.set(func() { st.silent = false })
			time.Sleep(3500 * time.Millisecond)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("one that other instances are ahead of is given up shortly", func(t *testing.T) {
		follow(t, true, func(st *store, wt *watch.Watcher, lg *log) {
			st.set(func() { st.silent = true })
			time.Sleep(2600 * time.Millisecond)
			st.put("a")
			wt.ObservePeerVersion(2)
			st.set(func() { st.silent = false })
			time.Sleep(time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

func TestReadersForOthers(t *testing.T) {
	t.Run("an instance that others read for makes no calls while they are current", func(t *testing.T) {
		follow(t, false, func(st *store, wt *watch.Watcher, _ *log) {
			before := st.made()
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				wt.ObservePeerFreshness(1, 200*time.Millisecond)
			}
			must.Eq(t, before, st.made())
		})
	})
	t.Run("it reads itself when they no longer are", func(t *testing.T) {
		follow(t, false, func(st *store, _ *watch.Watcher, lg *log) {
			st.put("a")
			time.Sleep(6 * time.Second)
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
	t.Run("the store is back for it as soon as others read again", func(t *testing.T) {
		follow(t, false, func(st *store, wt *watch.Watcher, lg *log) {
			st.set(func() { st.down = true })
			time.Sleep(8 * time.Second)
			lost, _ := lg.outages()
			must.Eq(t, 1, lost)
			wt.ObservePeerFreshness(1, 100*time.Millisecond)
			_, back := lg.outages()
			must.Eq(t, 1, back)
		})
	})
	t.Run("it takes what they send", func(t *testing.T) {
		follow(t, false, func(_ *store, wt *watch.Watcher, lg *log) {
			wt.ApplyFromPeer(replica.Update{Version: 5, Rows: []replica.Row{{Key: "a", Version: 5}}})
			must.Eq(t, []string{"a"}, lg.seen())
		})
	})
}

func TestEmptyStore(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		st, lg := newStore(), &log{}
		st.page.Version = 0
		wt := watch.New("t", st, timer.New(), entropy.New(1), lg, func() bool { return true })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go wt.Run(ctx, done)
		time.Sleep(10 * time.Second)
		must.LessEq(t, 6, st.made(), must.Sprint("a store without rows is waited on, not asked again and again"))
		st.put("a")
		time.Sleep(time.Millisecond)
		must.Eq(t, []string{"a"}, lg.seen())
		cancel()
		<-done
	})
}
