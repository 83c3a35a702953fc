package fleet

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// sendHeartbeats sends a heartbeat to all other control members.
func (n *Node) sendHeartbeats() {
	m := n.heartbeat()
	body := m.encode()
	for _, peer := range n.monitor.Peers() {
		n.actions = append(n.actions, Send{To: peer.Name, Kind: transport.ControlHeartbeat, Body: body})
	}
}

// heartbeat returns this front end's heartbeat.
func (n *Node) heartbeat() controlHeartbeat {
	index, checksum := n.replica.LastApplied()
	m := controlHeartbeat{
		Incarnation:     n.cfg.Incarnation,
		ReplicaID:       n.replica.ID(),
		Group:           n.replica.GroupID(),
		Leader:          n.replica.Leader(),
		Term:            n.replica.Term(),
		AppliedIndex:    index,
		AppliedChecksum: checksum,
		Leaving:         n.leaving,
		Voter:           n.replica.IsVoter(),
		Reports:         n.monitor.Reports(),
	}
	if n.replica.Err() != nil {
		m.ReplicaID = 0
	}
	if n.server != nil {
		m.TableVersions = n.server.Versions(n.now)
	}
	return m
}

// receiveHeartbeat handles a heartbeat from another control member. It ignores a heartbeat of an earlier process.
func (n *Node) receiveHeartbeat(l Link, body []byte) error {
	m, err := decodeControlHeartbeat(body)
	if err != nil {
		return err
	}
	if m.Incarnation != l.Incarnation ||
		!n.monitor.Observe(n.now, l.From, l.Incarnation, l.ChallengedAt, m.Leaving, m.Reports) {
		return nil
	}
	n.lastHeartbeats[l.From] = &m
	if m.Group != 0 && m.Group == n.replica.GroupID() {
		n.replica.CheckDivergence(m.AppliedIndex, m.AppliedChecksum)
	}
	if n.server != nil && len(m.TableVersions) > 0 {
		if err := n.server.ReceiveVersions(n.now, l.From, l.Incarnation, m.TableVersions); err != nil {
			return err
		}
	}
	n.collectActions()
	return nil
}

// aliveMembers returns the control members, this one included, that are alive, are not leaving and have a working
// replica.
func (n *Node) aliveMembers() (members []replication.Member) {
	if n.replica.Err() == nil && !n.leaving {
		members = append(members, replication.Member{ID: n.replica.ID(), Name: n.cfg.Name, Zone: n.cfg.Zone})
	}
	for _, peer := range n.monitor.Peers() {
		last := n.lastHeartbeats[peer.Name]
		if peer.State != heartbeat.Alive || last == nil || last.Leaving {
			continue
		}
		if last.Incarnation == peer.Incarnation && last.ReplicaID != 0 {
			members = append(members, replication.Member{ID: last.ReplicaID, Name: peer.Name, Zone: peer.Zone})
		}
	}
	return members
}

// ReplicaName returns the name of the control member whose replica has the ID, empty if none is known.
func (n *Node) ReplicaName(id uint64) string {
	if id == n.replica.ID() {
		return n.cfg.Name
	}
	for _, peer := range n.monitor.Peers() {
		if last := n.lastHeartbeats[peer.Name]; last != nil && last.ReplicaID == id {
			return peer.Name
		}
	}
	return ""
}

// nameOfProcess returns the name of the other control member with the incarnation, empty if none is known.
func (n *Node) nameOfProcess(incarnation uint64) string {
	for _, peer := range n.monitor.Peers() {
		if peer.Incarnation == incarnation {
			return peer.Name
		}
	}
	return ""
}
