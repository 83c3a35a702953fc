package peering

import (
	"log/slog"
	"slices"

	"chutechute/fleet"
	"chutechute/internal/config"
)

// startAttached creates an attached front end's fleet node. It has no replica, write-ahead log or listener, and chooses
// the control members that it links to.
func (p *Peering) startAttached(cfg *config.Peers, incarnation uint64) {
	c := fleet.AttachedConfig{Membership: cfg.Attached.Config, RetryInterval: cfg.Node.RetryInterval}
	c.Membership.Incarnation, c.Membership.Seed = incarnation, p.Seed
	p.attachedNode = fleet.NewAttachedNode(c, func(topic string) {
		p.idempotencyClient.Notify(p.Host.TurnTime, topic)
	})
	p.fleetNode = p.attachedNode
	p.lastHandshakeErrors = map[string]string{}
}

// reconcileLinks closes an attached front end's links to control members that are no longer targets of its node, dials
// the targets without a link, and logs a change of its home.
func (p *Peering) reconcileLinks() {
	targets := p.attachedNode.Targets(p.Host.TurnTime)
	for name, l := range p.outbound {
		if !slices.Contains(targets, name) {
			p.closeUnwantedLink(l)
		}
	}
	for _, name := range targets {
		if p.outbound[name] == nil {
			p.dialTarget(name)
		}
	}
	if home := p.attachedNode.Home(); home != p.lastHome {
		slog.Info("home changed", slog.String("previous_home", p.lastHome), slog.String(keyHome, home))
		p.lastHome = home
	}
}

// dialTarget creates and dials the link to a control member.
func (p *Peering) dialTarget(name string) {
	l := newOutboundLink(p, name, p.cfg.Members[name])
	l.lastHandshakeError = p.lastHandshakeErrors[name]
	p.outbound[name] = l
	l.dial()
}

// closeUnwantedLink closes a link to a control member that is no longer a target of the attached node.
func (p *Peering) closeUnwantedLink(l *outboundLink) {
	l.Close()
	delete(p.outbound, l.name)
	p.attachedNode.LinkClosed(p.Host.TurnTime, l.name)
}

// removeLink removes an attached front end's link that was closed or could not be established. Its latest handshake
// error is passed on to the next link to the same control member, so that a repeated error is logged once.
func (p *Peering) removeLink(l *outboundLink) {
	p.lastHandshakeErrors[l.name] = l.lastHandshakeError
	delete(p.outbound, l.name)
	p.attachedNode.LinkClosed(p.Host.TurnTime, l.name)
}

// receiveMessages passes a control member's messages on to the attached node. After an error the link must be closed.
func (l *outboundLink) receiveMessages() error {
	p := l.peering
	link := fleet.Link{From: l.name, Incarnation: l.handshake.Remote.Incarnation}
	for _, m := range l.handshake.TakeMessages() {
		p.traffic.countReceived(m)
		if err := p.attachedNode.Receive(p.Host.TurnTime, link, m.Kind, m.Body); err != nil {
			p.Host.Counters.PeerRejected++
			logProtocolError(l.name, err)
			return err
		}
	}
	return nil
}
