package discovery

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"chutechute/internal/monotime"
	"chutechute/internal/ring"
	"chutechute/scheduler"
)

// ErrMissingEvent says that an event came whose predecessor has not: the connection has to end, and the next begins from the last one known.
var ErrMissingEvent = errors.New("journal: an event is missing")

// Follower takes events in the order of their numbers, each once, over one connection after another. An event that can't be taken
// as it stands ends its connection, since the next may bring it whole. One that comes again just so is how the journal service
// has it: it is taken as far as it can be read, or the list would stand still from there on.
type Follower struct {
	Names        Names
	Last         uint64 // the number of the last event taken
	Malformed    int    // events that were taken though they were not whole
	retriedEvent uint64 // the event for which a connection was ended last; 0: none
}

// Next takes the next whole frame from what has come; ok is false until there is one, and news is false where it brings nothing new.
func (f *Follower) Next(in *ring.Buffer) (e Event, news, ok bool, err error) {
	e, news, ok, err = f.Names.nextFrame(in)
	if !ok || !news {
		return e, false, ok, err
	}
	if e.Number <= f.Last { // it has been taken before
		return e, false, true, nil
	}
	if err == nil && e.Number > f.Last+1 && e.Kind == scheduler.UpdateChanges {
		err = fmt.Errorf("%w: %d after %d", ErrMissingEvent, e.Number, f.Last)
	}
	if err != nil {
		if f.retriedEvent != e.Number {
			f.retriedEvent = e.Number
			return e, false, false, err
		}
		f.Malformed++
	}
	f.Last = e.Number
	return e, true, true, nil
}

// Spans of Redial, in microseconds. What the journal has to tell counts as told after 7 s, heard or not, which leaves time for a
// silence to be noticed, for a dial that comes to nothing and for two more.
const (
	minReadTimeout    = 2250 * monotime.Second / 1000 // an empty frame comes each second
	readTimeoutJitter = 500 * monotime.Second / 1000
	initialDelay      = 200 * monotime.Second / 1000
	maxDelay          = 800 * monotime.Second / 1000
)

// Backoff says when to give a connection up for silent, and when to try for the next. All front ends lose theirs in one moment, when
// the journal service goes: each goes by times of its own, further apart the longer it lasts.
type Backoff struct {
	rng      *rand.Rand
	attempts int
}

// NewBackoff begins with a seed of the process's own.
func NewBackoff(seed uint64) *Backoff { return &Backoff{rng: rand.New(rand.NewPCG(seed, 2))} }

// Reset says that a whole frame has come.
func (r *Backoff) Reset() { r.attempts = 0 }

// ReadTimeout is how long the next connection may be silent.
func (r *Backoff) ReadTimeout() monotime.Micros {
	return minReadTimeout + r.rng.Int64N(readTimeoutJitter)
}

// NextDelay is how long to wait before the next try.
func (r *Backoff) NextDelay() monotime.Micros {
	most := min(maxDelay, initialDelay<<min(r.attempts, 8))
	r.attempts++
	return most/4 + r.rng.Int64N(most*3/4)
}
