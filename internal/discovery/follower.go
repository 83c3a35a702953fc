package discovery

import (
	"errors"
	"fmt"

	"chutechute/internal/ring"
	"chutechute/scheduler"
)

// ErrMissingEvent says that an event came whose predecessor has not: the connection has to end, and the next begins
// from the last event known.
var ErrMissingEvent = errors.New("discovery: an event is missing")

// Follower takes events in the order of their numbers, each once, over one connection after another. An event that
// can't be taken as it stands ends its connection, since the next may bring it whole. One that comes again in the
// same form is how the discovery service has it: it is taken as far as it can be read, or the endpoint list would
// stand still from there on.
type Follower struct {
	Names     Names
	LastEvent uint64 // the number of the last event taken
	Malformed int    // counts the events that were taken though they were not whole

	retriedEvent uint64 // the event for which a connection was ended last; 0: none
}

// Next takes the next whole frame from what has come. ok is false until there is one, and isNew is false where the
// frame brings no event that is to be applied. An error says that the connection has to end.
func (f *Follower) Next(in *ring.Buffer) (event Event, isNew, ok bool, err error) {
	event, isEvent, ok, err := f.Names.nextFrame(in)
	if !ok || !isEvent {
		return event, false, ok, err
	}
	if event.Number <= f.LastEvent { // it has been taken before
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
