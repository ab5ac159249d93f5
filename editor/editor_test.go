package editor_test

import (
	"context"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/editor"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// store holds rows; calls that name a key or prefix with failing in it are not answered.
type store struct {
	table.Store
	failing string
	rows    []table.Row
}

func (st *store) Read(_ context.Context, keys ...string) table.Outcome { return st.find(keys[0]) }

func (st *store) List(_ context.Context, prefix string) table.Outcome { return st.find(prefix) }

func (st *store) find(prefix string) table.Outcome {
	if strings.Contains(prefix, st.failing) {
		return table.Unavailable{Cause: "connection refused"}
	}
	found := table.Rows{}
	for _, row := range st.rows {
		if strings.HasPrefix(row.Key, prefix) {
			found.Rows = append(found.Rows, row)
		}
	}
	return found
}

func newEditor(st *store) *editor.Editor {
	return editor.New(st, timer.New(), entropy.New(1))
}

// TestUnavailableHasNoCause guards against an error of the table service that reaches operators without its cause.
func TestUnavailableHasNoCause(t *testing.T) {
	calls := map[string]func(ctx context.Context, ed *editor.Editor) error{
		"head revision": func(ctx context.Context, ed *editor.Editor) error { _, err := ed.HeadRevision(ctx); return err },
		"history":       func(ctx context.Context, ed *editor.Editor) error { _, err := ed.History(ctx); return err },
		"find an edit":  func(ctx context.Context, ed *editor.Editor) error { _, _, err := ed.FindEdit(ctx, "e"); return err },
		"fetch":         func(ctx context.Context, ed *editor.Editor) error { _, err := ed.Fetch(ctx); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			must.EqError(t, call(t.Context(), newEditor(&store{})), "table service unavailable: connection refused")
		})
	}
	t.Run("fetch, after the head was read", func(t *testing.T) {
		_, err := newEditor(&store{failing: "team"}).Fetch(t.Context())
		must.EqError(t, err, "table service unavailable: connection refused")
	})
}

func TestStoredRows(t *testing.T) {
	ed := newEditor(&store{failing: "none", rows: []table.Row{
		{Key: "document/head", Version: 1, Value: []byte(`{"Revision":7}`)},
		{Key: "document/edit/e", Version: 1, Value: []byte(`{"Revision":6}`)},
	}})
	t.Run("head revision", func(t *testing.T) {
		revision, err := ed.HeadRevision(t.Context())
		must.NoError(t, err)
		must.Eq(t, 7, revision)
	})
	t.Run("an edit that was accepted", func(t *testing.T) {
		entry, found, err := ed.FindEdit(t.Context(), "e")
		must.NoError(t, err)
		must.True(t, found)
		must.Eq(t, 6, entry.Revision)
	})
	t.Run("the text", func(t *testing.T) {
		text, err := ed.Fetch(t.Context())
		must.NoError(t, err)
		must.Eq(t, 7, text.Revision)
	})
}
