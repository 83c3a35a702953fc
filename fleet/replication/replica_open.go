package replication

import (
	"errors"
	"fmt"
	"slices"

	"chutechute/internal/monotime"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// PersistedState is what a copy had kept when its process ended.
type PersistedState struct {
	Group     uint64
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// ErrLogGap is the error of a disk whose log does not follow its snapshot.
var ErrLogGap = errors.New("ledger: the log does not follow the snapshot")

// Recover goes on with what the disk kept.
func (r *Replica) Recover(now monotime.Micros, d *PersistedState) error {
	defer r.guard()
	if d == nil || d.Group == 0 {
		return nil
	}
	if len(d.Entries) > 0 && d.Entries[0].GetIndex() > d.Snapshot.GetMetadata().GetIndex()+1 {
		return ErrLogGap
	}
	log := raft.NewMemoryStorage()
	if !raft.IsEmptySnap(d.Snapshot) { // a copy that had joined and not caught up has none
		if err := log.ApplySnapshot(d.Snapshot); err != nil {
			return err
		}
	}
	if d.HardState != nil {
		if err := log.SetHardState(d.HardState); err != nil {
			return err
		}
	}
	if err := log.Append(d.Entries); err != nil {
		return err
	}
	return r.begin(now, d.Group, log, d.Snapshot)
}

// Bootstrap makes this front end one of the first copies of a new record.
func (r *Replica) Bootstrap(now monotime.Micros, group uint64, members []Member) error {
	defer r.guard()
	if r.group != 0 || !slices.ContainsFunc(members, func(m Member) bool { return m.ID == r.cfg.ID }) {
		return nil
	}
	voters := []uint64{}
	first := newMachine(r.cfg.StateMachines, nil)
	for _, m := range members {
		voters = append(voters, m.ID)
		first.members[m.ID] = m
	}
	slices.Sort(voters)
	first.index = 1
	index, term := uint64(1), uint64(1)
	snapshot := &raftpb.Snapshot{Data: first.snapshot(), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: voters}, Index: &index, Term: &term}}
	log := raft.NewMemoryStorage()
	if err := log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	state := &raftpb.HardState{Term: &term, Commit: &index}
	if err := log.SetHardState(state); err != nil {
		return err
	}
	if err := r.begin(now, group, log, snapshot); err != nil {
		return err
	}
	r.save(save{state: state, snapshot: snapshot}, true)
	return nil
}

// join makes this front end a copy of a record that others keep: they were told of its number in this life of its disk.
func (r *Replica) join(now monotime.Micros, group uint64) error {
	return r.begin(now, group, raft.NewMemoryStorage(), nil)
}

func (r *Replica) begin(now monotime.Micros, group uint64, log *raft.MemoryStorage, snapshot *raftpb.Snapshot) error {
	r.now = now
	if err := r.machine.restore(snapshot.GetData(), now); err != nil {
		return err
	}
	r.conf = snapshot.GetMetadata().GetConfState()
	node, err := raft.NewRawNode(&raft.Config{ID: r.cfg.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: shown{log, r},
		Applied: snapshot.GetMetadata().GetIndex(), AsyncStorageWrites: true, MaxSizePerMsg: mostMessage,
		MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: mostPending, MaxInflightMsgs: 64, CheckQuorum: true,
		PreVote: true, Logger: r.cfg.Logger})
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	r.group, r.log, r.node, r.nextTick = group, log, node, now+r.cfg.TickInterval
	r.ready()
	return nil
}

// shown is the log as the library reads it. A snapshot for a copy that lags is taken when it is asked for: an older one may
// not know of a learner yet, which would pass it over.
type shown struct {
	*raft.MemoryStorage
	r *Replica
}

// Snapshot is the state as of the last command that was carried out and stands in the log.
func (s shown) Snapshot() (*raftpb.Snapshot, error) {
	kept, err := s.MemoryStorage.Snapshot()
	if err != nil || kept.GetMetadata().GetIndex() >= s.r.machine.index {
		return kept, err
	}
	if last, err := s.LastIndex(); err != nil || last < s.r.machine.index {
		return kept, err
	}
	return s.CreateSnapshot(s.r.machine.index, s.r.conf, s.r.machine.snapshot())
}
