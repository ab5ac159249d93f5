package memorybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

const (
	block   = 64 << 10
	longest = 16 * block
	// capacity is the memory for long bodies, shortCapacity that for short ones.
	capacity      = 4 * longest
	shortCapacity = 4 * block
)

// bodies is a budget with a clock of its own and the last decision on each body.
type bodies struct {
	t         *testing.T
	budget    *memorybudget.Budget
	now       time.Time
	decisions map[*memorybudget.Body]memorybudget.Action
}

func newBodies(t *testing.T) *bodies {
	t.Helper()
	bu := memorybudget.New(memorybudget.Limits{BodyBytes: capacity + shortCapacity, ShortBytes: shortCapacity, HeadBytes: mebibyte, Connections: 4})
	bu.Configure(memorybudget.CallerLimits{BodyBytes: longest})
	return &bodies{t: t, budget: bu, now: time.Unix(1000, 0), decisions: map[*memorybudget.Body]memorybudget.Action{}}
}

func (bs *bodies) record(actions []memorybudget.Action) {
	for _, each := range actions {
		switch action := each.(type) {
		case memorybudget.GrantBody:
			bs.decisions[action.Body] = action
		case memorybudget.RefuseBody:
			bs.decisions[action.Body] = action
		case memorybudget.YieldBody:
			bs.decisions[action.Body] = action
		}
	}
}

func (bs *bodies) begin(organisation string, length int64) *memorybudget.Body {
	bd := &memorybudget.Body{}
	bs.budget.Begin(bs.now, bd, memorybudget.BodySpec{Organisation: organisation, Length: length, Longest: longest, Deadline: bs.now.Add(time.Minute)})
	return bd
}

// grow asks for memory and reports whether it is granted at once.
func (bs *bodies) grow(bd *memorybudget.Body, size int64) bool {
	granted, actions := bs.budget.Grow(bs.now, bd, size)
	bs.record(actions)
	return granted
}

// fill begins a body that gets all its memory and receives all but its last bytes.
func (bs *bodies) fill(organisation string, length int64) *memorybudget.Body {
	bs.t.Helper()
	bd := bs.begin(organisation, length)
	for taken := int64(0); taken < length; taken += block {
		must.True(bs.t, bs.grow(bd, min(block, length-taken)))
	}
	bs.budget.Receive(bs.now, bd, int(length)-1)
	return bd
}

// advance lets time pass.
func (bs *bodies) advance(by time.Duration) {
	bs.now = bs.now.Add(by)
	bs.record(bs.budget.Tick(bs.now))
}

func (bs *bodies) release(list ...*memorybudget.Body) {
	for _, bd := range list {
		bs.record(bs.budget.Release(bs.now, bd))
	}
}

func (bs *bodies) complete(bd *memorybudget.Body) bool {
	mayRun, actions := bs.budget.Complete(bs.now, bd)
	bs.record(actions)
	return mayRun
}

func (bs *bodies) assertDecision(want memorybudget.Action, bd *memorybudget.Body) {
	bs.t.Helper()
	must.Eq(bs.t, want, bs.decisions[bd])
}

// TestShortBodyWaitsForLongOnes guards against a short body that waits, or is refused, while only long ones have used up their memory.
func TestShortBodyWaitsForLongOnes(t *testing.T) {
	bs := newBodies(t)
	for range capacity / longest {
		bs.fill("a", longest)
	}
	waits := bs.begin("b", longest)
	must.False(t, bs.grow(waits, block))
	for range shortCapacity / block {
		bs.fill("a", block)
	}
	must.False(t, bs.grow(bs.begin("b", block), block))
}

// TestStalledBodyYields guards against bodies that stop before their end and keep their memory while others wait, and against those that lose it
// although nobody waits.
func TestStalledBodyYields(t *testing.T) {
	bs := newBodies(t)
	first := bs.fill("a", longest)
	bs.advance(100 * time.Millisecond)
	others := []*memorybudget.Body{bs.fill("b", longest), bs.fill("c", longest), bs.fill("d", longest)}
	bs.advance(time.Hour)
	must.MapEmpty(t, bs.decisions)
	waits := bs.begin("e", longest)
	must.False(t, bs.grow(waits, block))
	bs.assertDecision(memorybudget.YieldBody{Body: first, Cause: memorybudget.Stalled}, first)
	must.MapLen(t, 1, bs.decisions, must.Sprint("one body is enough"))
	must.False(t, bs.complete(first), must.Sprint("the request of a body that has to yield must not run"))
	bs.release(first)
	bs.assertDecision(memorybudget.GrantBody{Body: waits}, waits)
	must.True(t, bs.complete(others[0]))
}

// TestSingleBytesKeepNoMemory guards against a caller that keeps its memory with a byte now and then.
func TestSingleBytesKeepNoMemory(t *testing.T) {
	bs := newBodies(t)
	drips := bs.fill("a", longest)
	waits := []*memorybudget.Body{bs.fill("b", longest), bs.fill("c", longest), bs.fill("d", longest)}
	must.True(t, bs.complete(waits[0]) && bs.complete(waits[1]) && bs.complete(waits[2]))
	must.False(t, bs.grow(bs.begin("e", longest), block))
	for range 11 {
		bs.advance(100 * time.Millisecond)
		bs.budget.Receive(bs.now, drips, 1)
	}
	bs.assertDecision(memorybudget.YieldBody{Body: drips, Cause: memorybudget.Stalled}, drips)
}

// TestProgressKeepsMemory guards against a body that arrives slowly but steadily and loses its memory.
func TestProgressKeepsMemory(t *testing.T) {
	bs := newBodies(t)
	slow := bs.begin("a", longest)
	must.True(t, bs.grow(slow, block))
	for range 3 {
		must.True(t, bs.complete(bs.fill("b", longest)))
	}
	must.False(t, bs.grow(bs.begin("c", longest), longest))
	for range 15 {
		bs.advance(100 * time.Millisecond)
		bs.budget.Receive(bs.now, slow, memorybudget.FirstBytes)
	}
	must.Nil(t, bs.decisions[slow])
}

// TestWaitEnds guards against a body that waits without end, and against one that is refused although it could have been served.
func TestWaitEnds(t *testing.T) {
	bs := newBodies(t)
	whole := []*memorybudget.Body{}
	for _, name := range []string{"a", "b", "c", "d"} {
		whole = append(whole, bs.fill(name, longest))
		must.True(t, bs.complete(whole[len(whole)-1]))
	}
	first, second := bs.begin("e", longest), bs.begin("f", longest)
	must.False(t, bs.grow(first, block))
	bs.advance(500 * time.Millisecond)
	must.False(t, bs.grow(second, block))
	bs.advance(1400 * time.Millisecond)
	must.MapEmpty(t, bs.decisions, must.Sprint("complete bodies must not yield"))
	bs.advance(100 * time.Millisecond)
	refused, is := bs.decisions[first].(memorybudget.RefuseBody)
	must.True(t, is)
	must.Eq(t, memorybudget.NoMemory, refused.Cause)
	must.Positive(t, refused.RetryAfter)
	must.Nil(t, bs.decisions[second])
	bs.release(whole[0])
	bs.assertDecision(memorybudget.GrantBody{Body: second}, second)
	must.False(t, bs.complete(first))
}

// TestDeadlineEndsWait guards against a body that waits beyond its request's deadline.
func TestDeadlineEndsWait(t *testing.T) {
	bs := newBodies(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		must.True(t, bs.complete(bs.fill(name, longest)))
	}
	bd := &memorybudget.Body{}
	bs.budget.Begin(bs.now, bd, memorybudget.BodySpec{Length: longest, Deadline: bs.now.Add(300 * time.Millisecond)})
	must.False(t, bs.grow(bd, block))
	bs.advance(300 * time.Millisecond)
	_, is := bs.decisions[bd].(memorybudget.RefuseBody)
	must.True(t, is)
}

// TestGrowingBodiesBlockEachOther guards against bodies that each hold a part of the memory and wait for each other.
func TestGrowingBodiesBlockEachOther(t *testing.T) {
	bs := newBodies(t)
	growing, taken := []*memorybudget.Body{}, map[*memorybudget.Body]int64{}
	for range 8 {
		growing = append(growing, bs.begin("a", longest))
	}
	ended := 0
	for range 8 * longest / block {
		for _, bd := range growing {
			if taken[bd] < 0 {
				continue
			}
			_, granted := bs.decisions[bd].(memorybudget.GrantBody)
			delete(bs.decisions, bd)
			if granted || bs.grow(bd, block) {
				taken[bd] += block
			}
			if taken[bd] == longest {
				must.True(t, bs.complete(bd))
				bs.release(bd)
				taken[bd] = -1
				ended++
			}
		}
	}
	must.Eq(t, 8, ended)
	must.Eq(t, memorybudget.Usage{}, bs.budget.Usage())
}

// TestOneOrganisationHoldsAllMemory guards against an organisation whose bodies take all memory while others wait, and against one that can't
// use memory that nobody else wants.
func TestOneOrganisationHoldsAllMemory(t *testing.T) {
	bs := newBodies(t)
	greedy := []*memorybudget.Body{}
	for range 3 {
		greedy = append(greedy, bs.fill("a", longest))
		must.True(t, bs.complete(greedy[len(greedy)-1]))
	}
	last := bs.begin("a", longest)
	must.True(t, bs.grow(last, longest))
	must.True(t, bs.complete(last))
	waits := bs.begin("a", longest)
	must.False(t, bs.grow(waits, block))
	other := bs.begin("b", longest+block)
	must.False(t, bs.grow(other, longest+block))
	bs.release(greedy[0])
	must.Nil(t, bs.decisions[waits], must.Sprint("the organisation holds more than half while another one waits"))
	bs.release(greedy[1])
	bs.assertDecision(memorybudget.GrantBody{Body: other}, other)
	bs.assertDecision(memorybudget.GrantBody{Body: waits}, waits)
}

// TestOverShareGivesWay guards against an organisation whose bodies wait with all of the memory that another organisation waits for.
func TestOverShareGivesWay(t *testing.T) {
	bs := newBodies(t)
	partial := []*memorybudget.Body{}
	for range 4 {
		bd := bs.begin("a", -1)
		must.True(t, bs.grow(bd, longest))
		partial = append(partial, bd)
	}
	for _, bd := range partial {
		must.False(t, bs.grow(bd, block))
	}
	other := bs.begin("b", longest)
	must.False(t, bs.grow(other, block))
	refused, is := bs.decisions[partial[3]].(memorybudget.RefuseBody)
	must.True(t, is)
	must.Eq(t, memorybudget.OverShare, refused.Cause)
	bs.release(partial[3])
	bs.assertDecision(memorybudget.GrantBody{Body: other}, other)
}

// TestTwoLongestBodiesFit guards against a memory that a configuration with longer bodies exceeds, so that none of them is ever served.
func TestTwoLongestBodiesFit(t *testing.T) {
	bs := newBodies(t)
	bs.budget.Configure(memorybudget.CallerLimits{BodyBytes: capacity})
	bs.fill("a", capacity)
	bs.fill("b", capacity)
}

// TestUnknownLength guards against a body of unknown length that takes the memory of short ones beyond its first bytes.
func TestUnknownLength(t *testing.T) {
	bs := newBodies(t)
	for range capacity / longest {
		must.True(t, bs.complete(bs.fill("a", longest)))
	}
	bd := bs.begin("a", -1)
	must.True(t, bs.grow(bd, memorybudget.FirstBytes))
	must.False(t, bs.grow(bd, memorybudget.FirstBytes))
	bs.release(bd)
	for range shortCapacity / block {
		bs.fill("a", block)
	}
}
