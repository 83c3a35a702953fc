package fleet

import (
	"errors"
	"fmt"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Errors for messages that the remote side's role does not allow. The caller closes the link.
var (
	ErrProposerMismatch   = errors.New("fleet: proposer does not match the sending process")
	ErrAttachmentDisabled = errors.New("fleet: no front ends may attach here")
)

// linkedFrontEnd is a process of an attached front end that has links to this control member.
type linkedFrontEnd struct {
	name  string
	links int // number of open links
}

// MembershipServer returns the server for the front ends that are attached here, nil if none may attach.
func (n *Node) MembershipServer() *membership.Server { return n.server }

// View returns the merged view of the front ends of both roles, nil if none may attach.
func (n *Node) View() *membership.View {
	if n.server == nil {
		return nil
	}
	return n.server.View()
}

// AttachedCount returns the number of processes of attached front ends that have a link to this control member.
func (n *Node) AttachedCount() int { return len(n.linked) }

// membershipLink converts a link of an attached front end to the type of package membership.
func (l *Link) membershipLink() membership.Link {
	return membership.Link{From: l.From, Zone: l.Zone, Incarnation: l.Incarnation, ChallengedAt: l.ChallengedAt}
}

// attachedLink is the inverse of membershipLink.
func attachedLink(l membership.Link) Link {
	return Link{From: l.From, Zone: l.Zone, Incarnation: l.Incarnation, ChallengedAt: l.ChallengedAt, Attached: true}
}

// LinkOpened records that an attached front end has established a link. It ignores links of control members.
func (n *Node) LinkOpened(now monotime.Micros, l Link) {
	if n.server == nil || !l.Attached {
		return
	}
	n.now = now
	links := n.linked[l.Incarnation].links + 1
	n.linked[l.Incarnation] = linkedFrontEnd{l.From, links}
	n.server.LinkOpened(now, l.membershipLink())
}

// LinkClosed records that a link of an attached front end was closed. It ignores links of control members.
func (n *Node) LinkClosed(now monotime.Micros, l Link) {
	if n.server == nil || !l.Attached {
		return
	}
	n.now = now
	if linked := n.linked[l.Incarnation]; linked.links > 1 {
		n.linked[l.Incarnation] = linkedFrontEnd{linked.name, linked.links - 1}
	} else {
		delete(n.linked, l.Incarnation)
	}
	n.server.LinkClosed(now, l.membershipLink())
}

// QueueFull records that messages to a process of an attached front end were dropped because its queue was full.
func (n *Node) QueueFull(now monotime.Micros, name string, incarnation uint64) {
	n.now = now
	n.server.QueueFull(now, name, incarnation)
}

// receiveFromAttached handles a message from an attached front end, which may send only heartbeats and proposals.
func (n *Node) receiveFromAttached(l Link, kind transport.Kind, body []byte) (err error) {
	switch {
	case n.server == nil:
		return ErrAttachmentDisabled
	case kind == transport.AttachedHeartbeat:
		err = n.server.Receive(n.now, l.membershipLink(), membership.Heartbeat, body)
	case kind == transport.Proposal:
		err = n.forwardProposal(l, body)
	default:
		err = fmt.Errorf("%w: %s from an attached front end", transport.ErrUnknownKind, kind)
	}
	n.collectActions()
	return err
}

// receiveMembership handles a message from another control member that concerns attached front ends.
func (n *Node) receiveMembership(l Link, kind transport.Kind, body []byte) error {
	switch {
	case n.server == nil:
		return ErrAttachmentDisabled
	case kind == transport.Forward:
		return n.receiveForward(body)
	case kind == transport.TablePull:
		return n.server.ReceiveFromControl(n.now, l.From, l.Incarnation, membership.TablePull, body)
	case kind == transport.TableUpdate:
		return n.server.ReceiveFromControl(n.now, l.From, l.Incarnation, membership.TableUpdate, body)
	}
	return fmt.Errorf("%w: %s from a control member", transport.ErrUnknownKind, kind)
}

// tickServer passes the current states of the control members to the membership server and ticks it.
func (n *Node) tickServer() {
	if n.server == nil {
		return
	}
	if n.leaving {
		n.server.Leave()
	}
	n.controlMembers = n.controlMembers[:0]
	for _, peer := range n.monitor.Peers() {
		n.controlMembers = append(n.controlMembers, controlMember(peer))
	}
	n.server.Tick(n.now, n.controlMembers)
}

// controlMember converts a peer to the type of package membership.
func controlMember(peer *heartbeat.Peer) membership.ControlMember {
	return membership.ControlMember{
		Name:            peer.Name,
		Zone:            peer.Zone,
		Incarnation:     peer.Incarnation,
		State:           membershipState(peer.State),
		IndirectlyAlive: peer.State == heartbeat.IndirectlyAlive,
		ChallengedAt:    peer.ChallengedAt,
	}
}

// membershipState converts a peer's state to the type of package membership.
func membershipState(s heartbeat.State) membership.State {
	switch s {
	case heartbeat.Alive, heartbeat.IndirectlyAlive:
		return membership.Alive
	case heartbeat.Suspect:
		return membership.Suspect
	case heartbeat.Left:
		return membership.Left
	}
	return membership.Dead
}

// frameKind returns the kind of frame that carries a message of package membership.
func frameKind(k membership.Kind) transport.Kind {
	switch k {
	case membership.Heartbeat:
		return transport.AttachedHeartbeat
	case membership.TablePull:
		return transport.TablePull
	case membership.TableUpdate:
		return transport.TableUpdate
	}
	return transport.ViewUpdate
}

// collectServerActions converts the membership server's messages and links to close to actions of this node.
func (n *Node) collectServerActions() {
	if n.server == nil {
		return
	}
	for _, m := range n.server.TakeMessages() {
		if m.Incarnation == 0 {
			n.send(m.To, frameKind(m.Kind), m.Bulk, m.Body)
			continue
		}
		n.actions = append(n.actions, Send{
			To:          m.To,
			Incarnation: m.Incarnation,
			Kind:        frameKind(m.Kind),
			Bulk:        m.Bulk,
			Body:        m.Body,
		})
	}
	for _, l := range n.server.TakeLinksToClose() {
		n.actions = append(n.actions, CloseLink{attachedLink(l)})
	}
}
