package priority_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericdoor/turmericdoor/priority"
)

type item struct {
	value, index int
}

// TestOrder compares the queue with a sorted list under random pushes, removals and pops.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu := priority.New(
			func(left, right *item) bool { return left.value < right.value },
			func(added *item, index int) { added.index = index },
		)
		model := []*item{}
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			switch draw := rapid.IntRange(0, 2).Draw(rt, "step"); {
			case draw == 0 || len(model) == 0:
				added := &item{value: rapid.Int().Draw(rt, "value")}
				qu.Push(added)
				model = append(model, added)
			case draw == 1:
				at := rapid.IntRange(0, len(model)-1).Draw(rt, "at")
				must.Eq(rt, model[at].value, qu.Remove(model[at].index).value)
				must.Eq(rt, priority.NotQueued, model[at].index)
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
				model = slices.DeleteFunc(model, func(added *item) bool { return added == popped })
			}
			must.Eq(rt, len(model), qu.Len())
		}
	})
}
