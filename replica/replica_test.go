package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericdoor/turmericdoor/replica"
)

var start = time.Unix(1000, 0)

func row(key string, version int64) replica.Row {
	return replica.Row{Key: key, Value: fmt.Append(nil, key, version), Version: version}
}

func assertKeys(t *testing.T, rows []replica.Row, want ...string) {
	t.Helper()
	keys := []string{}
	for _, one := range rows {
		keys = append(keys, one.Key)
	}
	must.Eq(t, want, keys)
}

func TestApply(t *testing.T) {
	t.Run("an older update is ignored", func(t *testing.T) {
		rp := replica.New()
		rp.Apply(start, replica.Update{Full: true, Version: 9, Rows: []replica.Row{row("a", 7)}})
		must.SliceEmpty(t, rp.Apply(start, replica.Update{Full: true, Version: 8}))
		must.SliceEmpty(t, rp.Apply(start, replica.Update{Version: 9, Rows: []replica.Row{row("a", 6)}}))
	})
	t.Run("a row that is missing in a full update was deleted", func(t *testing.T) {
		rp := replica.New()
		rp.Apply(start, replica.Update{Full: true, Version: 9, Rows: []replica.Row{row("a", 7), row("b", 8)}})
		changed := rp.Apply(start, replica.Update{Full: true, Version: 12, Rows: []replica.Row{row("b", 8)}})
		assertKeys(t, changed, "a")
		must.True(t, changed[0].Deleted)
	})
	t.Run("a partial update before the first full one is ignored", func(t *testing.T) {
		must.SliceEmpty(t, replica.New().Apply(start, replica.Update{Version: 3, Rows: []replica.Row{row("a", 3)}}))
	})
}

func TestPrunedTombstone(t *testing.T) {
	rp := replica.New()
	rp.Apply(start, replica.Update{Full: true, Version: 1, Rows: []replica.Row{row("a", 1)}})
	rp.Apply(start, replica.Update{Version: 2, Rows: []replica.Row{{Key: "a", Version: 2, Deleted: true}}})
	rp.Apply(start.Add(time.Hour), replica.Update{Version: 3, Rows: []replica.Row{row("b", 3)}})
	page := rp.ChangesSince(replica.Position{Version: 1})
	must.True(t, page.Full, must.Sprint("a partial update would not tell a replica at version 1 that a was deleted"))
	assertKeys(t, page.Rows, "b")
}

// TestFullUpdateAfterPruningIsWhole guards against a full update that lacks the older rows: its receiver deletes them.
func TestFullUpdateAfterPruningIsWhole(t *testing.T) {
	ahead, behind := replica.New(), replica.New()
	for _, rp := range []*replica.Replica{ahead, behind} {
		rp.Apply(start, replica.Update{Full: true, Version: 3, Rows: []replica.Row{row("a", 1), row("b", 2), row("c", 3)}})
	}
	ahead.Apply(start, replica.Update{Version: 4, Rows: []replica.Row{{Key: "a", Version: 4, Deleted: true}}})
	ahead.Apply(start.Add(time.Hour), replica.Update{Version: 5, Rows: []replica.Row{row("d", 5)}})
	changed := behind.Apply(start, ahead.ChangesSince(behind.Position()))
	assertKeys(t, changed, "d", "a")
	assertKeys(t, behind.ChangesSince(replica.Position{}).Rows, "b", "c", "d")
}

// TestDeletionsBeforeASnapshotReachOtherReplicas guards against deleted rows that come back: a replica knows nothing of the
// rows that were deleted before its full table was read.
func TestDeletionsBeforeASnapshotReachOtherReplicas(t *testing.T) {
	behind := func() *replica.Replica {
		rp := replica.New()
		rp.Apply(start, replica.Update{Full: true, Version: 5, Rows: []replica.Row{row("a", 4), row("b", 5)}})
		return rp
	}
	full := replica.Update{Full: true, Version: 9, Rows: []replica.Row{row("b", 5), row("c", 9)}}
	t.Run("from a new replica", func(t *testing.T) {
		ahead, rp := replica.New(), behind()
		ahead.Apply(start, full)
		rp.Apply(start, ahead.ChangesSince(rp.Position()))
		must.Eq(t, int64(9), rp.Version())
		assertKeys(t, rp.ChangesSince(replica.Position{}).Rows, "b", "c")
	})
	t.Run("from a replica that was at an older version", func(t *testing.T) {
		ahead, rp := replica.New(), behind()
		ahead.Apply(start, replica.Update{Full: true, Version: 3})
		ahead.Apply(start, full)
		rp.Apply(start, ahead.ChangesSince(rp.Position()))
		assertKeys(t, rp.ChangesSince(replica.Position{}).Rows, "b", "c")
	})
	t.Run("a replica at the version of the full table gets changes only", func(t *testing.T) {
		ahead := replica.New()
		ahead.Apply(start, full)
		must.False(t, ahead.ChangesSince(replica.Position{Version: 9}).Full)
	})
}

// TestReplicasAgree guards against replicas that diverge: one gets the store's changes in order, another gets updates of
// the first, some of them late or twice. Both must end with the store's rows.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := map[string]replica.Row{}
		first, second := replica.New(), replica.New()
		first.Apply(start, replica.Update{Full: true, Version: 1})
		kept := []replica.Update{}
		for version := int64(2); version < 40; version++ {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			change := row(key, version)
			change.Deleted = rapid.Bool().Draw(rt, "deleted")
			store[key] = change
			first.Apply(start, replica.Update{Version: version, Rows: []replica.Row{change}})
			if rapid.Bool().Draw(rt, "told") {
				kept = append(kept, first.ChangesSince(second.Position()))
				second.Apply(start, rapid.SampledFrom(kept).Draw(rt, "page"))
			}
		}
		second.Apply(start, first.ChangesSince(second.Position()))
		for _, rp := range []*replica.Replica{first, second} {
			for _, one := range rp.ChangesSince(replica.Position{}).Rows {
				must.Eq(rt, store[one.Key].Version, one.Version)
			}
			live := 0
			for _, one := range store {
				if !one.Deleted {
					live++
				}
			}
			must.SliceLen(rt, live, rp.ChangesSince(replica.Position{}).Rows)
		}
	})
}

// TestUnseen guards against a row that came and went between two updates, and is taken for one that never was.
func TestUnseen(t *testing.T) {
	deleted := func(key string, version int64) replica.Row {
		return replica.Row{Key: key, Version: version, Deleted: true}
	}
	rp := replica.New()
	rp.Apply(start, replica.Update{Full: true, Version: 9, Rows: []replica.Row{row("a", 7)}})
	rp.Apply(start, replica.Update{Version: 10, Rows: []replica.Row{deleted("a", 10)}})
	must.Zero(t, rp.Unseen())
	rp.Apply(start, replica.Update{Version: 12, Rows: []replica.Row{row("b", 11), deleted("b", 12)}})
	must.Zero(t, rp.Unseen())
	rp.Apply(start, replica.Update{Version: 13, Rows: []replica.Row{deleted("c", 13)}})
	must.Eq(t, 1, rp.Unseen())
	rp.Apply(start, replica.Update{Version: 15, Rows: []replica.Row{deleted("a", 15)}})
	must.Eq(t, 2, rp.Unseen(), must.Sprint("a was registered again before"))
}

// TestRestoredStore guards against rows of an older copy of the store that take back what is in force, and against a replica
// that holds on to versions which are given out again.
func TestRestoredStore(t *testing.T) {
	numbered := func(version, revision int64) replica.Row {
		return replica.Row{Key: "n", Version: version, Revision: revision}
	}
	before := func() *replica.Replica {
		rp := replica.New()
		rp.Apply(start, replica.Update{Era: 1, Full: true, Version: 9, Rows: []replica.Row{row("a", 4), numbered(9, 7)}})
		return rp
	}
	restored := replica.Update{Era: 2, Full: true, Version: 5, Rows: []replica.Row{row("b", 5), numbered(3, 6)}}
	t.Run("the copy replaces the rows, but not one with a higher revision", func(t *testing.T) {
		rp := before()
		assertKeys(t, rp.Apply(start, restored), "b", "a")
		must.Eq(t, replica.Position{Era: 2, Version: 5, Revision: 7}, rp.Position())
		rp.Apply(start, replica.Update{Era: 2, Version: 6, Rows: []replica.Row{numbered(6, 7)}})
		must.Eq(t, int64(6), rp.NewestChange().Version)
	})
	t.Run("a numbered row that the copy lacks stays", func(t *testing.T) {
		rp := before()
		rp.Apply(start, replica.Update{Era: 2, Full: true, Version: 5})
		must.Eq(t, int64(7), rp.Position().Revision)
		assertKeys(t, rp.ChangesSince(replica.Position{}).Rows, "n")
	})
	t.Run("changes of a later era, and tables of an earlier one, are ignored", func(t *testing.T) {
		rp := before()
		must.SliceEmpty(t, rp.Apply(start, replica.Update{Era: 2, Version: 20, Rows: []replica.Row{row("c", 20)}}))
		rp.Apply(start, restored)
		must.SliceEmpty(t, rp.Apply(start, replica.Update{Era: 1, Full: true, Version: 30, Rows: []replica.Row{row("c", 30)}}))
	})
	t.Run("rows of an instance that knows no era yet are older than those of an era", func(t *testing.T) {
		ahead, behind := replica.New(), replica.New()
		for _, rp := range []*replica.Replica{ahead, behind} {
			rp.Apply(start, replica.Update{Era: replica.EraUnknown, Full: true, Version: 9, Rows: []replica.Row{row("a", 9)}})
		}
		ahead.Apply(start, replica.Update{Era: 1, Full: true, Version: 5, Rows: []replica.Row{row("b", 5)}})
		must.SliceEmpty(t, ahead.Apply(start, behind.ChangesSince(replica.Position{})))
		must.Eq(t, replica.Position{Era: 1, Version: 5}, ahead.Position())
	})
	t.Run("an answer without an era counts as one of the era that is known", func(t *testing.T) {
		rp := before()
		must.SliceLen(t, 1, rp.Apply(start, replica.Update{Era: replica.EraUnknown, Version: 10, Rows: []replica.Row{row("c", 10)}}))
		must.Eq(t, int64(1), rp.Position().Era)
	})
	t.Run("a replica of an earlier era gets the full table", func(t *testing.T) {
		ahead, behind := before(), before()
		ahead.Apply(start, restored)
		must.True(t, ahead.ChangesSince(behind.Position()).Full)
		behind.Apply(start, ahead.ChangesSince(behind.Position()))
		must.Eq(t, ahead.Position(), behind.Position())
	})
	t.Run("a replica that has read the copy itself gets the higher revision", func(t *testing.T) {
		ahead, fresh := before(), replica.New()
		ahead.Apply(start, restored)
		fresh.Apply(start, restored)
		changes := ahead.ChangesSince(fresh.Position())
		must.False(t, changes.Full)
		assertKeys(t, fresh.Apply(start, changes), "n")
		must.Eq(t, int64(7), fresh.Position().Revision)
	})
}
