package gateway

import (
	"container/heap"

	"chutechute/internal/monotime"
)

// timer calls a function at a given time, unless it is canceled before.
type timer struct {
	at       monotime.Micros
	sequence uint64 // timers with the same time fire in the order in which they were scheduled
	fire     func()
	index    int // in the heap; noIndex once the timer was removed
}

const noIndex = -1

// timerQueue holds the timers that have neither fired nor been canceled. Its zero value is empty.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64
}

// schedule adds a timer that calls fire at the time at.
func (q *timerQueue) schedule(at monotime.Micros, fire func()) *timer {
	q.lastSequence++
	t := &timer{at: at, sequence: q.lastSequence, fire: fire}
	heap.Push(&q.heap, t)
	return t
}

// cancel removes a timer, so that the memory that its function refers to can be freed: a client may choose a deadline
// far in the future. A nil timer, or one that has fired, is ignored.
func (q *timerQueue) cancel(t *timer) {
	if t != nil && t.index != noIndex {
		heap.Remove(&q.heap, t.index)
	}
}

// next returns the time at which the next timer is due; false if no timer is set.
func (q *timerQueue) next() (monotime.Micros, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// fireDue fires all timers that are due, including those that are set meanwhile.
func (q *timerQueue) fireDue(now monotime.Micros) {
	for len(q.heap) > 0 && q.heap[0].at <= now {
		heap.Pop(&q.heap).(*timer).fire()
	}
}

// timerHeap implements heap.Interface, with the earliest timer first.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	t.index = noIndex
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
