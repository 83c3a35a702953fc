package fleet

import (
	"cmp"
	"slices"

	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// bootstrap creates a replicated log if it is certain that none exists. Until a new log has a leader, each call sends
// the bootstrap message to the control members that belong to no log yet.
func (n *Node) bootstrap(alive []replication.Member) {
	switch {
	case n.pendingBootstrap != nil && n.replica.Leader() != 0:
		n.pendingBootstrap = nil
		return
	case n.pendingBootstrap == nil:
		if !n.mayBootstrap(alive) || !n.beginBootstrap(alive) {
			return
		}
	}
	n.sendBootstrap()
}

// mayBootstrap reports whether all control members are alive and belong to no replicated log, and this one is the first
// of them by name.
func (n *Node) mayBootstrap(alive []replication.Member) bool {
	if n.replica.GroupID() != 0 || n.replica.Err() != nil || len(alive) != len(n.cfg.PeerZones)+1 {
		return false
	}
	for _, peer := range n.monitor.Peers() {
		if n.lastHeartbeats[peer.Name].Group != 0 || peer.Name < n.cfg.Name {
			return false
		}
	}
	return true
}

// beginBootstrap chooses the initial members of a new replicated log and bootstraps this front end's replica with them.
func (n *Node) beginBootstrap(alive []replication.Member) (ok bool) {
	members := initialMembers(alive, n.cfg.Replication.Replicas)
	m := bootstrapMessage{Group: n.cfg.NewID(), Members: replication.EncodeMembers(members)}
	if err := n.replica.Bootstrap(n.now, m.Group, members); err != nil {
		return false
	}
	n.pendingBootstrap = m.encode()
	return true
}

// sendBootstrap sends the bootstrap message to the control members that belong to no replicated log.
func (n *Node) sendBootstrap() {
	for _, peer := range n.monitor.Peers() {
		if last := n.lastHeartbeats[peer.Name]; last != nil && last.Group == 0 {
			n.actions = append(n.actions, Send{To: peer.Name, Kind: transport.Bootstrap, Body: n.pendingBootstrap})
		}
	}
}

// receiveBootstrap handles another control member's bootstrap message. It ignores the message if this front end already
// belongs to a replicated log.
func (n *Node) receiveBootstrap(body []byte) error {
	m, err := decodeBootstrapMessage(body)
	if err != nil {
		return err
	}
	members, err := replication.DecodeMembers(m.Members)
	if err != nil {
		return err
	}
	if n.replica.GroupID() != 0 || m.Group == 0 {
		return nil
	}
	n.pendingBootstrap = body
	return n.replica.Bootstrap(n.now, m.Group, members)
}

// initialMembers chooses the initial members of a new replicated log. Each one comes from a zone with the fewest
// members so far; among equals, the first by name is chosen.
func initialMembers(alive []replication.Member, replicas int) (members []replication.Member) {
	candidates := slices.Clone(alive)
	slices.SortFunc(candidates, func(a, b replication.Member) int { return cmp.Compare(a.Name, b.Name) })
	perZone := map[string]int{}
	for len(members) < replicas && len(candidates) > 0 {
		best := 0
		for i, candidate := range candidates {
			if perZone[candidate.Zone] < perZone[candidates[best].Zone] {
				best = i
			}
		}
		perZone[candidates[best].Zone]++
		members = append(members, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return members
}
