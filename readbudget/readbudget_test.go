package readbudget_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/readlimit"
)

const (
	// budgetSize is the size of the budgets below, and limit the longest answer, in bytes.
	budgetSize = 4 * readbudget.FreeBytes
	limit      = 3 * readbudget.FreeBytes
)

// read reads an answer of a size.
func read(t *testing.T, bu *readbudget.Budget, size int) func() {
	t.Helper()
	text := strings.Repeat("x", size)
	content, release, err := bu.All(iotest.HalfReader(strings.NewReader(text)), limit)
	must.NoError(t, err)
	must.Eq(t, text, string(content))
	return release
}

func assertError(t *testing.T, bu *readbudget.Budget, answer io.Reader, wanted error) {
	t.Helper()
	left := bu.Left()
	content, release, err := bu.All(answer, limit)
	must.ErrorIs(t, err, wanted)
	must.Nil(t, content)
	must.Eq(t, left, bu.Left())
	release()
	must.Eq(t, left, bu.Left())
}

func TestBudget(t *testing.T) {
	t.Run("a long answer takes memory until it is released", func(t *testing.T) {
		bu := readbudget.New(budgetSize)
		release := read(t, bu, limit)
		must.Eq(t, budgetSize-limit-1, bu.Left())
		release()
		must.Eq(t, budgetSize, bu.Left())
		release()
		must.Eq(t, budgetSize, bu.Left())
	})
	t.Run("short answers are read after the budget is used up", func(t *testing.T) {
		bu := readbudget.New(budgetSize)
		read(t, bu, limit)
		assertError(t, bu, strings.NewReader(strings.Repeat("x", limit)), readbudget.ErrExhausted)
		read(t, bu, readbudget.FreeBytes-1)
		read(t, bu, 0)
	})
	t.Run("an answer that is too long or breaks off takes nothing", func(t *testing.T) {
		bu := readbudget.New(budgetSize)
		assertError(t, bu, strings.NewReader(strings.Repeat("x", limit+1)), readlimit.Exceeded{Limit: limit})
		broken := errors.New("broken")
		assertError(t, bu, io.MultiReader(strings.NewReader(strings.Repeat("x", limit)), iotest.ErrReader(broken)), broken)
	})
}

func TestShare(t *testing.T) {
	const free = 100
	bu := readbudget.New(budgetSize)
	share, other := bu.NewShare(free), bu.NewShare(free)
	must.NoError(t, share.Resize(free))
	must.Eq(t, budgetSize, bu.Left())
	must.NoError(t, share.Resize(budgetSize-free))
	must.Eq(t, free, bu.Left())
	must.ErrorIs(t, other.Resize(free+1), readbudget.ErrExhausted)
	must.NoError(t, other.Resize(free))
	must.Eq(t, free, bu.Left())
	must.NoError(t, share.Resize(free+1))
	must.Eq(t, budgetSize-free-1, bu.Left())
	must.NoError(t, share.Resize(0))
	must.Eq(t, budgetSize, bu.Left())
}
