package replication

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"chutechute/internal/monotime"
)

// Receive processes a message from another replica in a Raft group. Messages to another ID than this replica's are
// ignored: they are for a disk that was lost. An error means that the message is malformed or that Raft rejects it.
func (r *Replica) Receive(now monotime.Micros, groupID uint64, encoded []byte) error {
	defer r.recoverFromInvariantError()
	r.now = now
	message := &raftpb.Message{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	if message.GetTo() != r.config.ID || r.failure != nil || groupID == 0 {
		return nil
	}
	if r.groupID == 0 {
		if err := r.join(now, groupID); err != nil {
			return err
		}
	}
	if groupID != r.groupID || raft.IsLocalMsg(message.GetType()) {
		return nil
	}
	r.membership.lastSeen[message.GetFrom()] = now
	if message.GetType() == raftpb.MessageType_MsgProp {
		return nil // commands are proposed by Propose only
	}
	err := r.node.Step(message)
	r.processReady()
	if errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}

// ReportUnreachable reports that a message to another replica could not be sent. The message may have been a snapshot,
// so a failed snapshot is reported as well.
func (r *Replica) ReportUnreachable(to uint64) {
	defer r.recoverFromInvariantError()
	if r.node != nil {
		r.node.ReportUnreachable(to)
		r.node.ReportSnapshot(to, raft.SnapshotFailure)
		r.processReady()
	}
}

// deliver delivers the responses of the library's append and apply threads to this replica or to others.
func (r *Replica) deliver(responses []*raftpb.Message) {
	for _, message := range responses {
		if message.GetTo() == r.config.ID {
			_ = r.node.Step(message) // the library does not reject a replica's messages to itself
		} else {
			r.send(message)
		}
	}
}

func (r *Replica) send(message *raftpb.Message) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		r.fail(err)
		return
	}
	isSnapshot := message.GetType() == raftpb.MessageType_MsgSnap
	r.actions = append(r.actions, Send{To: message.GetTo(), Bulk: isSnapshot, Message: encoded})
	if isSnapshot { // a lost snapshot is noticed by the probe that follows
		r.node.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
	}
}
