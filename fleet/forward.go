package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// An attached front end sends its proposals to its home, a control member that it has a link to, which forwards them
// to the leader of the replicated log. The leader sends the response through whichever control member has a link to the
// proposer by then. A response to a process without a link is dropped; the process then sends its proposal again.

// forwardProposal forwards a proposal of an attached front end to the leader. It drops the proposal if no leader is
// known.
func (n *Node) forwardProposal(l Link, body []byte) error {
	command, err := decodeCommandFrom(l.Incarnation, body)
	if err != nil {
		return err
	}
	switch leader := n.leaderRoute.target(); leader {
	case "":
		n.Undeliverable++
	case n.cfg.Name:
		n.Forwarded++
		n.replica.Propose(n.now, command)
	default:
		n.Forwarded++
		m := forwardMessage{l.Incarnation, transport.Proposal, body}
		n.send(leader, transport.Forward, false, m.encode())
	}
	return nil
}

// decodeCommandFrom decodes the command of a proposal, and returns ErrProposerMismatch if the proposer is not the given
// process.
func decodeCommandFrom(incarnation uint64, body []byte) (replication.Command, error) {
	command, err := replication.DecodeCommand(body)
	if err == nil && uint64(command.Proposer) != incarnation {
		err = ErrProposerMismatch
	}
	return command, err
}

// receiveForward handles a message from or to an attached front end that another control member forwards.
func (n *Node) receiveForward(body []byte) error {
	m, err := decodeForwardMessage(body)
	if err != nil {
		return err
	}
	switch m.Kind {
	case transport.Proposal:
		command, err := decodeCommandFrom(m.Incarnation, m.Body)
		if err != nil {
			return err
		}
		n.replica.Propose(n.now, command)
	case transport.Response:
		n.learnLeader(m.Body)
		n.sendToLinked(m.Incarnation, m.Kind, m.Body)
	case transport.Notification:
		n.sendToLinked(m.Incarnation, m.Kind, m.Body)
	default:
		return transport.ErrUnknownKind
	}
	return nil
}

// learnLeader directs further proposals to the leader that a forwarded response names.
func (n *Node) learnLeader(body []byte) {
	response, err := replication.DecodeResponse(body)
	if err == nil && response.Result == replication.NotLeader && response.Leader != 0 {
		n.leaderRoute.redirect(response.Leader, "")
	}
}

// forwardToAttached sends a message of the replicated log to a process of an attached front end, through a control
// member that has a link to it.
func (n *Node) forwardToAttached(incarnation uint64, kind transport.Kind, body []byte) {
	if incarnation == 0 { // for a command that the leader itself proposed: no process waits for the response
		return
	}
	home, ok := n.server.HomeOf(incarnation)
	switch {
	case !ok:
		n.Undeliverable++
	case home == n.cfg.Name:
		n.sendToLinked(incarnation, kind, body)
	default:
		m := forwardMessage{incarnation, kind, body}
		n.send(home, transport.Forward, false, m.encode())
	}
}

// sendToLinked sends a message over this control member's own link to a process of an attached front end.
func (n *Node) sendToLinked(incarnation uint64, kind transport.Kind, body []byte) {
	linked, ok := n.linked[incarnation]
	if !ok {
		n.Undeliverable++
		return
	}
	n.actions = append(n.actions, Send{To: linked.name, Incarnation: incarnation, Kind: kind, Body: body})
}
