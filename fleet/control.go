package fleet

import (
	"errors"
	"fmt"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// Errors of a peer that says what its role doesn't allow; the link is closed.
var (
	ErrAsker    = errors.New("fleet: a question in the name of another process")
	ErrAttached = errors.New("fleet: no front ends may attach here")
)

// linkedFrontEnd is an attached front end's process that has links to this control member.
type linkedFrontEnd struct {
	name  string
	links int
}

// attaching begins the part of a control member that others attach to, where the settings allow that.
func (n *Node) attaching() {
	if n.cfg.Attach != nil {
		n.server, n.linked = membership.NewServer(*n.cfg.Attach), map[uint64]linkedFrontEnd{}
	}
}

// Attaches is what serves the front ends that are attached here; nil where none may.
func (n *Node) Attaches() *membership.Server { return n.server }

// View is all front ends of both roles; nil where none may attach.
func (n *Node) View() *membership.View {
	if n.server == nil {
		return nil
	}
	return n.server.View()
}

// AttachedHere is how many processes of attached front ends have a link to this control member.
func (n *Node) AttachedHere() int { return len(n.linked) }

func (l *Link) attach() membership.Link {
	return membership.Link{From: l.From, Zone: l.Zone, Incarnation: l.Incarnation, Greeted: l.Greeted}
}

// Linked tells that an attached front end has proven itself over a link.
func (n *Node) Linked(now Micros, l Link) {
	if n.server == nil || !l.Attached {
		return
	}
	n.now = now
	held := n.linked[l.Incarnation]
	n.linked[l.Incarnation] = linkedFrontEnd{l.From, held.links + 1}
	n.server.Linked(now, l.attach())
}

// Unlinked tells that such a link is closed.
func (n *Node) Unlinked(now Micros, l Link) {
	if n.server == nil || !l.Attached {
		return
	}
	n.now = now
	if held := n.linked[l.Incarnation]; held.links > 1 {
		n.linked[l.Incarnation] = linkedFrontEnd{held.name, held.links - 1}
	} else {
		delete(n.linked, l.Incarnation)
	}
	n.server.Unlinked(now, l.attach())
}

// Refused tells that what waited for an attached front end was dropped for want of room.
func (n *Node) Refused(now Micros, name string, incarnation uint64) {
	n.now = now
	n.server.Refused(now, name, incarnation)
}

// receiveAttached takes a message of an attached front end, of which there are two kinds.
func (n *Node) receiveAttached(l Link, kind transport.Kind, body []byte) (err error) {
	switch {
	case n.server == nil:
		return ErrAttached
	case kind == transport.Heartbeat:
		err = n.server.Receive(n.now, l.attach(), membership.Heartbeat, body)
	case kind == transport.Ask:
		err = n.forwardAsk(l, body)
	default:
		err = fmt.Errorf("%w: %s from an attached front end", transport.ErrKind, kind)
	}
	n.drain()
	return err
}

// receiveAttaching takes what control members tell one another of attached front ends.
func (n *Node) receiveAttaching(l Link, kind transport.Kind, body []byte) error {
	switch {
	case n.server == nil:
		return ErrAttached
	case kind == transport.Forward:
		return n.takeForwarded(body)
	case kind == transport.Pull:
		return n.server.ReceiveControl(n.now, l.From, l.Incarnation, membership.Pull, body)
	case kind == transport.Table:
		return n.server.ReceiveControl(n.now, l.From, l.Incarnation, membership.Table, body)
	}
	return fmt.Errorf("%w: %s from a control member", transport.ErrKind, kind)
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
	for _, m := range n.members.List() {
		n.controls = append(n.controls, controlMember(m))
	}
	n.server.Tick(n.now, n.controls)
}

// controlMember is a control member as package attach sees it.
func controlMember(m *heartbeat.Member) membership.ControlMember {
	c := membership.ControlMember{Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, Cut: m.State == heartbeat.Cut, Challenged: m.Greeted}
	switch m.State {
	case heartbeat.Alive, heartbeat.Cut:
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
		return transport.Heartbeat
	case membership.Pull:
		return transport.Pull
	case membership.Table:
		return transport.Table
	}
	return transport.View
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
		n.actions = append(n.actions, Tell{To: m.To, Incarnation: m.Incarnation, Kind: frameKind(m.Kind), Bulk: m.Bulk, Body: m.Body})
	}
	for _, l := range n.server.Close() {
		n.actions = append(n.actions, CloseLink{Link{From: l.From, Zone: l.Zone, Incarnation: l.Incarnation, Greeted: l.Greeted, Attached: true}})
	}
}

// ofMember says whether a process is, or was, one of a control member's; this one's too.
func (p presence) ofMember(i replication.Incarnation) bool {
	return uint64(i) == p.n.cfg.Incarnation || p.n.nameOfProcess(uint64(i)) != "" || p.Set.Replaced(uint64(i))
}

// gone says whether a process is held for no more: of a control member as its heartbeats tell, of an attached front end as the
// merged view tells.
func (n *Node) gone(incarnation uint64) bool {
	p := presence{n.members, n}
	if n.server == nil || p.ofMember(replication.Incarnation(incarnation)) {
		return n.members.Gone(incarnation)
	}
	return n.server.View().Gone(incarnation)
}
