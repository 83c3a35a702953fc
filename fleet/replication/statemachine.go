package replication

import "chutechute/internal/monotime"

// AbandonTimeout is how long after its last poll an engine may still execute a query, including the time that one poll
// is in flight.
const AbandonTimeout = 2350 * monotime.Millisecond

// Incarnation identifies one run of a front end's process. It is drawn at each start and is never used again.
type Incarnation uint64

// StateMachine is a part of the replicated state with commands of its own. Apply, AppendSnapshot and Restore are
// deterministic: their effects depend on the committed commands alone.
type StateMachine interface {
	// ID returns the state machine's ID in commands and snapshots.
	ID() uint32
	// Name returns the state machine's name, for operators.
	Name() string
	// Version returns the newest version of commands and snapshots that this build knows.
	Version() uint32
	// Apply applies a committed command and returns the response to its proposer.
	Apply(at ApplyContext, proposer Incarnation, body []byte) (response []byte)
	// AppendSnapshot appends the encoding of the whole state to b.
	AppendSnapshot(b []byte) []byte
	// Restore replaces the state by one that AppendSnapshot has encoded, or by the empty state if b is empty. now is
	// the local time, as in ApplyContext.
	Restore(b []byte, now monotime.Micros) error
	// DueCommands returns the bodies of the commands that are due by the local clock, such as expiries. The leader
	// proposes them.
	DueCommands(now monotime.Micros, detector FailureDetector) [][]byte
}

// FailureDetector reports what a front end knows about the processes of all front ends.
type FailureDetector interface {
	// PresumedDead reports whether a process is assumed to have ended, although it may still run.
	PresumedDead(Incarnation) bool
	// Superseded reports whether a process has certainly ended: a later process runs under its name.
	Superseded(Incarnation) bool
	// Unreachable reports whether no front end has recently received a heartbeat from a process, so that another front
	// end should take over its work in progress.
	Unreachable(Incarnation) bool
	// Live returns the processes that are alive and not leaving, including the caller's own, in ascending order.
	Live() []Incarnation
}

// ApplyContext is the context in which a state machine applies a command.
type ApplyContext struct {
	// Index is the command's index in the replicated log.
	Index uint64
	// Now is the local time, for DueCommands. It differs between replicas and is not a part of the state.
	Now monotime.Micros
	// Notify notifies a front end that something it waits for may have changed. The notification may be lost.
	Notify func(to Incarnation, topic string)
}
