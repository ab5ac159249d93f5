package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/watch"
)

const (
	configurations = "configurations"
	registrations  = "registrations"
)

// store is the platform's tables with their faults.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[string][]replica.Row
	// forgotten is the version up to which each table's history is lost.
	forgotten map[string]int64
	changed   chan struct{}
	down      bool
	slow      time.Duration
	outages   []outage
	// tables holds each revision of the configuration.
	tables map[int64]*route.Table
}

// outage is a time in which the store was down; its end is zero while it lasts.
type outage struct {
	from time.Time
	to   time.Time
}

// set takes the store away or brings it back, and makes its answers slow.
func (st *store) set(down bool, slow time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if down && !st.down {
		st.outages = append(st.outages, outage{from: time.Now()})
	}
	if !down && st.down {
		st.outages[len(st.outages)-1].to = time.Now()
	}
	st.down, st.slow = down, slow
}

// settles is how long after its return the store does not count as stable: registrations that lapsed come back, and
// a removal may be one of these.
const settles = 1250 * time.Millisecond

// knownBy returns when all instances in touch must know a change that was acknowledged at a time: within bound,
// counted from the end of an outage that began before.
func (st *store) knownBy(acknowledged time.Time, bound time.Duration) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	by := acknowledged.Add(bound)
	for _, each := range st.outages {
		switch {
		case each.from.After(by):
		case each.to.IsZero():
			return time.Now().Add(bound)
		case each.to.Add(settles).After(acknowledged):
			by = each.to.Add(settles + bound)
		}
	}
	return by
}

func newStore() *store {
	return &store{
		rows: map[string][]replica.Row{}, forgotten: map[string]int64{}, changed: make(chan struct{}), tables: map[int64]*route.Table{},
	}
}

// put writes a row and returns when it was acknowledged.
func (st *store) put(table string, row replica.Row) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	row.Version = st.version
	kept := []replica.Row{}
	for _, each := range st.rows[table] {
		if each.Key != row.Key {
			kept = append(kept, each)
		}
	}
	st.rows[table] = append(kept, row)
	close(st.changed)
	st.changed = make(chan struct{})
	return time.Now()
}

// forget drops the history of all tables.
func (st *store) forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for table := range st.rows {
		st.forgotten[table] = st.version
	}
}

// page returns the rows of a table after a version, and what to wait on for more.
func (st *store) page(table string, after int64) (replica.Update, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	page := replica.Update{Version: st.version, Full: after < 0}
	for _, row := range st.rows[table] {
		if row.Version > after && !(page.Full && row.Deleted) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, st.changed
}

func (st *store) state() (down bool, slow time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.down, st.slow
}

// view is the store as one instance reaches it.
type view struct {
	store *store
	node  *node
}

var errDown = errors.New("store is down")

// reach waits for the way to the store.
func (vw view) reach(ctx context.Context) error {
	down, slow := vw.store.state()
	switch {
	case vw.node.silentStore.Load():
		<-ctx.Done()
		return ctx.Err()
	case down || vw.node.cutFromStore.Load() || vw.node.dead.Load():
		time.Sleep(time.Millisecond)
		return errDown
	}
	if !pause(ctx, slow+4*time.Millisecond) {
		return ctx.Err()
	}
	return nil
}

// ReadAll returns the whole table.
func (vw view) ReadAll(ctx context.Context, table string) (replica.Update, error) {
	if err := vw.reach(ctx); err != nil {
		return replica.Update{}, err
	}
	page, _ := vw.store.page(table, -1)
	return page, nil
}

// ReadChanges waits for changes.
func (vw view) ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (replica.Update, error) {
	if err := vw.reach(ctx); err != nil {
		return replica.Update{}, err
	}
	limit := time.After(wait)
	for {
		vw.store.mu.Lock()
		lost := after < vw.store.forgotten[table]
		vw.store.mu.Unlock()
		if lost {
			return replica.Update{}, watch.ErrHistoryGone
		}
		page, more := vw.store.page(table, after)
		if len(page.Rows) > 0 {
			return page, vw.reach(ctx)
		}
		select {
		case <-more:
		case <-limit:
			return page, vw.reach(ctx)
		case <-ctx.Done():
			return replica.Update{}, ctx.Err()
		}
	}
}

// decoder reads rows.
type decoder struct {
	store *store
}

// Configuration reads the revision that a row names.
func (dc decoder) Configuration(row replica.Row) (*route.Table, error) {
	revision := int64(0)
	if _, err := fmt.Sscan(string(row.Value), &revision); err != nil {
		return nil, fmt.Errorf("unreadable configuration: %w", err)
	}
	dc.store.mu.Lock()
	defer dc.store.mu.Unlock()
	return dc.store.tables[revision], nil
}

// Registration reads an upstream.
func (dc decoder) Registration(row replica.Row, _ time.Time) (roster.Upstream, error) {
	read := roster.Upstream{}
	if err := json.Unmarshal(row.Value, &read); err != nil {
		return roster.Upstream{}, fmt.Errorf("unreadable registration: %w", err)
	}
	return read, nil
}

func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// removal is the row of a registration that is gone.
func removal(up *upstream) replica.Row {
	return replica.Row{Key: up.ID, Deleted: true}
}
