package peering

import (
	"log/slog"
	"slices"

	"chutechute/fleet"
	"chutechute/internal/config"
)

// attach builds an attached front end's part: no record, no disk, no listener, and links to the control members of its choice.
func (p *Peering) attach(cfg *config.Peers, incarnation uint64) {
	c := fleet.AttachedConfig{Membership: cfg.Attached.Config, RetryInterval: cfg.Node.RetryInterval}
	c.Membership.Incarnation, c.Membership.Seed = incarnation, p.Seed
	p.attached = fleet.NewAttachedNode(c, func(about string) { p.records.Notify(p.Host.TurnTime, about) })
	p.part = p.attached
	p.refused = map[string]string{}
}

// follow keeps links to the control members that an attached front end wants to have links with, and to no others.
func (p *Peering) follow() {
	targets := p.attached.Targets(p.Host.TurnTime)
	for name, l := range p.out {
		if !slices.Contains(targets, name) {
			l.give()
		}
	}
	for _, name := range targets {
		if p.out[name] == nil {
			l := newOutLink(p, name, p.cfg.Others[name])
			l.refused = p.refused[name]
			p.out[name] = l
			l.dial()
		}
	}
	if home := p.attached.Home(); home != p.home {
		slog.Info("home", "from", p.home, "to", home)
		p.home = home
	}
}

// give ends a link that is wanted no more.
func (l *outLink) give() {
	l.Close()
	delete(l.p.out, l.name)
	l.p.attached.LinkClosed(l.p.Host.TurnTime, l.name)
}

// linked tells an attached front end's part that a link is open.
func (l *outLink) linked() {
	if l.p.attached != nil {
		l.p.attached.LinkOpened(l.p.Host.TurnTime, l.name, l.shake.Remote.Incarnation)
	}
}

// receive hands an attached front end's part what a control member has sent.
func (l *outLink) receive() error {
	for _, m := range l.shake.Messages() {
		l.p.traffic.took(m)
		from := fleet.Link{From: l.name, Incarnation: l.shake.Remote.Incarnation}
		if err := l.p.attached.Receive(l.p.Host.TurnTime, from, m.Kind, m.Body); err != nil {
			l.p.Host.Counters.PeerRejected++
			slog.Warn("link closed for what came", "from", l.name, "error", err)
			return err
		}
	}
	return nil
}

// lost tells that a link is closed or could not be opened. That of an attached front end is not made anew by itself: which control
// member is dialled when is its part's to say.
func (l *outLink) lost() {
	if l.p.attached == nil {
		l.later()
		l.p.node.SendFailed(l.name)
		return
	}
	l.p.refused[l.name] = l.refused
	delete(l.p.out, l.name)
	l.p.attached.LinkClosed(l.p.Host.TurnTime, l.name)
}

// undialled is lost for a link whose dialling failed at once, of which a copy of the record need not hear.
func (l *outLink) undialled() {
	if l.p.attached == nil {
		l.later()
		return
	}
	l.lost()
}
