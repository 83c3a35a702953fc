package replication

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"chutechute/internal/monotime"
)

// Replica is a replica of the replicated state, or a front end that may become one.
type Replica struct {
	config    Config
	groupID   uint64              // ID of the Raft group; 0 while this is not a replica
	node      *raft.RawNode       // nil while this is not a replica, and after a failure
	log       *raft.MemoryStorage // the persisted log, as the Raft library reads it
	state     *replicatedState
	confState *raftpb.ConfState // the voters and learners as of the last applied entry
	failure   error             // why this replica was stopped; nil if it was not

	now      monotime.Micros
	nextTick monotime.Micros
	role     raft.StateType
	actions  []Action

	lastToken    uint64
	pendingSaves map[uint64]pendingSave // by token
	appliedBytes int                    // since the last snapshot

	proposals          proposalTracker
	nextDueCommands    monotime.Micros // 0 while this replica does not lead
	detector           FailureDetector
	membership         membershipManager
	lastLeaderTransfer monotime.Micros

	// ElectionsStarted counts the elections and pre-elections that this replica started.
	ElectionsStarted int
	// CommandsApplied counts the committed commands that this replica applied.
	CommandsApplied int
	// SnapshotsTaken counts the snapshots that this replica took to compact its log.
	SnapshotsTaken int
	// Divergences counts the checksums of other replicas that differed from this replica's.
	Divergences int
	// LeaderTransfers counts the leader transfers that this replica began because its disk was slow.
	LeaderTransfers int
}

// New returns the Replica of a front end that is not a replica yet. Recover, Bootstrap, or the first message of a Raft
// group makes it one.
func New(config Config) *Replica {
	r := &Replica{config: config, pendingSaves: map[uint64]pendingSave{}, proposals: newProposalTracker()}
	r.state = newReplicatedState(config.StateMachines, func(to Incarnation, topic string) {
		r.actions = append(r.actions, Notify{To: to, Topic: topic})
	})
	r.membership.reset()
	return r
}

// GroupID returns the ID of the Raft group, or 0 while this is not a replica.
func (r *Replica) GroupID() uint64 { return r.groupID }

// ID returns this replica's ID.
func (r *Replica) ID() uint64 { return r.config.ID }

// Leader returns the ID of the leader as far as this replica knows, or 0 if it knows of none.
func (r *Replica) Leader() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().Lead
}

// IsLeader reports whether this replica believes that it is the leader.
func (r *Replica) IsLeader() bool { return r.node != nil && r.Leader() == r.config.ID }

// IsVoter reports whether this replica is a voter, as of the last entry that it applied.
func (r *Replica) IsVoter() bool {
	return r.confState != nil && slices.Contains(r.confState.GetVoters(), r.config.ID)
}

// Reconfiguring reports whether a membership change is in progress, as of the last entry that this replica applied.
// Until it ends, a commit takes majorities of both the old and the new voters.
func (r *Replica) Reconfiguring() bool { return len(r.confState.GetVotersOutgoing()) > 0 }

// Err returns the error that stopped this replica, or nil.
func (r *Replica) Err() error { return r.failure }

// Members returns the voters and the learners as of the last entry that this replica applied.
func (r *Replica) Members() (voters, learners []Member) {
	for _, id := range r.confState.GetVoters() {
		voters = append(voters, r.state.member(id))
	}
	for _, id := range slices.Concat(r.confState.GetLearners(), r.confState.GetLearnersNext()) {
		learners = append(learners, r.state.member(id))
	}
	return voters, learners
}

// LastApplied returns the index of the last entry that was applied, and the checksum over all responses up to it.
func (r *Replica) LastApplied() (index, checksum uint64) { return r.state.index, r.state.checksum }

// Term returns the Raft term that this replica is in, or 0 while it is not a replica.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().HardState.GetTerm()
}

// CheckDivergence compares another replica's checksum at an index with this replica's, if that one is still stored. If
// they differ, it counts a divergence and returns false.
func (r *Replica) CheckDivergence(index, checksum uint64) bool {
	if r.state.diverges(index, checksum) {
		r.Divergences++
		return false
	}
	return true
}

// Actions returns the actions that were requested since the last call.
func (r *Replica) Actions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// Tick advances the time. alive contains the front ends, this one included, that are alive, not leaving and have a
// working replica. detector reports what is known about the processes of all front ends.
func (r *Replica) Tick(now monotime.Micros, alive []Member, detector FailureDetector) {
	defer r.recoverFromInvariantError()
	r.now, r.detector = now, detector
	if r.node == nil {
		return
	}
	r.tickNode()
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.membership.manage(r, alive)
		r.proposeDueCommands()
		r.transferLeadershipIfSlow()
	} else {
		r.membership.reset()
		r.nextDueCommands = 0
	}
	r.proposals.prune(now)
	r.processReady()
}

// tickNode ticks the Raft library. After the process was paused, only a few of the missed ticks are made up for:
// there may be another leader by now, and its messages must be received before an election would start.
func (r *Replica) tickNode() {
	r.nextTick = max(r.nextTick, r.now-maxCatchUpTicks*r.config.TickInterval)
	for ; r.nextTick <= r.now; r.nextTick += r.config.TickInterval {
		r.node.Tick()
	}
}

// Disable stops this replica with an error, because its disk does not work.
func (r *Replica) Disable(err error) { r.fail(err) }

// fail stops this replica. Its front end continues without one.
func (r *Replica) fail(err error) {
	r.failure, r.node = err, nil
	clear(r.pendingSaves)
}

// recoverFromInvariantError stops this replica after a panic with an InvariantError. It must be deferred.
func (r *Replica) recoverFromInvariantError() {
	switch reason := recover().(type) {
	case nil:
	case InvariantError:
		r.fail(reason)
	default:
		panic(reason)
	}
}
