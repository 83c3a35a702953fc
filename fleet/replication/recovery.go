package replication

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"chutechute/internal/monotime"
)

// PersistedState is the state that a replica had persisted when its process ended.
type PersistedState struct {
	// GroupID is the ID of the Raft group; 0 if the front end was not a replica.
	GroupID uint64
	// HardState is the last term, vote and commit index; nil if there is none.
	HardState *raftpb.HardState
	// Snapshot is the last snapshot; nil if there is none.
	Snapshot *raftpb.Snapshot
	// Entries are the log entries after the snapshot.
	Entries []*raftpb.Entry
}

// Recover resumes the replica that persisted describes, if there is one. The error is ErrLogGap, an error of the Raft
// library, or that of a snapshot that this build cannot restore.
func (r *Replica) Recover(now monotime.Micros, persisted *PersistedState) error {
	defer r.recoverFromInvariantError()
	if persisted == nil || persisted.GroupID == 0 {
		return nil
	}
	snapshotIndex := persisted.Snapshot.GetMetadata().GetIndex()
	if len(persisted.Entries) > 0 && persisted.Entries[0].GetIndex() > snapshotIndex+1 {
		return ErrLogGap
	}
	log := raft.NewMemoryStorage()
	if !raft.IsEmptySnap(persisted.Snapshot) { // a replica that has joined and not caught up yet has none
		if err := log.ApplySnapshot(persisted.Snapshot); err != nil {
			return err
		}
	}
	if persisted.HardState != nil {
		if err := log.SetHardState(persisted.HardState); err != nil {
			return err
		}
	}
	if err := log.Append(persisted.Entries); err != nil {
		return err
	}
	return r.start(now, persisted.GroupID, log, persisted.Snapshot)
}

// Bootstrap makes this front end one of the first replicas of a new Raft group, if it is among the members. It must be
// called with the same groupID and members at each of them.
func (r *Replica) Bootstrap(now monotime.Micros, groupID uint64, members []Member) error {
	defer r.recoverFromInvariantError()
	isThisReplica := func(member Member) bool { return member.ID == r.config.ID }
	if r.groupID != 0 || !slices.ContainsFunc(members, isThisReplica) {
		return nil
	}
	snapshot := r.bootstrapSnapshot(members)
	hardState := &raftpb.HardState{Term: snapshot.GetMetadata().Term, Commit: snapshot.GetMetadata().Index}
	log := raft.NewMemoryStorage()
	if err := log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := log.SetHardState(hardState); err != nil {
		return err
	}
	if err := r.start(now, groupID, log, snapshot); err != nil {
		return err
	}
	r.requestSave(pendingSave{hardState: hardState, snapshot: snapshot, discardLog: true})
	return nil
}

// bootstrapSnapshot returns the snapshot with which a new Raft group begins: the empty state with its members.
func (r *Replica) bootstrapSnapshot(members []Member) *raftpb.Snapshot {
	index, term := uint64(1), uint64(1)
	state := newReplicatedState(r.config.StateMachines, nil)
	state.index = index
	voters := []uint64{}
	for _, member := range members {
		voters = append(voters, member.ID)
		state.members[member.ID] = member
	}
	slices.Sort(voters)
	return &raftpb.Snapshot{
		Data: state.snapshot(),
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: voters},
			Index:     &index,
			Term:      &term,
		},
	}
}

// join makes this front end a replica with an empty state, in a Raft group that has sent a message to its ID.
func (r *Replica) join(now monotime.Micros, groupID uint64) error {
	return r.start(now, groupID, raft.NewMemoryStorage(), nil)
}

// start starts the Raft library on a log that begins with a snapshot, or with the empty state if snapshot is nil.
func (r *Replica) start(
	now monotime.Micros, groupID uint64, log *raft.MemoryStorage, snapshot *raftpb.Snapshot,
) error {
	r.now = now
	if err := r.state.restore(snapshot.GetData(), now); err != nil {
		return err
	}
	r.confState = snapshot.GetMetadata().GetConfState()
	config := r.config.raftConfig(snapshotStorage{log, r}, snapshot.GetMetadata().GetIndex())
	node, err := raft.NewRawNode(config)
	if err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	r.groupID, r.log, r.node = groupID, log, node
	r.nextTick = now + r.config.TickInterval
	r.processReady()
	return nil
}
