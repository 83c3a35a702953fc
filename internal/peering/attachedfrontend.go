package peering

import (
	"log/slog"
	"slices"

	"chutechute/fleet"
	"chutechute/internal/config"
)

// startAttached builds an attached front end's node. It has no replica, no disk and no listener, and links with the
// control members that it chooses.
func (p *Peering) startAttached(cfg *config.Peers, incarnation uint64) {
	c := fleet.AttachedConfig{Membership: cfg.Attached.Config, RetryInterval: cfg.Node.RetryInterval}
	c.Membership.Incarnation, c.Membership.Seed = incarnation, p.Seed
	p.attachedNode = fleet.NewAttachedNode(c, func(topic string) {
		p.idempotencyClient.Notify(p.Host.TurnTime, topic)
	})
	p.fleetNode = p.attachedNode
	p.lastRefusals = map[string]string{}
}

// reconcileLinks closes an attached front end's links that its node does not want any more, and dials those that are
// missing.
func (p *Peering) reconcileLinks() {
	targets := p.attachedNode.Targets(p.Host.TurnTime)
	for name, l := range p.outbound {
		if !slices.Contains(targets, name) {
			p.abandonLink(l)
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

// dialTarget makes a link with a control member.
func (p *Peering) dialTarget(name string) {
	l := newOutboundLink(p, name, p.cfg.Members[name])
	l.lastRefusal = p.lastRefusals[name]
	p.outbound[name] = l
	l.dial()
}

// abandonLink closes a link that the attached node does not want any more.
func (p *Peering) abandonLink(l *outboundLink) {
	l.Close()
	delete(p.outbound, l.name)
	p.attachedNode.LinkClosed(p.Host.TurnTime, l.name)
}

// forgetLink removes an attached front end's link that is closed or could not be established. Its last refusal is
// kept for the next link with that control member, so that it is logged once.
func (p *Peering) forgetLink(l *outboundLink) {
	p.lastRefusals[l.name] = l.lastRefusal
	delete(p.outbound, l.name)
	p.attachedNode.LinkClosed(p.Host.TurnTime, l.name)
}

// receiveMessages passes the messages of a control member on to the attached node. After an error the link has to be
// closed.
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
