// Package history records what the clients and engines of a fleet observe, and checks the fleet's guarantees against
// it. A history is a list of events ordered by time, as in Jepsen.
//
// The checks read only the history: no counter, log or state of a front end. They are the same for a fleet of real
// processes and for a simulated fleet in virtual time. Times are in microseconds of true time: one clock for all
// clients and engines, independent of the front ends' clocks.
//
// A call is one sending of a request by a client. A request that is idempotent by key may be sent in several calls,
// which have the same idempotency key and different call IDs.
package history

import (
	"fmt"
	"slices"
	"sync"
)

// Kinds of events.
const (
	RequestSent        = "asked"    // a client has sent a request completely
	RequestEnded       = "answered" // a client's call ended with one of the outcomes
	ExecutionStarted   = "began"    // an engine started an execution
	DuplicateDropped   = "repeat"   // an engine dropped a start, because its idempotency key was used recently
	ExecutionFinished  = "ended"    // an execution ended by itself: neither canceled nor abandoned
	ExecutionCanceled  = "deleted"  // an execution ended because it was canceled
	ExecutionAbandoned = "unasked"  // an execution ended because no front end polled for it
)

// Outcomes of a client's call.
const (
	Succeeded      = "answer" // the call succeeded, with the rows in Event.Body
	Rejected       = "shed"   // the call was rejected: nothing of it has run or will run
	Failed         = "fault"  // the call failed: it may have run
	ConnectionLost = "lost"   // the connection was lost or the client timed out: unknown outcome
)

// Event is an event that a client or an engine observed. Fields that do not apply are empty.
type Event struct {
	At             int64  // microseconds of true time
	Kind           string // one of the kinds
	FrontEnd       string // the front end to which the client sent the request
	Engine         string // the engine that observed the event
	CallID         string // the ID of the client's call
	IdempotencyKey string // the idempotency key
	OrderKey       string // the order key: requests with the same one run one at a time, in order
	Outcome        string // one of the outcomes, if the kind is RequestEnded
	Body           string // the statement of a request, or the rows of its response
}

// String formats the event on one line, with the time in seconds and a truncated body.
func (e Event) String() string {
	return fmt.Sprintf("%10.6f %-8s front=%-3s engine=%s call=%s once=%s key=%s %s %.60q", float64(e.At)/1e6, e.Kind,
		e.FrontEnd, e.Engine, e.CallID, e.IdempotencyKey, e.OrderKey, e.Outcome, e.Body)
}

// Recorder collects the events of a fleet in the order in which they are added. It is safe for concurrent use.
type Recorder struct {
	// Now returns the true time in microseconds. It must be set before the first event is added.
	Now    func() int64
	mu     sync.Mutex
	events []Event
}

// Add appends an event and sets its time to the current one.
func (r *Recorder) Add(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.Now()
	r.events = append(r.events, event)
}

// Events returns a copy of the events added so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
