// Package fairqueue divides the time of one server among flows, such as the connections of clients, by self-clocked
// fair queueing (Golestani, 1994). A flow that sends much delays itself and not the others. Entries of one flow, and
// entries with the same order key, leave in the order in which they were added.
//
// The package reads no clock. The cost of an entry is an estimate in any unit that all entries share.
package fairqueue

import "container/heap"

// Flow is the state of one sender. Its zero value is a flow without entries.
type Flow struct {
	finish uint64 // finish tag of the latest entry
}

// Entry is an entry of a queue.
type Entry[T any] struct {
	Value T

	finish   uint64 // virtual time at which the flow's share of the server has sufficed for this entry
	sequence uint64 // number of the entry, in the order of their addition
	orderKey string
	index    int // in the heap; removedIndex once the entry has left the queue
}

// removedIndex is the index of an entry that is no longer queued.
const removedIndex = -1

// keyOrder is the state of an order key that queued entries have.
type keyOrder struct {
	finish uint64 // finish tag of the latest entry with the key
	queued int    // number of queued entries with the key
}

// Queue holds the entries of all flows. Its zero value is an empty queue.
type Queue[T any] struct {
	entries      entryHeap[T]
	virtualTime  uint64 // finish tag of the entry that left the queue last
	lastSequence uint64
	keyOrders    map[string]*keyOrder
}

// Len returns the number of queued entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add adds an entry to a flow. Entries with the same order key leave in the order of their addition, whatever their
// flows; an empty key sets no order.
func (q *Queue[T]) Add(flow *Flow, cost int, orderKey string, value T) *Entry[T] {
	q.lastSequence++
	flow.finish = max(flow.finish, q.virtualTime) + uint64(cost)
	if orderKey != "" {
		flow.finish = q.addToKeyOrder(orderKey, flow.finish)
	}
	entry := &Entry[T]{Value: value, finish: flow.finish, sequence: q.lastSequence, orderKey: orderKey}
	heap.Push(&q.entries, entry)
	return entry
}

// addToKeyOrder adds an entry with a finish tag to an order key, and returns the tag with which it follows the earlier
// entries with the key.
func (q *Queue[T]) addToKeyOrder(orderKey string, finish uint64) uint64 {
	if q.keyOrders == nil {
		q.keyOrders = map[string]*keyOrder{}
	}
	order := q.keyOrders[orderKey]
	if order == nil {
		order = &keyOrder{}
		q.keyOrders[orderKey] = order
	}
	order.queued++
	order.finish = max(order.finish, finish)
	return order.finish
}

// Next removes and returns the entry that is to be served next. It returns false if the queue is empty.
func (q *Queue[T]) Next() (value T, ok bool) {
	if len(q.entries) == 0 {
		return value, false
	}
	entry := q.entries[0]
	q.Remove(entry)
	q.virtualTime = entry.finish
	return entry.Value, true
}

// Remove removes an entry that is not to be served. It has no effect on an entry that has left the queue.
func (q *Queue[T]) Remove(entry *Entry[T]) {
	if entry.index == removedIndex {
		return
	}
	heap.Remove(&q.entries, entry.index)
	entry.index = removedIndex
	if order := q.keyOrders[entry.orderKey]; order != nil {
		order.queued--
		if order.queued == 0 {
			delete(q.keyOrders, entry.orderKey)
		}
	}
}

// entryHeap orders entries by their finish tags and, among equal ones, by the order of their addition. It implements
// heap.Interface.
type entryHeap[T any] []*Entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an entry at the end of the slice.
func (h *entryHeap[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.index = len(*h)
	*h = append(*h, entry)
}

// Pop removes the last entry of the slice.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return entry
}
