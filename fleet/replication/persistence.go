package replication

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"chutechute/internal/monotime"
)

// pendingSave is a Save that was not reported as persisted yet. What it holds becomes visible to the Raft library, and
// its responses are delivered, once it has been persisted.
type pendingSave struct {
	requestedAt monotime.Micros
	entries     []*raftpb.Entry
	hardState   *raftpb.HardState
	snapshot    *raftpb.Snapshot
	discardLog  bool
	responses   []*raftpb.Message
}

// requestSave requests that entries, hard state and snapshot are persisted, by an action Save.
func (r *Replica) requestSave(save pendingSave) {
	r.lastToken++
	save.requestedAt = r.now
	r.pendingSaves[r.lastToken] = save
	r.actions = append(r.actions, Save{
		Token:      r.lastToken,
		GroupID:    r.group,
		Entries:    save.entries,
		HardState:  save.hardState,
		Snapshot:   save.snapshot,
		DiscardLog: save.discardLog,
	})
}

// Persisted reports that a Save has been persisted, or why it was not. An error ends this replica at once, since
// nobody knows what a disk holds after a failed write.
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

// addToLog makes what has been persisted visible to the Raft library.
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
