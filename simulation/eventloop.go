package simulation

import (
	"container/heap"
	"errors"
	"fmt"

	"chutechute/internal/monotime"
)

// maxSteps is the most events that a simulation may run. One that needs more is a storm of messages.
const maxSteps = 5_000_000

var errTooManySteps = errors.New("too many events: a storm of messages")

// event is something that happens at a point of virtual time.
type event struct {
	at       monotime.Micros
	sequence uint64 // orders events at the same time
	run      func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return x
}

// eventLoop runs events in virtual time.
type eventLoop struct {
	// Steps is the number of events that ran so far.
	Steps        int
	now          monotime.Micros // the true time
	lastSequence uint64
	queue        eventQueue
	failure      error // the first one; it ends the simulation
}

// after schedules a function to run after a delay. A negative delay counts as none.
func (l *eventLoop) after(delay monotime.Micros, run func()) {
	l.lastSequence++
	heap.Push(&l.queue, event{at: l.now + max(0, delay), sequence: l.lastSequence, run: run})
}

// Run runs the events of a duration of true time. It returns the error of a part that found its state inconsistent, or
// that there were too many events.
func (l *eventLoop) Run(duration monotime.Micros) error {
	until := l.now + duration
	for len(l.queue) > 0 && l.queue[0].at <= until && l.failure == nil {
		next := heap.Pop(&l.queue).(event)
		l.now = next.at
		l.Steps++
		if l.Steps > maxSteps {
			l.fail(errTooManySteps)
		}
		next.run()
	}
	l.now = until
	return l.failure
}

// fail ends the simulation, unless the error is nil.
func (l *eventLoop) fail(err error) {
	if l.failure == nil && err != nil {
		l.failure = fmt.Errorf("simulation: at %.6f s: %w", seconds(l.now), err)
	}
}

// seconds returns a time in seconds.
func seconds(t monotime.Micros) float64 { return float64(t) / float64(second) }
