package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

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
