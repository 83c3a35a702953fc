package replication

import "chutechute/internal/monotime"

// AbandonTimeout is how long an engine goes on with what nobody asks for, one call that is out included.
const AbandonTimeout monotime.Micros = 2_350_000

// Incarnation names one run of one front end's process. It is drawn anew at each start and never comes again.
type Incarnation uint64

// StateMachine is one sort of record and its part of the replicated state. Apply, Restore and Snapshot are deterministic: what they
// do follows from the committed commands alone. Now is a local reading for Due, and no part of the state.
type StateMachine interface {
	ID() uint32
	Name() string
	// Version is the newest form of commands that this build applies.
	Version() uint32
	// Apply carries out a committed command and gives the answer to who asked.
	Apply(at ApplyContext, asker Incarnation, body []byte) (answer []byte)
	// AppendSnapshot adds the whole state to b; Restore takes one over, and empties the state where b is empty.
	AppendSnapshot(b []byte) []byte
	Restore(b []byte, now monotime.Micros) error
	// DueCommands gives the commands that time alone calls for, by this machine's own spans. The leader proposes them.
	DueCommands(now monotime.Micros, seen FailureDetector) [][]byte
}

// FailureDetector is what a front end sees of others' processes.
type FailureDetector interface {
	// PresumedDead says whether a process is held for no more, which is a guess.
	PresumedDead(Incarnation) bool
	// Superseded says whether a process surely is no more: its name has come back with another.
	Superseded(Incarnation) bool
	// Unreachable says whether a process has not been heard of for a while, anywhere: another had better look after what it had under way.
	Unreachable(Incarnation) bool
	// Live are the processes that are heard now, this one too, in order.
	Live() []Incarnation
}

// ApplyContext tells a kind where in the record it stands.
type ApplyContext struct {
	Index uint64
	Now   monotime.Micros
	// Notify tells a front end that something it waits for may have changed. It may be lost.
	Notify func(to Incarnation, about string)
}
