package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
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

// store simulates the platform's store and its faults.
type store struct {
	mu      sync.Mutex
	era     int64
	version int64
	rows    map[string][]replica.Row
	// historyLost is the version up to which the changes of each table are no longer available.
	historyLost map[string]int64
	changed     chan struct{}
	down        bool
	delay       time.Duration
	// silentSince is when the connections that there were fell silent for good, or zero.
	silentSince time.Time
	// began is when its steady clock read zero.
	began   time.Time
	outages []outage
	// tables holds the decoded configuration of each revision.
	tables map[int64]*route.Table
}

// outage is a period in which the store was down; to is zero while it lasts.
type outage struct {
	from time.Time
	to   time.Time
}

// setState makes the store unavailable or available and sets the delay of its answers.
func (st *store) setState(down bool, slow time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if down && !st.down {
		st.outages = append(st.outages, outage{from: time.Now()})
	}
	if !down && st.down {
		st.outages[len(st.outages)-1].to = time.Now()
	}
	st.down, st.delay = down, slow
}

// settleTime is the time after an outage in which expired registrations are written again. Until it ends, instances
// can't tell the removal of an upstream from the expiry of its registration.
const settleTime = 1250 * time.Millisecond

// knownBy returns when all converged instances must know a change that the store acknowledged: within bound, counted
// from the end of settleTime if an outage overlaps.
func (st *store) knownBy(acknowledged time.Time, bound time.Duration) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	by := acknowledged.Add(bound)
	for _, each := range st.outages {
		switch {
		case each.from.After(by):
		case each.to.IsZero():
			return time.Now().Add(bound)
		case each.to.Add(settleTime).After(acknowledged):
			by = each.to.Add(settleTime + bound)
		}
	}
	return by
}

func newStore() *store {
	return &store{
		began: time.Now(), era: 1, rows: map[string][]replica.Row{}, historyLost: map[string]int64{}, changed: make(chan struct{}), tables: map[int64]*route.Table{},
	}
}

// put writes a row and returns the time of the acknowledgement.
func (st *store) put(table string, row replica.Row) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	row.Version = st.version
	if table == configurations {
		_, _ = fmt.Sscan(string(row.Value), &row.Revision)
	}
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

// silence makes the connections on which calls are waiting silent for good.
func (st *store) silence() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.silentSince = time.Now()
}

// isSilent reports whether a call that began at a time is on a silent connection.
func (st *store) isSilent(began time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return began.Before(st.silentSince)
}

// page returns the rows of a table in the copy after a version.
func (sc *storeCopy) page(table string, after int64) replica.Update {
	page := replica.Update{Era: sc.era, Version: sc.version, Full: after < 0, StoreTime: 1 + time.Since(sc.began)}
	for _, row := range sc.rows[table] {
		if row.Version > after && !(page.Full && row.Deleted) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

// storeCopy is the content of the store at a moment.
type storeCopy struct {
	era     int64
	version int64
	rows    map[string][]replica.Row
	began   time.Time
}

// copy returns the content of the store.
func (st *store) copy() storeCopy {
	st.mu.Lock()
	defer st.mu.Unlock()
	taken := storeCopy{began: st.began, era: st.era, version: st.version, rows: map[string][]replica.Row{}}
	for table, rows := range st.rows {
		taken.rows[table] = slices.Clone(rows)
	}
	return taken
}

// restore replaces the content of the store by an older copy; the era rises, and waits for changes break off.
func (st *store) restore(taken storeCopy) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.version, st.rows = taken.version, taken.rows
	close(st.changed)
	st.changed = make(chan struct{})
}

// dropHistory drops the change history of all tables.
func (st *store) dropHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for table := range st.rows {
		st.historyLost[table] = st.version
	}
}

// page returns the rows of a table after a version, and a channel that is closed at the next change.
func (st *store) page(table string, after int64) (replica.Update, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	page := replica.Update{Era: st.era, Version: st.version, Full: after < 0, StoreTime: 1 + time.Since(st.began)}
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
	return st.down, st.delay
}

// storeClient is the connection of one instance to the store.
type storeClient struct {
	store *store
	node  *node
}

var errStoreDown = errors.New("store is down")

// connect waits for the network and store delay, or returns the injected error.
func (sc storeClient) connect(ctx context.Context) error {
	down, slow := sc.store.state()
	switch {
	case sc.node.storeHangs.Load():
		<-ctx.Done()
		return ctx.Err()
	case down || sc.node.storeUnreachable.Load() || sc.node.dead.Load():
		time.Sleep(time.Millisecond)
		return errStoreDown
	}
	if !sleep(ctx, slow+4*time.Millisecond+time.Duration(sc.node.storeDelay.Load())) || !sc.node.awaitThaw(ctx) {
		return ctx.Err()
	}
	return nil
}

// begin records that a call begins; the function that it returns records its end.
func (sc storeClient) begin() func() {
	sc.node.storeCalls.Add(1)
	return func() {
		sc.node.storeCalls.Add(-1)
		sc.node.storeCalledAt.Store(time.Now().UnixNano())
	}
}

// hasCalledStore reports whether the instance has had a call to the store within a time.
func (nd *node) hasCalledStore(within time.Duration) bool {
	return nd.storeCalls.Load() > 0 || time.Since(time.Unix(0, nd.storeCalledAt.Load())) < within
}

// ReadAll returns all rows of a table.
func (sc storeClient) ReadAll(ctx context.Context, table string) (replica.Update, error) {
	defer sc.begin()()
	if err := sc.connect(ctx); err != nil {
		return replica.Update{}, err
	}
	if old := sc.node.storeReplica.Load(); old != nil {
		return old.page(table, -1), nil
	}
	page, _ := sc.store.page(table, -1)
	return page, nil
}

// ReadChanges waits for rows that changed after a version. It bounds the wait by a context: a channel of a timer that is received
// from when its time is up crashes the race detector under fake time, as it then runs in two threads of one bubble.
func (sc storeClient) ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (replica.Update, error) {
	defer sc.begin()()
	if err := sc.connect(ctx); err != nil {
		return replica.Update{}, err
	}
	sc.store.mu.Lock()
	era := sc.store.era
	sc.store.mu.Unlock()
	began := time.Now()
	limit, end := context.WithTimeout(ctx, wait)
	defer end()
	for {
		sc.store.mu.Lock()
		lost, isRestored := after < sc.store.historyLost[table] || after > sc.store.version, sc.store.era != era
		sc.store.mu.Unlock()
		if isRestored {
			return replica.Update{}, errStoreDown
		}
		if lost {
			return replica.Update{}, watch.ErrHistoryGone
		}
		if sc.store.isSilent(began) {
			<-ctx.Done()
			return replica.Update{}, ctx.Err()
		}
		page, more := sc.store.page(table, after)
		if old := sc.node.storeReplica.Load(); old != nil {
			page = old.page(table, after)
		}
		if len(page.Rows) > 0 {
			return page, sc.connect(ctx)
		}
		select {
		case <-more:
		case <-limit.Done():
			if err := ctx.Err(); err != nil {
				return replica.Update{}, err
			}
			if sc.node.storeReplica.Load() == nil {
				page, _ = sc.store.page(table, after)
			}
			return page, sc.connect(ctx)
		}
	}
}

// decoder decodes the rows of the store.
type decoder struct {
	store *store
}

// Configuration returns the configuration of the revision in the row.
func (dc decoder) Configuration(row replica.Row) (*route.Table, error) {
	if row.Key != configurationKey {
		return nil, nil
	}
	revision := int64(0)
	if _, err := fmt.Sscan(string(row.Value), &revision); err != nil {
		return nil, fmt.Errorf("parse configuration revision: %w", err)
	}
	dc.store.mu.Lock()
	defer dc.store.mu.Unlock()
	return dc.store.tables[revision], nil
}

// Registration decodes an upstream's registration.
func (dc decoder) Registration(row replica.Row, _ time.Time) (roster.Upstream, error) {
	registration := roster.Upstream{}
	if err := json.Unmarshal(row.Value, &registration); err != nil {
		return roster.Upstream{}, fmt.Errorf("parse registration: %w", err)
	}
	return registration, nil
}

const (
	configurationKey = "config"
	// evacuationKey begins the key of a row that evacuates a failure domain.
	evacuationKey = "evacuation of "
)

// Evacuation decodes the failure domain that a row evacuates.
func (decoder) Evacuation(row replica.Row) (string, bool, error) {
	domain, is := strings.CutPrefix(row.Key, evacuationKey)
	return domain, is, nil
}

// sleep waits, and returns whether the context lasted; it uses no channel of a timer for the reason given at ReadChanges.
func sleep(ctx context.Context, wait time.Duration) bool {
	limit, end := context.WithTimeout(ctx, wait)
	defer end()
	<-limit.Done()
	return ctx.Err() == nil
}

// removalRow returns the row that removes a registration.
func removalRow(up *upstream) replica.Row {
	return replica.Row{Key: up.ID, Deleted: true}
}
