package replication

import (
	"go.etcd.io/raft/v3"

	"chutechute/internal/monotime"
)

// Config is the configuration of a Replica.
type Config struct {
	// ID is the replica's ID, drawn at random with its empty disk.
	ID uint64
	// StateMachines are the replicated state machines, in the order in which snapshots contain them.
	StateMachines []StateMachine
	// Replicas is the number of voters to maintain.
	Replicas int
	// TickInterval is the length of a Raft tick, the unit of the heartbeat and election timeouts.
	TickInterval monotime.Micros
	// ReplaceAfter is the time after which a replica is replaced if it was not alive and sent no message, provided that
	// another front end can become a replica.
	ReplaceAfter monotime.Micros
	// SnapshotLogBytes is the number of bytes applied from the log after which a snapshot is taken.
	SnapshotLogBytes int
	// Logger receives the messages of the Raft library. Its Panic and Fatal methods panic with an InvariantError.
	Logger raft.Logger
}

// Timeouts, in ticks of Config.TickInterval.
const (
	electionTicks  = 8
	heartbeatTicks = 1
	// maxCatchUpTicks is how many missed ticks are made up for after the process was paused.
	maxCatchUpTicks = 4
)

// Limits of the Raft library.
const (
	maxMessageBytes     = 256 << 10 // of the entries in one message
	maxApplyBytes       = 1 << 20   // of the entries that are applied at once
	maxUncommittedBytes = 4 << 20   // of the entries that a leader has proposed and that are not committed
	maxInflightMessages = 64        // that one follower has not responded to
)

// raftConfig returns the Raft library's configuration for a replica that has applied the log up to an index.
func (c *Config) raftConfig(storage raft.Storage, applied uint64) *raft.Config {
	return &raft.Config{
		ID:                        c.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   storage,
		Applied:                   applied,
		AsyncStorageWrites:        true,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxApplyBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    c.Logger,
	}
}
