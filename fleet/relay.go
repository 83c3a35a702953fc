package fleet

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/transport"
)

// A link may fail in one direction alone. A control member whose heartbeats arrive here and report that those of
// this front end do not arrive there is sent messages by way of a third that it receives heartbeats from. One whose
// heartbeats do not arrive here, but elsewhere, is sent messages both directly and by way of a third that receives
// its heartbeats. Messages are relayed once, and small ones only. A message that arrives twice does no harm, so
// that nothing depends on this being right.

// send sends a message to a control member, and relays it too if the direct link is known to fail.
func (n *Node) send(to string, kind transport.Kind, bulk bool, body []byte) {
	n.actions = append(n.actions, Send{To: to, Kind: kind, Bulk: bulk, Body: body})
	if bulk || len(body) >= transport.MaxFrameBody {
		return
	}
	via := n.relayFor(to)
	if via == "" {
		return
	}
	n.Relayed++
	m := relayMessage{To: to, From: n.cfg.Name, Incarnation: n.cfg.Incarnation, Kind: kind, Body: body}
	n.actions = append(n.actions, Send{To: via, Kind: transport.Relay, Body: m.encode()})
}

// relayFor returns the control member by way of which messages to another are relayed, empty if none are.
func (n *Node) relayFor(to string) string {
	peer, last := n.monitor.Lookup(to), n.lastHeartbeats[to]
	if peer == nil || last == nil || last.Incarnation != peer.Incarnation {
		return ""
	}
	switch {
	case peer.State == heartbeat.Alive && !n.receives(last, n.cfg.Name, n.cfg.Incarnation):
		return n.relayReceivedBy(peer, last)
	case peer.State == heartbeat.IndirectlyAlive:
		return n.relayReceiving(peer)
	}
	return ""
}

// receives reports whether a heartbeat says that its sender has received a heartbeat from a process recently.
func (n *Node) receives(m *controlHeartbeat, name string, incarnation uint64) bool {
	for _, report := range m.Reports {
		if report.Name == name {
			return report.Incarnation == incarnation && report.Age < n.cfg.Heartbeat.SuspectAfter
		}
	}
	return false
}

// relayReceivedBy returns the first other control member that a peer receives heartbeats from, by the peer's last
// heartbeat. One that is alive is preferred.
func (n *Node) relayReceivedBy(peer *heartbeat.Peer, last *controlHeartbeat) string {
	var via *heartbeat.Peer
	for _, other := range n.monitor.Peers() {
		if other == peer || other.Incarnation == 0 || !n.receives(last, other.Name, other.Incarnation) {
			continue
		}
		if via == nil || other.State == heartbeat.Alive && via.State != heartbeat.Alive {
			via = other
		}
	}
	if via == nil {
		return ""
	}
	return via.Name
}

// relayReceiving returns the first other control member that is alive and receives heartbeats from a peer.
func (n *Node) relayReceiving(peer *heartbeat.Peer) string {
	for _, other := range n.monitor.Peers() {
		last := n.lastHeartbeats[other.Name]
		if other == peer || other.State != heartbeat.Alive || last == nil {
			continue
		}
		if n.receives(last, peer.Name, peer.Incarnation) {
			return other.Name
		}
	}
	return ""
}

// receiveRelay handles a relayed message: it is for this front end, or to be passed on.
func (n *Node) receiveRelay(l Link, body []byte) error {
	m, err := decodeRelayMessage(body)
	switch {
	case err != nil:
		return err
	case m.Kind == transport.Relay || m.Kind == transport.ControlHeartbeat || n.monitor.Lookup(m.From) == nil:
		return nil
	case m.To == n.cfg.Name:
		return n.Receive(n.now, Link{From: m.From, Incarnation: m.Incarnation}, m.Kind, m.Body)
	case m.From == l.From && n.monitor.Lookup(m.To) != nil:
		n.actions = append(n.actions, Send{To: m.To, Kind: transport.Relay, Body: body})
	}
	return nil
}
