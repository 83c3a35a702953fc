package fleet

import (
	"errors"
	"fmt"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Errors of a peer that says what its role doesn't allow; the link is closed.
var (
	ErrProposerMismatch   = errors.New("fleet: a question in the name of another process")
	ErrAttachmentDisabled = errors.New("fleet: no front ends may attach here")
)

// linkedFrontEnd is an attached front end's process that has links to this control member.
type linkedFrontEnd struct {
	name  string
	links int
}

// attaching begins the part of a control member that others attach to, where the settings allow that.
func (n *Node) attaching() {
	if n.cfg.Membership != nil {
		n.server, n.linked = membership.NewServer(*n.cfg.Membership), map[uint64]linkedFrontEnd{}
	}
}

// MembershipServer is what serves the front ends that are attached here; nil where none may.
func (n *Node) MembershipServer() *membership.Server { return n.server }

// View is all front ends of both roles; nil where none may attach.
func (n *Node) View() *membership.View {
	if n.server == nil {
		return nil
	}
	return n.server.View()
}

// AttachedCount is how many processes of attached front ends have a link to this control member.
func (n *Node) AttachedCount() int { return len(n.linked) }

func (l *Link) attach() membership.Link {
	return membership.Link{From: l.From, Zone: l.Zone, Incarnation: l.Incarnation, ChallengedAt: l.ChallengedAt}
}

// LinkOpened tells that an attached front end has proven itself over a link.
func (n *Node) LinkOpened(now monotime.Micros, l Link) {
	if n.server == nil || !l.Attached {
		return
	}
	n.now = now
	held := n.linked[l.Incarnation]
	n.linked[l.Incarnation] = linkedFrontEnd{l.From, held.links + 1}
	n.server.LinkOpened(now, l.attach())
}

// LinkClosed tells that such a link is closed.
func (n *Node) LinkClosed(now monotime.Micros, l Link) {
	if n.server == nil || !l.Attached {
		return
	}
	n.now = now
	if held := n.linked[l.Incarnation]; held.links > 1 {
		n.linked[l.Incarnation] = linkedFrontEnd{held.name, held.links - 1}
	} else {
		delete(n.linked, l.Incarnation)
	}
	n.server.LinkClosed(now, l.attach())
}

// QueueFull tells that what waited for an attached front end was dropped for want of room.
func (n *Node) QueueFull(now monotime.Micros, name string, incarnation uint64) {
	n.now = now
	n.server.QueueFull(now, name, incarnation)
}

// receiveAttached takes a message of an attached front end, of which there are two kinds.
func (n *Node) receiveAttached(l Link, kind transport.Kind, body []byte) (err error) {
	switch {
	case n.server == nil:
		return ErrAttachmentDisabled
	case kind == transport.AttachedHeartbeat:
		err = n.server.Receive(n.now, l.attach(), membership.Heartbeat, body)
	case kind == transport.Proposal:
		err = n.forwardAsk(l, body)
	default:
		err = fmt.Errorf("%w: %s from an attached front end", transport.ErrUnknownKind, kind)
	}
	n.drain()
	return err
}

// receiveAttaching takes what control members tell one another of attached front ends.
func (n *Node) receiveAttaching(l Link, kind transport.Kind, body []byte) error {
	switch {
	case n.server == nil:
		return ErrAttachmentDisabled
	case kind == transport.Forward:
		return n.takeForwarded(body)
	case kind == transport.TablePull:
		return n.server.ReceiveFromControl(n.now, l.From, l.Incarnation, membership.TablePull, body)
	case kind == transport.TableUpdate:
		return n.server.ReceiveFromControl(n.now, l.From, l.Incarnation, membership.TableUpdate, body)
	}
	return fmt.Errorf("%w: %s from a control member", transport.ErrUnknownKind, kind)
}

// tickServer lets time pass for the attached front ends.
func (n *Node) tickServer() {
	if n.server == nil {
		return
	}
	if n.leaving {
		n.server.Leave()
	}
	n.controls = n.controls[:0]
	for _, m := range n.members.Peers() {
		n.controls = append(n.controls, controlMember(m))
	}
	n.server.Tick(n.now, n.controls)
}

// controlMember is a control member as package attach sees it.
func controlMember(m *heartbeat.Peer) membership.ControlMember {
	c := membership.ControlMember{Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, IndirectlyAlive: m.State == heartbeat.IndirectlyAlive, ChallengedAt: m.ChallengedAt}
	switch m.State {
	case heartbeat.Alive, heartbeat.IndirectlyAlive:
		c.State = membership.Alive
	case heartbeat.Suspect:
		c.State = membership.Suspect
	case heartbeat.Left:
		c.State = membership.Left
	default:
		c.State = membership.Dead
	}
	return c
}

// frameKind is the kind of frame that carries a message of package attach.
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

// drainServer turns what the server wants into this front end's actions.
func (n *Node) drainServer() {
	if n.server == nil {
		return
	}
	for _, m := range n.server.Actions() {
		if m.Incarnation == 0 {
			n.tell(m.To, frameKind(m.Kind), m.Bulk, m.Body)
			continue
		}
		n.actions = append(n.actions, Send{To: m.To, Incarnation: m.Incarnation, Kind: frameKind(m.Kind), Bulk: m.Bulk, Body: m.Body})
	}
	for _, l := range n.server.LinksToClose() {
		n.actions = append(n.actions, CloseLink{Link{From: l.From, Zone: l.Zone, Incarnation: l.Incarnation, ChallengedAt: l.ChallengedAt, Attached: true}})
	}
}

// ofMember says whether a process is, or was, one of a control member's; this one's too.
func (p presence) ofMember(i replication.Incarnation) bool {
	return uint64(i) == p.n.cfg.Incarnation || p.n.nameOfProcess(uint64(i)) != "" || p.Monitor.Superseded(uint64(i))
}

// gone says whether a process is held for no more: of a control member as its heartbeats tell, of an attached front end as the
// merged view tells.
func (n *Node) gone(incarnation uint64) bool {
	p := presence{n.members, n}
	if n.server == nil || p.ofMember(replication.Incarnation(incarnation)) {
		return n.members.PresumedDead(incarnation)
	}
	return n.server.View().PresumedDead(incarnation)
}
