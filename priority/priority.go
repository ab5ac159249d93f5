package priority

import "container/heap"

// Queue holds items in order; it is not safe for concurrent use.
type Queue[T any] struct {
	items items[T]
}

// items implements the standard library's heap.
type items[T any] struct {
	list   []T
	before func(left, right T) bool
	seated func(item T, seat int)
}

// NotQueued is the seat that an item is told when it leaves the queue.
const NotQueued = -1

// New returns an empty queue. before says which of two items comes first; seated is told an item's seat
// whenever that changes, and Gone when it leaves.
func New[T any](before func(left, right T) bool, seated func(item T, seat int)) *Queue[T] {
	return &Queue[T]{items: items[T]{before: before, seated: seated}}
}

// Len returns the number of items.
func (qu *Queue[T]) Len() int {
	return len(qu.items.list)
}

// First returns the item that comes first; the queue must not be empty.
func (qu *Queue[T]) First() T {
	return qu.items.list[0]
}

// Push adds an item.
func (qu *Queue[T]) Push(item T) {
	heap.Push(&qu.items, item)
}

// Pop takes out the item that comes first; the queue must not be empty.
func (qu *Queue[T]) Pop() T {
	item, _ := heap.Pop(&qu.items).(T)
	return item
}

// Remove takes out the item at a seat.
func (qu *Queue[T]) Remove(seat int) T {
	item, _ := heap.Remove(&qu.items, seat).(T)
	return item
}

// Fix puts the item at a seat in order after it has changed.
func (qu *Queue[T]) Fix(seat int) {
	heap.Fix(&qu.items, seat)
}

// All returns the items, the first one first and the others in no order; the slice belongs to the queue.
func (qu *Queue[T]) All() []T {
	return qu.items.list
}

// Len is part of heap.Interface.
func (it *items[T]) Len() int { return len(it.list) }

// Less is part of heap.Interface.
func (it *items[T]) Less(left, right int) bool { return it.before(it.list[left], it.list[right]) }

// Swap is part of heap.Interface.
func (it *items[T]) Swap(left, right int) {
	it.list[left], it.list[right] = it.list[right], it.list[left]
	it.seated(it.list[left], left)
	it.seated(it.list[right], right)
}

// Push is part of heap.Interface.
func (it *items[T]) Push(value any) {
	item, _ := value.(T)
	it.list = append(it.list, item)
	it.seated(item, len(it.list)-1)
}

// Pop is part of heap.Interface.
func (it *items[T]) Pop() any {
	last := len(it.list) - 1
	item := it.list[last]
	var none T
	it.list[last] = none
	it.list = it.list[:last]
	it.seated(item, NotQueued)
	return item
}
