package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/roster"
)

const (
	// readersWithin is how lately an instance has called the store that counts as one that reads it.
	readersWithin = 3 * time.Second
	// slowAnswer is how long answers of the store take to an instance to which it is slow.
	slowAnswer = 3 * time.Second
)

// readerFaults are the ways in which instances that read the store stop knowing of its changes; the function reports whether they still
// have to be up to date.
var readerFaults = map[string]func(os *olderStore, nd *node) bool{
	"cut off silently": func(_ *olderStore, nd *node) bool { nd.storeHangs.Store(true); return false },
	"refused":          func(_ *olderStore, nd *node) bool { nd.storeUnreachable.Store(true); return true },
	"slow":             func(_ *olderStore, nd *node) bool { nd.storeDelay.Store(int64(slowAnswer)); return true },
	"frozen":           func(_ *olderStore, nd *node) bool { nd.frozen.Store(true); return false },
	"answered by a replica that is behind": func(os *olderStore, nd *node) bool {
		behind := os.fleet.store.copy()
		nd.storeReplica.Store(&behind)
		return true
	},
}

// changesInTouch are the changes that must be known in time; each makes one and returns whether an instance knows it.
var changesInTouch = map[string]func(os *olderStore) func(nd *node) bool{
	"a configuration": func(os *olderStore) func(nd *node) bool {
		os.configure()
		return func(nd *node) bool {
			table := nd.entry.Catalog().RoutingTable()
			return table != nil && table.Revision >= os.revision
		}
	},
	"an upstream that leaves": func(os *olderStore) func(nd *node) bool {
		us := os.fleet.upstreams
		us.mu.Lock()
		up := us.byID["plain-1"]
		us.mu.Unlock()
		us.leave(up, true)
		return func(nd *node) bool {
			return !nd.entry.Catalog().IsUsable(roster.Incarnation{ID: up.ID, StartUnixMs: up.StartUnixMs})
		}
	},
}

// TestReadersOfTheStoreThatFallBehind guards against instances that are in touch and miss a change, since just those that read the store
// for them are cut off from it, refused, slow, frozen or answered by an old replica.
func TestReadersOfTheStoreThatFallBehind(t *testing.T) {
	for _, size := range []int{8, 18, 77} {
		for fault, set := range readerFaults {
			for change, make := range changesInTouch {
				t.Run(fmt.Sprintf("%s of %d instances, %s", change, size, fault), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playReadersBehind(t, size, set, make) })
				})
			}
		}
	}
}

func playReadersBehind(t *testing.T, size int, set func(*olderStore, *node) bool, change func(*olderStore) func(*node) bool) {
	os := newOlderStore(size)
	defer func() {
		for _, nd := range os.fleet.live() {
			nd.frozen.Store(false)
		}
		os.fleet.stop()
	}()
	time.Sleep(8 * time.Second)
	bound, readers := []*node{}, 0
	for _, nd := range os.fleet.live() {
		reads := nd.hasCalledStore(readersWithin)
		if reads {
			readers++
		}
		if !reads || set(os, nd) {
			bound = append(bound, nd)
		}
	}
	must.Between(t, 1, readers, size-1, must.Sprint("instances that read the store"))
	time.Sleep(100 * time.Millisecond)
	isKnown, began := change(os), time.Now()
	for slices.ContainsFunc(bound, func(nd *node) bool { return !isKnown(nd) }) {
		must.LessEq(t, appliedWithin, time.Since(began), must.Sprint(len(bound), " instances must know the change"))
		time.Sleep(10 * time.Millisecond)
	}
}

// TestInstanceThatStartsFromAnotherOne guards against an instance that gets its tables from another one, since the store does not answer it, and
// then misses changes while the instances that read the store fall behind, too.
func TestInstanceThatStartsFromAnotherOne(t *testing.T) {
	for change, make := range changesInTouch {
		t.Run(change, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				os := newOlderStore(8)
				defer os.fleet.stop()
				fresh := os.fleet.live()[3]
				os.fleet.kill(fresh)
				os.fleet.restart(fresh, defects{})
				fresh = os.fleet.nodeAt(fresh.id)
				fresh.storeHangs.Store(true)
				time.Sleep(convergenceTime)
				must.True(t, fresh.entry.Ready())
				others := os.fleet.live()
				for _, nd := range others {
					if nd != fresh && nd.hasCalledStore(time.Second) {
						nd.storeHangs.Store(true)
					}
				}
				isKnown, began := make(os), time.Now()
				for slices.ContainsFunc(others, func(nd *node) bool { return !isKnown(nd) }) {
					must.LessEq(t, appliedWithin, time.Since(began))
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// TestInstanceThatStartsWhileTheStoreIsAway guards against an instance that has never read the store, states an age of centuries, and is
// taken for one that has just read it.
func TestInstanceThatStartsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		os := newOlderStore(8)
		defer os.fleet.stop()
		os.fleet.store.setState(true, 0)
		time.Sleep(2 * time.Second)
		old := os.fleet.live()[3]
		os.fleet.kill(old)
		os.fleet.restart(old, defects{})
		time.Sleep(2 * time.Second)
		os.fleet.store.setState(false, 0)
		time.Sleep(inTouchAfter)
		os.configure()
		must.LessEq(t, appliedWithin, os.awaitRevision(os.revision, 4*appliedWithin))
	})
}
