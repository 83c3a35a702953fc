package replication

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// retainedEntries is how many entries before a snapshot stay in the log, for followers that lag a little.
const retainedEntries = 256

// compact takes a snapshot once the log has grown by Config.SnapshotLogBytes, and compacts the log.
func (r *Replica) compact() error {
	if r.appliedBytes < r.config.SnapshotLogBytes || r.node == nil {
		return nil
	}
	r.appliedBytes = 0
	index := r.state.index
	if last, err := r.log.LastIndex(); err != nil || last < index {
		return nil // what was applied is not persisted here yet; it will be by the next time
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

// snapshotStorage is the log as the Raft library reads it. A snapshot for a replica that lags is taken when the
// library needs it: an older one may not include a learner yet, which would then ignore it.
type snapshotStorage struct {
	*raft.MemoryStorage
	replica *Replica
}

// Snapshot returns a snapshot of the state as of the last entry that was both applied and persisted.
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
