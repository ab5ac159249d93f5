package catalog_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// evacuationRun is a catalog with an upstream a in the failure domain "", and its events about evacuations.
type evacuationRun struct {
	*catalog.Catalog
	log []string
}

// runEvacuation runs a catalog in fake time.
func runEvacuation(t *testing.T, run func(t *testing.T, er *evacuationRun)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timers, er := timer.New(), &evacuationRun{}
		events := timeline.New("i", hlc.New(timers), 100, func(event *wire.Event) {
			switch event.GetKind() {
			case wire.EventKind_EventDomainEvacuated, wire.EventKind_EventDomainRestored, wire.EventKind_EventRowUnreadable, wire.EventKind_EventUpstreamLeaving, wire.EventKind_EventUpstreamGone:
				er.log = append(er.log, strings.TrimPrefix(event.GetKind().String(), "Event")+" "+event.GetDetail())
			}
		})
		er.Catalog = catalog.New(decoder{}, catalog.TableNames{Configuration: "c", Registrations: "r"}, timers, events)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go er.Run(ctx, done)
		put(er.Catalog, "r", "a", "")
		run(t, er)
		cancel()
		<-done
	})
}

// withdraw removes the row that evacuates the failure domain of the upstream.
func (er *evacuationRun) withdraw() {
	er.RowsChanged("c", []replica.Row{{Key: evacuationKey, Deleted: true, Version: 9}}, 9, true)
}

func (er *evacuationRun) assertUsable(t *testing.T, want bool) {
	t.Helper()
	must.NotNil(t, er.Find("a"))
	must.False(t, er.Find("a").Leaving)
	must.Eq(t, want, er.IsUsable(er.Find("a").Incarnation()))
	must.Eq(t, want, len(er.Upstreams("p", "")) == 1)
	must.Eq(t, !want, er.IsPoolEvacuated("p"))
	must.Eq(t, !want, len(er.Evacuated("p")) == 1)
}

// TestEvacuation guards against an evacuation that does not take effect, or does not end, with its row.
func TestEvacuation(t *testing.T) {
	t.Run("takes upstreams out of use while its row is there", func(t *testing.T) {
		runEvacuation(t, func(t *testing.T, er *evacuationRun) {
			put(er.Catalog, "c", evacuationKey, "")
			er.assertUsable(t, false)
			time.Sleep(time.Hour)
			put(er.Catalog, "c", evacuationKey, "")
			put(er.Catalog, "r", "a", "")
			er.assertUsable(t, false)
			er.withdraw()
			er.assertUsable(t, true)
			must.Eq(t, []string{"DomainEvacuated domain= peer=false upstreams=1", "DomainRestored domain= peer=true"}, er.log)
		})
	})
	t.Run("an unreadable value and a domain without upstreams are logged", func(t *testing.T) {
		runEvacuation(t, func(t *testing.T, er *evacuationRun) {
			put(er.Catalog, "c", evacuationKey+"nowhere", "")
			er.assertUsable(t, true)
			put(er.Catalog, "c", evacuationKey, "unreadable")
			er.assertUsable(t, false)
			must.Eq(t, []string{"DomainEvacuated domain=nowhere peer=false upstreams=0", "RowUnreadable unreadable", "DomainEvacuated domain= peer=false upstreams=1"}, er.log)
		})
	})
	t.Run("is in force with the first configuration", func(t *testing.T) {
		runEvacuation(t, func(t *testing.T, er *evacuationRun) {
			er.RowsChanged("c", []replica.Row{{Key: "config", Value: []byte("5")}, {Key: evacuationKey}}, 5, false)
			must.True(t, er.IsLoaded())
			assertRevision(t, er.Catalog, 5)
			er.assertUsable(t, false)
		})
	})
}

// TestEvacuationThatAnOlderCopyLacks guards against an evacuation that ends when the store comes back from an older copy, and against one
// that then never ends.
func TestEvacuationThatAnOlderCopyLacks(t *testing.T) {
	t.Run("its row is written again", func(t *testing.T) {
		runEvacuation(t, func(t *testing.T, er *evacuationRun) {
			put(er.Catalog, "c", evacuationKey, "")
			er.StoreRestored("c", replica.Position{Era: 1, Version: 7}, replica.Position{Era: 2, Version: 3})
			er.withdraw()
			time.Sleep(4 * time.Second)
			er.assertUsable(t, false)
			put(er.Catalog, "c", evacuationKey, "")
			time.Sleep(time.Minute)
			er.assertUsable(t, false)
			er.withdraw()
			er.assertUsable(t, true)
		})
	})
	t.Run("its row is not written again", func(t *testing.T) {
		runEvacuation(t, func(t *testing.T, er *evacuationRun) {
			put(er.Catalog, "c", evacuationKey, "")
			er.StoreRestored("c", replica.Position{Era: 1, Version: 7}, replica.Position{Era: 2, Version: 3})
			er.withdraw()
			time.Sleep(4999 * time.Millisecond)
			er.assertUsable(t, false)
			time.Sleep(2 * time.Millisecond)
			er.assertUsable(t, true)
			must.Eq(t, []string{
				"DomainEvacuated domain= peer=false upstreams=1", "DomainEvacuated domain= source=held left=5000ms", "DomainRestored domain= source=expired",
			}, er.log)
		})
	})
	t.Run("the registrations' table has nothing to do with it", func(t *testing.T) {
		runEvacuation(t, func(t *testing.T, er *evacuationRun) {
			put(er.Catalog, "c", evacuationKey, "")
			er.StoreRestored("r", replica.Position{Era: 1, Version: 7}, replica.Position{Era: 2, Version: 3})
			er.withdraw()
			er.assertUsable(t, true)
		})
	})
}
