package replication

import "go.etcd.io/raft/v3/raftpb"

// Action is something that a Replica wants its caller to do: a Send, Save, Reply or Notify.
type Action any

// Send sends a message to another replica, which passes it to Receive. It may be lost.
type Send struct {
	// To is the ID of the other replica.
	To uint64
	// Bulk reports whether the message is a snapshot, which may be large and may be sent after other messages.
	Bulk bool
	// Message is the encoded Raft message.
	Message []byte
}

// Save persists log entries, a hard state and a snapshot, those that it has. Saves are persisted in the order of the
// actions, and each is reported to Persisted.
type Save struct {
	// Token identifies the Save in the call of Persisted.
	Token uint64
	// GroupID is the ID of the Raft group.
	GroupID uint64
	// Entries are log entries. They replace persisted ones from the first one's index on.
	Entries []*raftpb.Entry
	// HardState is the term, vote and commit index; nil if they have not changed.
	HardState *raftpb.HardState
	// Snapshot replaces the snapshot before and the log entries up to its index; nil if there is none.
	Snapshot *raftpb.Snapshot
	// DiscardLog reports whether the snapshot came from the leader, so that all earlier log entries are discarded.
	DiscardLog bool
}

// Reply delivers the response to a command that was proposed at this replica.
type Reply struct {
	// To is the process that proposed the command.
	To Incarnation
	// Response is the response to it.
	Response Response
}

// Notify tells a front end that something it waits for may have changed. It may be lost.
type Notify struct {
	// To is the process to notify.
	To Incarnation
	// Topic says what may have changed, in the terms of the state machine that sends it.
	Topic string
}
