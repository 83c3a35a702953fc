package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Propose proposes a command for the state machine with the number kind, in a version of its commands, to the
// replicated log. It calls done once with the response, from Receive, Tick or Persisted, but not after Cancel. A
// proposal that was canceled may still be committed.
func (n *Node) Propose(
	now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response),
) (id uint64) {
	n.now = now
	return n.proposals.add(now, kind, version, body, done)
}

// Cancel stops waiting for the response to a proposal.
func (n *Node) Cancel(id uint64) { n.proposals.remove(id) }

// Proposals returns the number of proposals that this front end has made.
func (n *Node) Proposals() int { return int(n.proposals.lastID) }

// receiveProposal handles a proposal of another control member. One in the name of another process is ignored.
func (n *Node) receiveProposal(l Link, body []byte) error {
	command, err := replication.DecodeCommand(body)
	if err != nil {
		return err
	}
	if uint64(command.Proposer) == l.Incarnation {
		n.replica.Propose(n.now, command)
	}
	return nil
}

// receiveResponse handles the response to a proposal of this front end.
func (n *Node) receiveResponse(body []byte) error {
	response, err := replication.DecodeResponse(body)
	if err != nil {
		return err
	}
	n.proposals.receive(n.now, response)
	return nil
}

// leaderRoute is the proposalRoute of a control member: directly to the leader of the replicated log.
type leaderRoute struct {
	node       *Node
	redirected uint64          // the replica ID of the leader that the last redirect named; 0 before the first
	at         monotime.Micros // of that redirect
}

func (r *leaderRoute) send(to string, command replication.Command) {
	n := r.node
	if to == n.cfg.Name {
		n.replica.Propose(n.now, command)
		return
	}
	n.send(to, transport.Proposal, false, command.Encode())
}

func (r *leaderRoute) redirect(leader uint64, from string) bool {
	if r.node.ReplicaName(leader) == from {
		return false
	}
	r.redirected = leader
	r.at = r.node.now
	return true
}

// target returns the name of the leader as far as known: by this front end's own replica if it votes, by a recent
// redirect, or by the newest term that another control member has reported a leader of.
func (r *leaderRoute) target() string {
	n := r.node
	if n.replica.IsVoter() && n.replica.Leader() != 0 {
		return n.ReplicaName(n.replica.Leader())
	}
	if r.redirected != 0 && n.now-r.at < n.cfg.RetryInterval {
		return n.ReplicaName(r.redirected)
	}
	var newest *controlHeartbeat
	for _, peer := range n.monitor.Peers() {
		last := n.lastHeartbeats[peer.Name]
		if last == nil || last.Incarnation != peer.Incarnation || last.Leader == 0 {
			continue
		}
		if newest == nil || last.Term > newest.Term {
			newest = last
		}
	}
	if newest == nil {
		return ""
	}
	return n.ReplicaName(newest.Leader)
}
