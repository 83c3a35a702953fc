package replication

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// retainedEntries is how many entries before a snapshot stay in the log, so that a follower that lags by fewer entries
// needs no snapshot.
const retainedEntries = 256

// compact takes a snapshot once the log has grown by Config.SnapshotLogBytes, and compacts the log.
func (r *Replica) compact() error {
	if r.appliedBytes < r.config.SnapshotLogBytes || r.node == nil {
		return nil
	}
	r.appliedBytes = 0
	index := r.state.index
	if last, err := r.log.LastIndex(); err != nil || last < index {
		return nil // the last applied entry is not persisted here yet; it will be when the log has grown again
	}
	snapshot, err := r.log.CreateSnapshot(index, r.confState, r.state.snapshot())
	if err != nil {
		return err
	}
	r.SnapshotsTaken++
	first, err := r.log.FirstIndex()
	if err == nil && index > retainedEntries && index-retainedEntries > first {
		if err := r.log.Compact(index - retainedEntries); err != nil {
			return err
		}
	}
	r.requestSave(pendingSave{snapshot: snapshot})
	return nil
}

// snapshotStorage is the log as the Raft library reads it. A snapshot for a replica that lags is taken when the library
// requests it. An older snapshot may not include a learner that was added since, and that learner would ignore it.
type snapshotStorage struct {
	*raft.MemoryStorage
	replica *Replica
}

// Snapshot returns a snapshot of the state as of the last applied entry, or the stored snapshot if that entry is not
// persisted yet.
func (s snapshotStorage) Snapshot() (*raftpb.Snapshot, error) {
	state := s.replica.state
	stored, err := s.MemoryStorage.Snapshot()
	if err != nil || stored.GetMetadata().GetIndex() >= state.index {
		return stored, err
	}
	if last, err := s.LastIndex(); err != nil || last < state.index {
		return stored, err
	}
	return s.CreateSnapshot(state.index, s.replica.confState, state.snapshot())
}
