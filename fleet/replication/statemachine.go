package replication

import "chutechute/internal/monotime"

// AbandonTimeout is how long an engine goes on with a query that nobody polls, including one poll in flight.
const AbandonTimeout = 2350 * monotime.Millisecond

// Incarnation identifies one run of a front end's process. It is drawn anew at each start and is never used again.
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
	// Restore replaces the state by one that AppendSnapshot has encoded, or by the empty state if b is empty. The
	// time is the local one, as in ApplyContext.
	Restore(b []byte, now monotime.Micros) error
	// DueCommands returns the bodies of the commands that are due by the passing of time, such as expiries, as timed
	// by the local clock. The leader proposes them.
	DueCommands(now monotime.Micros, detector FailureDetector) [][]byte
}

// FailureDetector reports what a front end knows of the processes of all front ends.
type FailureDetector interface {
	// PresumedDead reports whether a process is assumed to have ended. This is a guess.
	PresumedDead(Incarnation) bool
	// Superseded reports whether a process has certainly ended: another process runs under its name.
	Superseded(Incarnation) bool
	// Unreachable reports whether no front end has heard from a process for a while, so that another one should look
	// after what it had in progress.
	Unreachable(Incarnation) bool
	// Live returns the processes that are heard from now, including the caller's own, in ascending order.
	Live() []Incarnation
}

// ApplyContext is the context in which a state machine applies a command.
type ApplyContext struct {
	// Index is the command's index in the replicated log.
	Index uint64
	// Now is the local time, for DueCommands. It differs between replicas and is not a part of the state.
	Now monotime.Micros
	// Notify tells a front end that something it waits for may have changed. The notification may be lost.
	Notify func(to Incarnation, topic string)
}
