// Package history records what the clients and engines of a fleet observed, in true time, and checks the fleet's
// guarantees against it. A history is meant as in Jepsen: a list of events in the order of their times.
//
// The checks read nothing else, no counter, log or state of a front end. They are the same for a fleet of real
// processes and for one in virtual time. Times are in microseconds.
package history

import (
	"fmt"
	"slices"
	"sync"
)

// The kinds of events.
const (
	Asked    = "asked"    // a client has sent a whole request
	Answered = "answered" // a client's request ended, with one of the outcomes
	Began    = "began"    // an engine started an execution
	Repeat   = "repeat"   // an engine dropped a start, as it executed its idempotency key before
	Ended    = "ended"    // an execution finished by itself
	Deleted  = "deleted"  // an execution ended because it was canceled
	Unasked  = "unasked"  // an execution ended because no front end polled for it
)

// The outcomes of a client's request.
const (
	Answer = "answer" // it succeeded, with the rows in Event.Body
	Shed   = "shed"   // it was rejected: nothing of it has run or will run
	Fault  = "fault"  // it failed: it may have run
	Lost   = "lost"   // its connection was lost or its client timed out: the outcome is unknown
)

// Event is one thing that a client or an engine observed. Fields that do not apply are empty.
type Event struct {
	At     int64  // microseconds of true time
	What   string // one of the kinds
	Front  string // the front end to which the client sent the request
	Engine string // the engine that observed the event
	Call   string // the ID of the client's request
	Once   string // the idempotency key
	Key    string // the order key: requests with the same one run one at a time, in order
	Detail string // one of the outcomes, where a client's request ended
	Body   string // the statement of a request, or the rows of its response
}

// String formats the event on one line, with the time in seconds and a body that is cut short.
func (e Event) String() string {
	return fmt.Sprintf("%10.6f %-8s front=%-3s engine=%s call=%s once=%s key=%s %s %.60q", float64(e.At)/1e6, e.What,
		e.Front, e.Engine, e.Call, e.Once, e.Key, e.Detail, e.Body)
}

// Record collects the events of a fleet in the order in which they are added. Goroutines may share it.
type Record struct {
	// Now returns the true time in microseconds. It is set before the first event is added.
	Now    func() int64
	mu     sync.Mutex
	events []Event
}

// Add appends an event and sets its time to the current one.
func (r *Record) Add(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.Now()
	r.events = append(r.events, event)
}

// Events returns a copy of the events that were added so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
