package replication

import "go.etcd.io/raft/v3/raftpb"

// Action is an operation that a Replica requests of its caller: a Send, Save, Reply or Notify.
type Action any

// Send sends a message to another replica, which passes it to Replica.Receive. The message may be lost.
type Send struct {
	// To is the ID of the other replica.
	To uint64
	// Bulk reports whether the message is a snapshot, which may be large and may be sent after other messages.
	Bulk bool
	// Message is the encoded Raft message.
	Message []byte
}

// Save persists log entries, a hard state and a snapshot, each of which may be absent. Saves are persisted in the order
// of the actions, and each is reported to Replica.Persisted.
type Save struct {
	// Token identifies the Save in the call to Replica.Persisted.
	Token uint64
	// GroupID is the ID of the Raft group.
	GroupID uint64
	// Entries are log entries. They replace all persisted entries from the index of the first one on.
	Entries []*raftpb.Entry
	// HardState is the term, vote and commit index; nil if they have not changed.
	HardState *raftpb.HardState
	// Snapshot replaces the previous snapshot and the log entries up to its own index; nil if there is none.
	Snapshot *raftpb.Snapshot
	// DiscardLog reports whether the snapshot came from the leader, so that all earlier log entries are discarded.
	DiscardLog bool
}

// Reply delivers the response to a command that was proposed at this replica.
type Reply struct {
	// To is the process that proposed the command.
	To Incarnation
	// Response is the response to the command.
	Response Response
}

// Notify notifies a front end that something it waits for may have changed. The notification may be lost.
type Notify struct {
	// To is the process to notify.
	To Incarnation
	// Topic identifies what may have changed. Its meaning is defined by the state machine that sends it.
	Topic string
}
