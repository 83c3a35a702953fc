package replication

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// entryOverhead is how many bytes an entry adds towards Config.SnapshotLogBytes beyond the size of its data.
const entryOverhead = 32

// processReady processes everything that the Raft library has ready.
func (r *Replica) processReady() {
	for r.node != nil && r.node.HasReady() {
		ready := r.node.Ready()
		r.countElection(ready.SoftState)
		for _, message := range ready.Messages {
			r.processMessage(message)
			if r.node == nil {
				return
			}
		}
	}
}

// countElection counts an election that this replica has started. state is nil if it has not changed.
func (r *Replica) countElection(state *raft.SoftState) {
	if state == nil {
		return
	}
	isCandidate := state.RaftState == raft.StateCandidate || state.RaftState == raft.StatePreCandidate
	if isCandidate && state.RaftState != r.role {
		r.ElectionsStarted++
	}
	r.role = state.RaftState
}

// processMessage processes a message that the Raft library sends to this replica's append or apply thread, or to
// another replica.
func (r *Replica) processMessage(message *raftpb.Message) {
	var err error
	switch message.GetTo() {
	case raft.LocalAppendThread:
		err = r.appendEntries(message)
	case raft.LocalApplyThread:
		err = r.applyCommitted(message)
	default:
		r.send(message)
	}
	if err != nil {
		r.fail(err)
	}
}

// appendEntries requests that new entries, the hard state and a snapshot are persisted. A snapshot from the leader is
// restored at once.
func (r *Replica) appendEntries(message *raftpb.Message) error {
	save := pendingSave{
		entries:    message.GetEntries(),
		hardState:  hardStateOf(message),
		snapshot:   message.GetSnapshot(),
		discardLog: !raft.IsEmptySnap(message.GetSnapshot()),
		responses:  message.GetResponses(),
	}
	if !raft.IsEmptySnap(save.snapshot) {
		if err := r.state.restore(save.snapshot.GetData(), r.now); err != nil {
			return err
		}
		r.state.index = save.snapshot.GetMetadata().GetIndex()
		r.confState = save.snapshot.GetMetadata().GetConfState()
	}
	r.requestSave(save)
	return nil
}

// hardStateOf returns the hard state in a message to the append thread, or nil if it has not changed.
func hardStateOf(message *raftpb.Message) *raftpb.HardState {
	term, vote, commit := message.GetTerm(), message.GetVote(), message.GetCommit()
	if term == 0 && vote == 0 && commit == 0 {
		return nil
	}
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

// applyCommitted applies committed entries.
func (r *Replica) applyCommitted(message *raftpb.Message) error {
	for _, entry := range message.GetEntries() {
		if err := r.applyEntry(entry); err != nil {
			return err
		}
	}
	r.deliver(message.GetResponses())
	return r.compact()
}

func (r *Replica) applyEntry(entry *raftpb.Entry) error {
	r.appliedBytes += len(entry.GetData()) + entryOverhead
	switch entry.GetType() {
	case raftpb.EntryType_EntryConfChange, raftpb.EntryType_EntryConfChangeV2:
		return r.applyMembershipChange(entry)
	default:
		r.applyCommand(entry)
		return nil
	}
}

// applyCommand applies an entry with a command, or the empty entry with which a leader's term begins.
func (r *Replica) applyCommand(entry *raftpb.Entry) {
	if len(entry.GetData()) == 0 {
		r.state.advance(entry.GetIndex(), nil)
		return
	}
	command, response := r.state.apply(entry.GetIndex(), entry.GetData(), r.now)
	r.CommandsApplied++
	if r.proposals.take(command) {
		r.actions = append(r.actions, Reply{To: command.Proposer, Response: response})
	}
}

// applyMembershipChange applies a change of the voters and learners. Its context contains the added members.
func (r *Replica) applyMembershipChange(entry *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	added, err := DecodeMembers(change.GetContext())
	if err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	for _, member := range added {
		r.state.members[member.ID] = member
	}
	r.confState = r.node.ApplyConfChange(change)
	r.forgetRemovedMembers()
	r.state.advance(entry.GetIndex(), nil)
	r.membership.changeApplied(r)
	return nil
}

func (r *Replica) forgetRemovedMembers() {
	remaining := slices.Concat(r.confState.GetVoters(), r.confState.GetVotersOutgoing(),
		r.confState.GetLearners(), r.confState.GetLearnersNext())
	maps.DeleteFunc(r.state.members, func(id uint64, _ Member) bool { return !slices.Contains(remaining, id) })
}
