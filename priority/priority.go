package priority

import "container/heap"

// Queue is a priority queue; it is not safe for concurrent use.
type Queue[T any] struct {
	items items[T]
}

// items implements heap.Interface.
type items[T any] struct {
	list     []T
	before   func(left, right T) bool
	setIndex func(item T, index int)
}

// NotQueued is the index of an item that is not in a queue.
const NotQueued = -1

// New returns an empty queue. before reports whether the item left is to be popped before right. setIndex is called
// with an item and its index whenever the index changes, and with NotQueued when the item is removed.
func New[T any](before func(left, right T) bool, setIndex func(item T, index int)) *Queue[T] {
	return &Queue[T]{items: items[T]{before: before, setIndex: setIndex}}
}

// Len returns the number of items.
func (qu *Queue[T]) Len() int {
	return len(qu.items.list)
}

// First returns the item that Pop would return; the queue must not be empty.
func (qu *Queue[T]) First() T {
	return qu.items.list[0]
}

// Push adds an item.
func (qu *Queue[T]) Push(item T) {
	heap.Push(&qu.items, item)
}

// Pop removes and returns the first item; the queue must not be empty.
func (qu *Queue[T]) Pop() T {
	item, _ := heap.Pop(&qu.items).(T)
	return item
}

// Remove removes and returns the item at an index.
func (qu *Queue[T]) Remove(index int) T {
	item, _ := heap.Remove(&qu.items, index).(T)
	return item
}

// Fix restores the order of the queue after the item at an index has changed.
func (qu *Queue[T]) Fix(index int) {
	heap.Fix(&qu.items, index)
}

// All returns the items: the first one in order, and then the others in no particular order. The caller must not
// modify the slice.
func (qu *Queue[T]) All() []T {
	return qu.items.list
}

// Len implements heap.Interface.
func (it *items[T]) Len() int { return len(it.list) }

// Less implements heap.Interface.
func (it *items[T]) Less(left, right int) bool { return it.before(it.list[left], it.list[right]) }

// Swap implements heap.Interface.
func (it *items[T]) Swap(left, right int) {
	it.list[left], it.list[right] = it.list[right], it.list[left]
	it.setIndex(it.list[left], left)
	it.setIndex(it.list[right], right)
}

// Push implements heap.Interface.
func (it *items[T]) Push(value any) {
	item, _ := value.(T)
	it.list = append(it.list, item)
	it.setIndex(item, len(it.list)-1)
}

// Pop implements heap.Interface.
func (it *items[T]) Pop() any {
	last := len(it.list) - 1
	item := it.list[last]
	var none T
	it.list[last] = none
	it.list = it.list[:last]
	it.setIndex(item, NotQueued)
	return item
}
