package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// leaderRoute is the proposalRoute of a control member: proposals go directly to the leader of the replicated log.
type leaderRoute struct {
	node             *Node
	redirectedLeader uint64          // the replica ID of the leader that the last redirect named; 0 before the first
	redirectedAt     monotime.Micros // when that redirect was received
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
	r.redirectedLeader = leader
	r.redirectedAt = r.node.now
	return true
}

// target returns the name of the leader, empty if none is known. It takes the leader that this front end's own replica
// knows if that is a voter, else the one that a redirect named within the last RetryInterval, else the one of the
// newest term that the heartbeats of the other control members name.
func (r *leaderRoute) target() string {
	n := r.node
	if n.replica.IsVoter() && n.replica.Leader() != 0 {
		return n.ReplicaName(n.replica.Leader())
	}
	if r.redirectedLeader != 0 && n.now-r.redirectedAt < n.cfg.RetryInterval {
		return n.ReplicaName(r.redirectedLeader)
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
