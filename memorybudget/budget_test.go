package memorybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

// TestNextTick guards against waits for memory and timeouts of connections that are enforced late, and against a process that spends its
// processor time on ticks that have nothing to decide.
func TestNextTick(t *testing.T) {
	configured := memorybudget.CallerLimits{BodyBytes: longest, HeadTimeout: 4 * time.Second, IdleTimeout: 16 * time.Second}
	assertNext := func(t *testing.T, bs *bodies, expected time.Duration) {
		t.Helper()
		must.Eq(t, expected, bs.budget.NextTick(bs.now))
	}
	t.Run("nothing is held", func(t *testing.T) {
		assertNext(t, newBodies(t), memorybudget.MaxTick)
	})
	t.Run("a body stalls while none waits", func(t *testing.T) {
		bs := newBodies(t)
		bs.fill("a", longest)
		bs.advance(5 * time.Second)
		assertNext(t, bs, memorybudget.MaxTick)
	})
	t.Run("a body waits until the stalled ones are released", func(t *testing.T) {
		bs := newBodies(t)
		held := []*memorybudget.Body{}
		for range capacity / longest {
			held = append(held, bs.fill("a", longest))
		}
		must.False(t, bs.grow(bs.begin("b", longest), block))
		assertNext(t, bs, memorybudget.MinTick)
		bs.advance(1500 * time.Millisecond)
		assertNext(t, bs, memorybudget.MinTick)
		bs.release(held...)
		assertNext(t, bs, memorybudget.MaxTick)
	})
	t.Run("connections without timeouts", func(t *testing.T) {
		bs := newBodies(t)
		bs.accept(1)
		bs.now = bs.now.Add(time.Hour)
		assertNext(t, bs, memorybudget.MaxTick)
	})
	t.Run("the oldest head and the oldest idle connection", func(t *testing.T) {
		bs := newBodies(t)
		bs.budget.Configure(configured)
		accepted := bs.accept(3)
		bs.budget.ReadHead(bs.now, accepted[2], 1)
		assertNext(t, bs, memorybudget.MaxTick)
		bs.now = bs.now.Add(4600 * time.Millisecond)
		assertNext(t, bs, 400*time.Millisecond)
		bs.now = bs.now.Add(350 * time.Millisecond)
		assertNext(t, bs, memorybudget.MinTick)
		bs.advance(50 * time.Millisecond)
		must.Eq(t, 2, bs.budget.Usage().Connections)
		assertNext(t, bs, memorybudget.MaxTick)
		bs.advance(15*time.Second - 500*time.Millisecond)
		assertNext(t, bs, 498*time.Millisecond)
	})
	t.Run("an overdue connection that no tick has closed yet", func(t *testing.T) {
		bs := newBodies(t)
		bs.budget.Configure(configured)
		bs.accept(1)
		bs.now = bs.now.Add(time.Hour)
		assertNext(t, bs, memorybudget.MinTick)
	})
}
