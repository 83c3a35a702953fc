package replication

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"chutechute/internal/monotime"
)

// pendingSave is a Save that was not reported as persisted yet. Once it is, its contents become visible to the Raft
// library and its responses are delivered.
type pendingSave struct {
	requestedAt monotime.Micros
	entries     []*raftpb.Entry
	hardState   *raftpb.HardState
	snapshot    *raftpb.Snapshot
	discardLog  bool
	responses   []*raftpb.Message
}

// requestSave adds a Save action and tracks it until it is reported as persisted.
func (r *Replica) requestSave(save pendingSave) {
	r.lastToken++
	save.requestedAt = r.now
	r.pendingSaves[r.lastToken] = save
	r.actions = append(r.actions, Save{
		Token:      r.lastToken,
		GroupID:    r.groupID,
		Entries:    save.entries,
		HardState:  save.hardState,
		Snapshot:   save.snapshot,
		DiscardLog: save.discardLog,
	})
}

// Persisted reports that a Save has been persisted, or why it was not. An error stops this replica at once, because the
// contents of a disk are unknown after a failed write.
func (r *Replica) Persisted(now monotime.Micros, token uint64, err error) {
	defer r.recoverFromInvariantError()
	r.now = now
	save, ok := r.pendingSaves[token]
	delete(r.pendingSaves, token)
	if !ok || r.node == nil {
		return
	}
	if err == nil {
		err = r.addToLog(save)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.deliver(save.responses)
	r.processReady()
}

// addToLog makes the contents of a persisted Save visible to the Raft library.
func (r *Replica) addToLog(save pendingSave) error {
	if !raft.IsEmptySnap(save.snapshot) {
		if err := r.log.ApplySnapshot(save.snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if save.hardState != nil {
		if err := r.log.SetHardState(save.hardState); err != nil {
			return err
		}
	}
	return r.log.Append(save.entries)
}
