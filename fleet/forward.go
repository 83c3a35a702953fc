package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/proto"
)

// An attached front end asks the record through a control member that it has a link to, its home, and the record's leader answers
// through a control member that the process has a link to then. What comes for a process that has none is dropped: who waits for
// it asks again.

// forwarded is a message between an attached front end and the record's leader, on its way from one control member to another.
type forwarded struct {
	Process uint64         // the attached front end's
	Kind    transport.Kind // Ask to the leader; Answer or Note from it
	Body    []byte
}

func (f *forwarded) encode() []byte {
	b := make([]byte, 0, len(f.Body)+32)
	b = proto.Uint(b, 1, f.Process)
	b = proto.Uint(b, 2, uint64(f.Kind))
	return proto.Message(b, 3, f.Body)
}

func decodeForwarded(b []byte) (w forwarded, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			w.Process = f.Uint
		case 2:
			w.Kind = transport.Kind(min(f.Uint, 255))
		case 3:
			w.Body = f.Copy()
		}
		return nil
	})
	return w, err
}

// forwardAsk passes the question of an attached front end to who leads the record. Where none is known it is dropped.
func (n *Node) forwardAsk(l Link, body []byte) error {
	c, err := replication.DecodeCommand(body)
	if err != nil {
		return err
	}
	if uint64(c.Proposer) != l.Incarnation {
		return ErrProposerMismatch
	}
	switch leader := n.toLeader.target(); leader {
	case "":
		n.Undeliverable++
	case n.cfg.Name:
		n.Forwarded++
		n.replica.Propose(n.now, c)
	default:
		n.Forwarded++
		w := forwarded{l.Incarnation, transport.Proposal, body}
		n.tell(leader, transport.Forward, false, w.encode())
	}
	return nil
}

// takeForwarded takes what another control member passes on.
func (n *Node) takeForwarded(body []byte) error {
	w, err := decodeForwarded(body)
	if err != nil {
		return err
	}
	switch w.Kind {
	case transport.Proposal:
		c, err := replication.DecodeCommand(w.Body)
		if err != nil {
			return err
		}
		if uint64(c.Proposer) != w.Process {
			return ErrProposerMismatch
		}
		n.replica.Propose(n.now, c)
	case transport.Response:
		n.learnLeader(w.Body)
		n.deliver(w.Process, w.Kind, w.Body)
	case transport.Notification:
		n.deliver(w.Process, w.Kind, w.Body)
	default:
		return transport.ErrUnknownKind
	}
	return nil
}

// learnLeader has the next question of an attached front end go where a refusal points.
func (n *Node) learnLeader(answer []byte) {
	if a, err := replication.DecodeResponse(answer); err == nil && a.Result == replication.NotLeader && a.Leader != 0 {
		n.toLeader.redirected(a.Leader, "")
	}
}

// toAttached sends a message of the record to a process of an attached front end, by way of a control member that has a link to it.
func (n *Node) toAttached(process uint64, kind transport.Kind, body []byte) {
	if process == 0 { // of the leader itself
		return
	}
	home, ok := n.server.HomeOf(process)
	switch {
	case !ok:
		n.Undeliverable++
	case home == n.cfg.Name:
		n.deliver(process, kind, body)
	default:
		w := forwarded{process, kind, body}
		n.tell(home, transport.Forward, false, w.encode())
	}
}

// deliver sends a message over this control member's own link to an attached front end.
func (n *Node) deliver(process uint64, kind transport.Kind, body []byte) {
	held, ok := n.linked[process]
	if !ok {
		n.Undeliverable++
		return
	}
	n.actions = append(n.actions, Send{To: held.name, Incarnation: process, Kind: kind, Body: body})
}
