package discovery

import (
	"errors"
	"fmt"

	"chutechute/internal/ring"
	"chutechute/scheduler"
)

// ErrMissingEvent reports an event whose predecessor was not received. The connection has to be closed, and the next
// one resumes after the last event known.
var ErrMissingEvent = errors.New("discovery: an event is missing")

// Follower accepts events in the order of their numbers, each once, over one connection after another. An event that is
// malformed or out of sequence closes its connection, since the next one may deliver it intact. If the same event fails
// again, the discovery service itself has it in that form. It is then accepted as far as it can be parsed, as otherwise
// the endpoint list would never be updated again.
type Follower struct {
	Names     Names
	LastEvent uint64 // the number of the last event accepted
	Malformed int    // number of events accepted although malformed or out of sequence

	retriedEvent uint64 // the event that closed a connection last; 0: none
}

// Next removes the next frame from the input buffer. ok is false while it is incomplete. isNew is false if the frame
// has no event to apply. After an error the connection has to be closed.
func (f *Follower) Next(in *ring.Buffer) (event Event, isNew, ok bool, err error) {
	event, isEvent, ok, err := f.Names.nextFrame(in)
	if !ok || !isEvent {
		return event, false, ok, err
	}
	if event.Number <= f.LastEvent { // accepted before
		return event, false, true, nil
	}
	if err == nil && event.Number > f.LastEvent+1 && event.Kind == scheduler.UpdateChanges {
		err = fmt.Errorf("%w: %d after %d", ErrMissingEvent, event.Number, f.LastEvent)
	}
	if err != nil {
		if f.retriedEvent != event.Number {
			f.retriedEvent = event.Number
			return event, false, false, err
		}
		f.Malformed++
	}
	f.LastEvent = event.Number
	return event, true, true, nil
}
