package peering

import (
	"crypto/rand"
	"fmt"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/eventloop"
)

const (
	// maxLinksPerMember is the number of inbound links allowed for each control member. More than one is needed because a
	// member may reconnect before its old link is found to be dead. Only the total of all members is enforced.
	maxLinksPerMember = 4
	// maxPendingHandshakes is the number of further links that may be in their handshake if front ends may attach.
	maxPendingHandshakes = 512
)

// linkListener accepts inbound links.
type linkListener struct {
	peering *Peering
	fd      int
}

func newLinkListener(p *Peering) (*linkListener, error) {
	fd, err := eventloop.Listen(p.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &linkListener{p, fd}
	return l, p.Host.Loop.Add(fd, unix.EPOLLIN, l)
}

// Ready accepts all pending connections, and closes them at once if there is no capacity for their links.
func (l *linkListener) Ready(uint32) {
	for {
		fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		}
		if err != nil {
			return
		}
		if !l.peering.hasLinkCapacity() {
			unix.Close(fd)
			l.peering.Host.Counters.PeerRejected++
			continue
		}
		l.accept(fd)
	}
}

// accept creates an inbound link and sends the challenge of its handshake.
func (l *linkListener) accept(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // a failure only costs latency
	in := l.newInboundLink(fd)
	if err := l.peering.Host.Loop.Add(fd, in.Interest, in); err != nil {
		in.Close()
		return
	}
	l.peering.inbound[in] = struct{}{}
	var nonce [16]byte
	_, _ = rand.Read(nonce[:]) // never fails
	in.writeHandshake(in.handshake.Challenge(nonce, l.peering.cfg.MaxMessageBytes))
}

func (l *linkListener) newInboundLink(fd int) *inboundLink {
	p := l.peering
	in := &inboundLink{
		lastReceived: p.Host.TurnTime,
		link:         fleet.Link{ChallengedAt: p.Host.Clock.Now()},
		handshake: &transport.Listener{
			Local:           p.self,
			Secret:          p.cfg.Secret,
			IsControlMember: func(name string) bool { return p.outbound[name] != nil },
			AcceptsAttached: p.acceptsAttached(),
		},
	}
	in.peering = p
	maxOutput := linkInputBytes // handshakes only
	if in.handshake.AcceptsAttached {
		maxOutput = linkOutputBytes
	}
	in.budget.Max = linkInputBytes + maxOutput
	in.open(fd, maxOutput, unix.EPOLLIN)
	return in
}

// hasLinkCapacity reports whether another link may be accepted. Established links of attached front ends do not count,
// as they have their own limit.
func (p *Peering) hasLinkCapacity() bool {
	maxLinks := maxLinksPerMember * (len(p.outbound) + 1)
	if p.acceptsAttached() {
		maxLinks += min(maxPendingHandshakes, p.maxAttachedLinks())
	}
	return len(p.inbound)-p.attachedLinks.count < maxLinks
}
