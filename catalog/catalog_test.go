package catalog_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// decoder decodes a row's value as the revision of a configuration or the state of a registration.
type decoder struct{}

func (decoder) Configuration(row replica.Row) (*route.Table, error) {
	revision, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	return route.New(route.Table{Revision: revision}), nil
}

func (decoder) Registration(row replica.Row, _ time.Time) (roster.Upstream, error) {
	if string(row.Value) == "unreadable" {
		return roster.Upstream{}, errors.New("unreadable")
	}
	return roster.Upstream{ID: row.Key, Pool: "p", Leaving: string(row.Value) == "leaving"}, nil
}

// evacuationKey begins the key of a row that evacuates a failure domain.
const evacuationKey = "evacuation of "

func (decoder) Evacuation(row replica.Row) (string, bool, error) {
	domain, is := strings.CutPrefix(row.Key, evacuationKey)
	if is && string(row.Value) == "unreadable" {
		return domain, true, errors.New("unreadable")
	}
	return domain, is, nil
}

// runCatalog runs a catalog in fake time.
func runCatalog(t *testing.T, run func(ct *catalog.Catalog)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timers := timer.New()
		ct := catalog.New(decoder{}, catalog.TableNames{Configuration: "c", Registrations: "r"}, timers, timeline.New("i", hlc.New(timers), 100, nil))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go ct.Run(ctx, done)
		run(ct)
		cancel()
		<-done
	})
}

func put(ct *catalog.Catalog, table, key, value string) {
	ct.RowsChanged(table, []replica.Row{{Key: key, Value: []byte(value), Version: 1}}, 1, false)
}

func remove(ct *catalog.Catalog, key string) {
	ct.RowsChanged("r", []replica.Row{{Key: key, Deleted: true, Version: 2}}, 2, false)
}

func assertRevision(t *testing.T, ct *catalog.Catalog, want int64) {
	t.Helper()
	must.NotNil(t, ct.RoutingTable())
	must.Eq(t, want, ct.RoutingTable().Revision)
}

func TestConfigurations(t *testing.T) {
	runCatalog(t, func(ct *catalog.Catalog) {
		must.Nil(t, ct.RoutingTable())
		put(ct, "c", "config", "5")
		put(ct, "c", "config", "4")
		assertRevision(t, ct, 5)
		put(ct, "c", "config", "unreadable")
		assertRevision(t, ct, 5)
		ct.RowsChanged("c", []replica.Row{{Key: "config", Deleted: true}}, 9, false)
		assertRevision(t, ct, 5)
		put(ct, "c", "config", "7")
		assertRevision(t, ct, 7)
		must.False(t, ct.IsLoaded(), must.Sprint("no registrations have been received yet"))
		put(ct, "r", "a", "")
		must.True(t, ct.IsLoaded())
	})
}

func TestRegistrations(t *testing.T) {
	runCatalog(t, func(ct *catalog.Catalog) {
		put(ct, "r", "a", "")
		put(ct, "r", "b", "")
		put(ct, "r", "b", "unreadable")
		put(ct, "r", "c", "leaving")
		must.SliceLen(t, 1, ct.Upstreams("p", ""))
		remove(ct, "a")
		must.SliceEmpty(t, ct.Upstreams("p", ""))
	})
}

// TestRemovalNearAnOutage guards against a grace period that keeps a removed upstream in use for more than two seconds:
// registrations are removed shortly after the store recovered, while other instances keep extending the grace period.
func TestRemovalNearAnOutage(t *testing.T) {
	runCatalog(t, func(ct *catalog.Catalog) {
		put(ct, "r", "a", "")
		put(ct, "r", "lapsed", "")
		ct.StoreUnavailable("r", errors.New("down"))
		time.Sleep(5 * time.Second)
		ct.StoreRecovered("r")
		remove(ct, "a")
		remove(ct, "lapsed")
		for range 10 {
			time.Sleep(150 * time.Millisecond)
			ct.ExtendGrace(1900 * time.Millisecond)
		}
		put(ct, "r", "lapsed", "")
		must.NotNil(t, ct.Find("lapsed"))
		time.Sleep(500 * time.Millisecond)
		must.Nil(t, ct.Find("a"), must.Sprint("two seconds after its removal"))
		must.NotNil(t, ct.Find("lapsed"))
	})
}

// TestRemovalFromPeerDuringAnOutage guards against ignoring a removal that other instances send while this instance can't
// reach the store.
func TestRemovalFromPeerDuringAnOutage(t *testing.T) {
	runCatalog(t, func(ct *catalog.Catalog) {
		put(ct, "r", "a", "")
		ct.StoreUnavailable("r", errors.New("timeout"))
		time.Sleep(5 * time.Second)
		remove(ct, "a")
		time.Sleep(2 * time.Second)
		must.Nil(t, ct.Find("a"), must.Sprint("the removal was read from the store by another instance"))
	})
}
