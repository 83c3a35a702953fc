package membership

import (
	"fmt"

	"chutechute/fleet/membership"
)

// observation is the entry of a member in another member's view: the generation and the state of its process. The zero
// value means that the view has no entry.
type observation uint32

const (
	notObserved     observation = 0
	stateBits                   = 2
	observationMask             = 1<<stateBits - 1
)

func newObservation(generation int, state membership.State) observation {
	return observation(generation)<<stateBits | observation(state)
}

func (o observation) generation() int { return int(o >> stateBits) }

func (o observation) state() membership.State { return membership.State(o & observationMask) }

// ended reports whether the process is observed as ended.
func (o observation) ended() bool {
	return o.state() == membership.Dead || o.state() == membership.Left
}

// String formats the observation for results.
func (o observation) String() string {
	if o == notObserved {
		return "not at all"
	}
	return fmt.Sprintf("process %d %s", o.generation(), o.state())
}

// agrees reports whether an observation matches the actual state of a member. A view may omit a member whose process
// has ended.
func agrees(subject *member, o observation) bool {
	switch {
	case subject.process != nil:
		return o != notObserved && o.generation() == subject.generation && o.state() == membership.Alive
	case o == notObserved:
		return true
	}
	return o.generation() == subject.generation && o.ended()
}
