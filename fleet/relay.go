package fleet

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/transport"
)

// A link may fail in one direction only. Messages to a control member are therefore sent both directly and through a
// third control member, the relay, in two cases:
//
//   - Its heartbeats arrive here, but report that those of this front end do not arrive there. The relay is a control
//     member that it receives heartbeats from.
//   - Its heartbeats do not arrive here, but arrive at other control members. The relay is one of those.
//
// Only small messages are relayed, and a relay does not pass a message on to another relay. A message that arrives
// twice does no harm, so no guarantee depends on whether these decisions are right.

// send sends a message to a control member, and also relays it if the direct link is known to fail.
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

// relayFor returns the name of the control member through which messages to another one are relayed, empty if they are
// not relayed.
func (n *Node) relayFor(to string) string {
	peer, last := n.monitor.Lookup(to), n.lastHeartbeats[to]
	if peer == nil || last == nil || last.Incarnation != peer.Incarnation {
		return ""
	}
	switch {
	case peer.State == heartbeat.Alive && !n.reportsReceiptFrom(last, n.cfg.Name, n.cfg.Incarnation):
		return n.relayReceivedBy(peer, last)
	case peer.State == heartbeat.IndirectlyAlive:
		return n.relayReceiving(peer)
	}
	return ""
}

// reportsReceiptFrom reports whether, according to a heartbeat, its sender has recently received a heartbeat from a
// process.
func (n *Node) reportsReceiptFrom(m *controlHeartbeat, name string, incarnation uint64) bool {
	for _, report := range m.Reports {
		if report.Name == name {
			return report.Incarnation == incarnation && report.Age < n.cfg.Heartbeat.SuspectAfter
		}
	}
	return false
}

// relayReceivedBy returns the first other control member that a peer receives heartbeats from, according to the peer's
// last heartbeat. It prefers one that is alive.
func (n *Node) relayReceivedBy(peer *heartbeat.Peer, last *controlHeartbeat) string {
	var via *heartbeat.Peer
	for _, other := range n.monitor.Peers() {
		if other == peer || other.Incarnation == 0 || !n.reportsReceiptFrom(last, other.Name, other.Incarnation) {
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
		if n.reportsReceiptFrom(last, peer.Name, peer.Incarnation) {
			return other.Name
		}
	}
	return ""
}

// receiveRelay handles a relayed message: it processes one for this front end, and passes on one for another.
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
