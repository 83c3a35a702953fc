package fleet

import (
	"slices"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/replication"
)

// failureDetector is the replication.FailureDetector of a control member: by heartbeats for control members, by the
// merged view for attached front ends.
type failureDetector struct{ node *Node }

// PresumedDead implements replication.FailureDetector.
func (d failureDetector) PresumedDead(i replication.Incarnation) bool {
	return d.node.PresumedDead(uint64(i))
}

// Superseded implements replication.FailureDetector. It is certain for control members only. For attached front ends it
// is what the merged view says; budgets, which need certainty, cannot be configured where front ends may attach.
func (d failureDetector) Superseded(i replication.Incarnation) bool {
	n := d.node
	if n.server == nil || n.isOrWasControlMember(uint64(i)) {
		return n.monitor.Superseded(uint64(i))
	}
	return n.server.View().Superseded(uint64(i))
}

// Unreachable implements replication.FailureDetector. Where front ends may attach, it is false for any process that
// is no control member's: the requests that an attached front end has in flight are not offered to others in this
// version. They end by their own timeout, and a retry is told that the outcome is unknown. A request that an
// attached front end transfers itself has no owner, and is offered.
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

// PresumedDead reports whether a process of the fleet is presumed dead: of a control member by its heartbeats, of an
// attached front end by the merged view.
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
