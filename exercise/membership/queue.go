package membership

import "chutechute/internal/monotime"

// event is something that happens at a time; of two at one time the one that was set first comes first.
type event struct {
	at  monotime.Micros
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a heap of events with four children a node: a whole fleet sets tens of thousands of events a second, and a flat heap
// of values costs about half of what container/heap does.
type queue []event

const children = 4

func (q *queue) push(e event) {
	list := append(*q, e)
	place := len(list) - 1
	for place > 0 {
		parent := (place - 1) / children
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
func (q *queue) pop() event {
	list := *q
	first := list[0]
	last := len(list) - 1
	moved := list[last]
	list[last] = event{}
	list = list[:last]
	if last > 0 {
		list.sink(moved)
	}
	*q = list
	return first
}

// sink puts an event at the root down to its place.
func (q queue) sink(e event) {
	place := 0
	for {
		least := place*children + 1
		if least >= len(q) {
			break
		}
		for child := least + 1; child < min(least+children, len(q)); child++ {
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
