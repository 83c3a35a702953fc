package membership

import "chutechute/internal/monotime"

// event is something that happens at a time; of two at one time the one that was set first comes first.
type event struct {
	at       monotime.Micros
	sequence uint64
	run      func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.sequence < o.sequence }

// eventQueue is a heap of events with four children a node: a whole fleet sets tens of thousands of events a second, and a flat heap
// of values costs about half of what container/heap does.
type eventQueue []event

const childrenPerNode = 4

func (q *eventQueue) push(e event) {
	list := append(*q, e)
	place := len(list) - 1
	for place > 0 {
		parent := (place - 1) / childrenPerNode
		if !e.before(&list[parent]) {
			break
		}
		list[place] = list[parent]
		place = parent
	}
	list[place] = e
	*q = list
}

// pop takes the earliest event of a queue that is not empty.
func (q *eventQueue) pop() event {
	list := *q
	first := list[0]
	last := len(list) - 1
	moved := list[last]
	list[last] = event{}
	list = list[:last]
	if last > 0 {
		list.siftDown(moved)
	}
	*q = list
	return first
}

// siftDown puts an event at the root down to its place.
func (q eventQueue) siftDown(e event) {
	place := 0
	for {
		least := place*childrenPerNode + 1
		if least >= len(q) {
			break
		}
		for child := least + 1; child < min(least+childrenPerNode, len(q)); child++ {
			if q[child].before(&q[least]) {
				least = child
			}
		}
		if !q[least].before(&e) {
			break
		}
		q[place] = q[least]
		place = least
	}
	q[place] = e
}
