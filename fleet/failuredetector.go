package fleet

import (
	"slices"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/replication"
)

// failureDetector is the replication.FailureDetector of a control member. It uses the heartbeats for control members,
// and the merged view for attached front ends.
type failureDetector struct{ node *Node }

// PresumedDead implements replication.FailureDetector.
func (d failureDetector) PresumedDead(i replication.Incarnation) bool {
	return d.node.PresumedDead(uint64(i))
}

// Superseded implements replication.FailureDetector. The result is certain for control members only; for attached front
// ends it comes from the merged view. Budgets need a certain result, and therefore cannot be configured where front
// ends may attach.
func (d failureDetector) Superseded(i replication.Incarnation) bool {
	n := d.node
	if n.server == nil || n.isOrWasControlMember(uint64(i)) {
		return n.monitor.Superseded(uint64(i))
	}
	return n.server.View().Superseded(uint64(i))
}

// Unreachable implements replication.FailureDetector. Where front ends may attach, it returns false for any process
// that is not a control member's, because in this version no other front end takes over the requests that an attached
// front end has in flight. They end by their own timeout, and a retry gets the answer that the outcome is unknown. A
// request that an attached front end transfers itself has no owner (incarnation 0), and can be taken over.
func (d failureDetector) Unreachable(i replication.Incarnation) bool {
	n, incarnation := d.node, uint64(i)
	switch {
	case incarnation == 0:
		return true
	case n.server != nil && !n.isOrWasControlMember(incarnation):
		return false
	}
	return incarnation != n.cfg.Incarnation && n.monitor.Unreachable(incarnation)
}

// Live implements replication.FailureDetector. It returns the control members that are alive and not leaving.
func (d failureDetector) Live() (live []replication.Incarnation) {
	n := d.node
	if !n.leaving {
		live = append(live, replication.Incarnation(n.cfg.Incarnation))
	}
	for _, peer := range n.monitor.Peers() {
		if last := n.lastHeartbeats[peer.Name]; peer.State == heartbeat.Alive && last != nil && !last.Leaving {
			live = append(live, replication.Incarnation(peer.Incarnation))
		}
	}
	slices.Sort(live)
	return live
}

// PresumedDead reports whether a process of the fleet is presumed dead. It uses the heartbeats for control members, and
// the merged view for attached front ends.
func (n *Node) PresumedDead(incarnation uint64) bool {
	if n.server == nil || n.isOrWasControlMember(incarnation) {
		return n.monitor.PresumedDead(incarnation)
	}
	return n.server.View().PresumedDead(incarnation)
}

// isOrWasControlMember reports whether a process is or was a control member, this one included.
func (n *Node) isOrWasControlMember(incarnation uint64) bool {
	return incarnation == n.cfg.Incarnation || n.nameOfProcess(incarnation) != "" || n.monitor.Superseded(incarnation)
}
