package simulation

import (
	"container/heap"
	"errors"
	"fmt"

	"chutechute/internal/monotime"
)

// maxEvents is the most events that a simulation may run. More indicate an endless exchange of messages.
const maxEvents = 5_000_000

var errTooManyEvents = errors.New("event limit exceeded: probably an endless exchange of messages")

// event is a function that runs at a point in virtual time.
type event struct {
	at       monotime.Micros
	sequence uint64 // orders events at the same time
	run      func()
}

// eventQueue is a heap of events with the next one at the root.
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
	// EventsRun is the number of events that have run so far.
	EventsRun    int
	now          monotime.Micros // the true time
	lastSequence uint64
	queue        eventQueue
	failure      error // the first error, which ends the simulation
}

// after schedules a function to run after a delay. A negative delay counts as zero.
func (l *eventLoop) after(delay monotime.Micros, run func()) {
	l.lastSequence++
	heap.Push(&l.queue, event{at: l.now + max(0, delay), sequence: l.lastSequence, run: run})
}

// Run advances true time by a duration and runs all events that are due by then. It returns the error that ended the
// simulation, if any: a component found its state inconsistent, or there were too many events.
func (l *eventLoop) Run(duration monotime.Micros) error {
	until := l.now + duration
	for len(l.queue) > 0 && l.queue[0].at <= until && l.failure == nil {
		next := heap.Pop(&l.queue).(event)
		l.now = next.at
		l.EventsRun++
		if l.EventsRun > maxEvents {
			l.fail(errTooManyEvents)
		}
		next.run()
	}
	l.now = until
	return l.failure
}

// fail ends the simulation with an error. It has no effect if the error is nil.
func (l *eventLoop) fail(err error) {
	if l.failure == nil && err != nil {
		l.failure = fmt.Errorf("simulation: at %.6f s: %w", seconds(l.now), err)
	}
}

// seconds converts a time to seconds.
func seconds(t monotime.Micros) float64 { return float64(t) / float64(second) }
