package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// An attached front end sends its proposals by way of a control member that it has a link to, its home, and the
// leader of the replicated log responds by way of a control member that the process has a link to by then. What is
// for a process without a link is dropped: its proposer sends the proposal again.

// forwardProposal passes a proposal of an attached front end on to the leader. It is dropped if no leader is known.
func (n *Node) forwardProposal(l Link, body []byte) error {
	command, err := decodeCommandOf(l.Incarnation, body)
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

// decodeCommandOf decodes the command of a proposal that has to come from the process.
func decodeCommandOf(process uint64, body []byte) (replication.Command, error) {
	command, err := replication.DecodeCommand(body)
	if err == nil && uint64(command.Proposer) != process {
		err = ErrProposerMismatch
	}
	return command, err
}

// receiveForward handles a message that another control member forwards.
func (n *Node) receiveForward(body []byte) error {
	m, err := decodeForwardMessage(body)
	if err != nil {
		return err
	}
	switch m.Kind {
	case transport.Proposal:
		command, err := decodeCommandOf(m.Process, m.Body)
		if err != nil {
			return err
		}
		n.replica.Propose(n.now, command)
	case transport.Response:
		n.learnLeader(m.Body)
		n.sendToLinked(m.Process, m.Kind, m.Body)
	case transport.Notification:
		n.sendToLinked(m.Process, m.Kind, m.Body)
	default:
		return transport.ErrUnknownKind
	}
	return nil
}

// learnLeader has the next proposals go to the leader that a forwarded response names.
func (n *Node) learnLeader(body []byte) {
	response, err := replication.DecodeResponse(body)
	if err == nil && response.Result == replication.NotLeader && response.Leader != 0 {
		n.leaderRoute.redirect(response.Leader, "")
	}
}

// forwardToAttached sends a message of the replicated log to a process of an attached front end, by way of a control
// member that has a link to it.
func (n *Node) forwardToAttached(process uint64, kind transport.Kind, body []byte) {
	if process == 0 { // the leader's own command, which nobody waits for
		return
	}
	home, ok := n.server.HomeOf(process)
	switch {
	case !ok:
		n.Undeliverable++
	case home == n.cfg.Name:
		n.sendToLinked(process, kind, body)
	default:
		m := forwardMessage{process, kind, body}
		n.send(home, transport.Forward, false, m.encode())
	}
}

// sendToLinked sends a message over this control member's own link to a process of an attached front end.
func (n *Node) sendToLinked(process uint64, kind transport.Kind, body []byte) {
	linked, ok := n.linked[process]
	if !ok {
		n.Undeliverable++
		return
	}
	n.actions = append(n.actions, Send{To: linked.name, Incarnation: process, Kind: kind, Body: body})
}
