package priority_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericdoor/turmericdoor/priority"
)

type item struct {
	value, seat int
}

// TestOrder pushes, removes and pops at random beside a sorted list.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu := priority.New(
			func(left, right *item) bool { return left.value < right.value },
			func(one *item, seat int) { one.seat = seat },
		)
		model := []*item{}
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			switch draw := rapid.IntRange(0, 2).Draw(rt, "step"); {
			case draw == 0 || len(model) == 0:
				one := &item{value: rapid.Int().Draw(rt, "value")}
				qu.Push(one)
				model = append(model, one)
			case draw == 1:
				at := rapid.IntRange(0, len(model)-1).Draw(rt, "at")
				must.Eq(rt, model[at].value, qu.Remove(model[at].seat).value)
				must.Eq(rt, priority.NotQueued, model[at].seat)
				model = slices.Delete(model, at, at+1)
			case draw == 2:
				slices.SortFunc(model, func(left, right *item) int {
					if left.value < right.value {
						return -1
					}
					return 1
				})
				must.Eq(rt, model[0].value, qu.First().value)
				popped := qu.Pop()
				must.Eq(rt, model[0].value, popped.value)
				model = slices.DeleteFunc(model, func(one *item) bool { return one == popped })
			}
			must.Eq(rt, len(model), qu.Len())
		}
	})
}
