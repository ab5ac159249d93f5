package readbudget_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/readbudget"
)

// slowly returns an answer of a size that arrives in small parts with pauses.
func slowly(size int) io.Reader {
	return &pausing{Reader: iotest.HalfReader(strings.NewReader(strings.Repeat("x", size)))}
}

type pausing struct {
	io.Reader
}

func (ps *pausing) Read(part []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return ps.Reader.Read(part)
}

// assertAllRead reads answers at the same time, each of which is used for a second; all must end within a minute.
func assertAllRead(t *testing.T, bu *readbudget.Budget, sizes ...int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	results := make(chan error, len(sizes))
	for _, size := range sizes {
		go func() {
			_, release, err := bu.All(ctx, slowly(size), limit)
			time.Sleep(time.Second)
			release()
			results <- err
		}()
	}
	for range sizes {
		must.NoError(t, <-results)
	}
	must.Eq(t, budgetSize, bu.Left())
}

// TestAnswersWaitForTheBudget guards against an answer that fails because others have used up the budget for a while, and
// against answers that each hold a part and wait for the others.
func TestAnswersWaitForTheBudget(t *testing.T) {
	cases := map[string][]int{
		"one at a time":       {limit, limit},
		"many longest ones":   {limit, limit, limit, limit, limit, limit, limit, limit},
		"many of a half":      {limit / 2, limit / 2, limit / 2, limit / 2, limit / 2},
		"long and short ones": {limit, 100, limit / 2, readbudget.FreeBytes + 1, limit, 1},
	}
	for name, sizes := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assertAllRead(t, readbudget.New(budgetSize), sizes...) })
		})
	}
	t.Run("an answer whose context ends while it waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			bu := readbudget.New(budgetSize)
			release := read(t, bu, limit)
			assertError(t, bu, slowly(limit), readbudget.ErrExhausted)
			assertError(t, bu, slowly(limit), context.DeadlineExceeded)
			release()
			assertAllRead(t, bu, limit, limit)
		})
	})
}
