package peering

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	linkOut     = 256 << 10 // bytes of frames that a link hands to its socket ahead
	linkIn      = 64 << 10
	linkUrgent  = 8 << 20 // bytes that wait for a link
	linkDial    = 1000 * monotime.Millisecond
	linkShake   = 1000 * monotime.Millisecond
	linkStalled = 2000 * monotime.Millisecond // a link that takes nothing for so long is made anew
	linkRetry   = 50 * monotime.Millisecond   // doubled with each failure, up to
	linkRest    = 1000 * monotime.Millisecond
	mostLinks   = 4 // of one front end at a time, while old ones are noticed late; and all together
)

// outLink is the link to one front end, on which messages go there. It is made again whenever it breaks.
type outLink struct {
	eventloop.Stream
	p          *Peering
	name       string
	addr       netip.AddrPort
	shake      *transport.Dialer
	queue      transport.Queue
	budget     ring.Budget
	connecting bool
	since      monotime.Micros // of the dial, or of the last byte that was taken
	retry      monotime.Micros // when to dial again
	failures   int
	refused    string // the last reason for which a hello failed, so that it is logged once
}

func newOutLink(p *Peering, name string, addr netip.AddrPort) *outLink {
	l := &outLink{p: p, name: name, addr: addr, queue: transport.Queue{MaxUrgentBytes: linkUrgent, MaxBulkBytes: p.cfg.MostBulk}}
	l.Closed = true
	l.budget.Most = linkOut + linkIn
	return l
}

func (l *outLink) open() bool { return !l.Closed && !l.connecting && l.shake.Established() }

// push queues a message. Where the link is down it is lost, as it might be on the way: who needs it sends it again.
func (l *outLink) push(t fleet.Send) {
	if !l.open() || !l.queue.Push(t.Kind, t.Bulk, t.Body) {
		if l.open() {
			l.p.Host.Counters.PeerDropped++
		}
		if t.Kind == transport.Replication {
			l.p.node.SendFailed(l.name)
		}
		return
	}
	l.pour()
}

// pour hands to the socket what waits, as far as there is room.
func (l *outLink) pour() {
	if !l.open() {
		return
	}
	before := l.Out.Len()
	for l.Out.Len() < linkOut/2 {
		frame := l.queue.Pop()
		if frame == nil {
			break
		}
		if _, err := l.Out.Write(frame); err != nil {
			l.fail(err)
			return
		}
		l.p.traffic.sent(frame)
	}
	if before == 0 {
		l.since = l.p.Host.TurnTime
	}
	l.send()
}

func (l *outLink) send() {
	before := l.Out.Len()
	if err := l.Flush(); err != nil {
		l.fail(err)
		return
	}
	if l.Out.Len() < before || l.Out.Len() == 0 {
		l.since = l.p.Host.TurnTime
	}
	l.UpdateInterest(true)
}

func (l *outLink) dial() {
	l.since = l.p.Host.TurnTime
	fd, err := eventloop.Dial(l.addr)
	if err != nil {
		l.undialled()
		return
	}
	l.Stream = eventloop.NewStream(l.p.Host.Loop, fd, linkIn, linkOut, &l.budget)
	l.Counter = &l.p.traffic
	l.connecting, l.Interest = true, unix.EPOLLOUT
	l.shake = &transport.Dialer{Local: l.p.self, ExpectedName: l.name, Secret: l.p.cfg.Secret, MaxInbound: l.p.cfg.MostBulk}
	if err := l.p.Host.Loop.Add(fd, l.Interest, l); err != nil {
		l.fail(err)
	}
}

func (l *outLink) later() {
	l.failures++
	l.retry = l.p.Host.TurnTime + l.p.spread(min(linkRest, linkRetry<<min(l.failures, 5)))
}

// fail ends the link; what waited for it is gone.
func (l *outLink) fail(err error) {
	if l.shake != nil && !l.shake.Established() && !errors.Is(err, unix.ECONNREFUSED) && l.refused != err.Error() {
		l.refused = err.Error()
		slog.Warn("link", "to", l.name, "error", err)
	}
	l.Close()
	l.queue.Clear()
	l.lost()
}

var (
	errStalled = errors.New("peer: takes nothing")
	errSilent  = errors.New("peer: no hello in time")
	errEnded   = errors.New("peer: the other side ended the link")
)

func (l *outLink) tick() {
	now := l.p.Host.TurnTime
	switch {
	case l.Closed && now >= l.retry:
		l.dial()
	case l.Closed:
	case !l.open() && now-l.since >= linkDial+linkShake:
		l.fail(errSilent)
	case l.open() && l.Out.Len() > 0 && now-l.since >= linkStalled:
		l.fail(errStalled)
	}
}

func (l *outLink) Ready(events uint32) {
	if l.connecting {
		if err := eventloop.DialResult(l.FD); err != nil {
			l.fail(err)
			return
		}
		l.connecting = false
		l.UpdateInterest(true)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		l.send()
		l.pour()
	}
	if l.Closed || events&^unix.EPOLLOUT == 0 {
		return
	}
	more := l.Fill()
	was := l.shake.Established()
	l.shake.Feed(l.In.Bytes())
	l.In.Discard(l.In.Len())
	reply, err := l.shake.Process()
	if err == nil && len(reply) > 0 {
		if _, err = l.Out.Write(reply); err == nil {
			l.send()
		}
	}
	switch {
	case l.Closed:
	case err != nil:
		l.fail(err)
	case !more:
		l.fail(errEnded)
	case !was && l.shake.Established():
		l.failures, l.refused = 0, ""
		l.p.Host.Counters.PeerLinks++
		slog.Debug("link", "to", l.name, "incarnation", hex(l.shake.Remote.Incarnation))
		l.linked()
		l.pour()
	}
	if l.p.attached != nil && !l.Closed {
		if err := l.receive(); err != nil {
			l.fail(err)
		}
	}
}

// peerListener accepts the links on which other front ends send.
type peerListener struct {
	p  *Peering
	fd int
}

func newPeerListener(p *Peering) (*peerListener, error) {
	fd, err := eventloop.Listen(p.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &peerListener{p, fd}
	return l, p.Host.Loop.Add(fd, unix.EPOLLIN, l)
}

func (l *peerListener) Ready(uint32) {
	for {
		fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		}
		if err != nil {
			return
		}
		if !l.p.room() {
			unix.Close(fd)
			l.p.Host.Counters.PeerRejected++
			continue
		}
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it answers are only slower
		in := &inLink{p: l.p, since: l.p.Host.TurnTime, link: fleet.Link{ChallengedAt: l.p.Host.Clock.Now()}, shake: &transport.Listener{Local: l.p.self, Secret: l.p.cfg.Secret,
			IsControlMember: func(name string) bool { return l.p.out[name] != nil }, AcceptsAttached: l.p.attaches()}}
		out := linkIn
		if in.shake.AcceptsAttached {
			out = linkOut
		}
		in.budget.Most = linkIn + out
		in.Stream = eventloop.NewStream(l.p.Host.Loop, fd, linkIn, out, &in.budget)
		in.Counter = &l.p.traffic
		in.Interest = unix.EPOLLIN
		if err := l.p.Host.Loop.Add(fd, in.Interest, in); err != nil {
			in.Close()
			continue
		}
		l.p.in[in] = struct{}{}
		var nonce [16]byte
		_, _ = rand.Read(nonce[:]) // it never fails
		in.write(in.shake.Challenge(nonce, l.p.cfg.MostBulk))
	}
}

// inLink is a link on which another front end sends.
type inLink struct {
	eventloop.Stream
	p      *Peering
	shake  *transport.Listener
	budget ring.Budget
	since  monotime.Micros // of its connecting, or of the last bytes
	link   fleet.Link

	attached bool            // an attached front end's, to which messages go back
	queue    transport.Queue // of these
	taken    monotime.Micros // when the socket last took some of them
}

func (l *inLink) write(b []byte) {
	if len(b) == 0 || l.Closed {
		return
	}
	_, err := l.Out.Write(b)
	if err == nil {
		err = l.Flush()
	}
	if err != nil {
		l.end()
		return
	}
	l.UpdateInterest(true)
}

func (l *inLink) end() {
	l.Close()
	delete(l.p.in, l)
	l.parted()
}

// linkSilent is a link on which not even heartbeats come; the other side has made a new one, or is gone.
const linkSilent = 10000 * monotime.Millisecond

func (l *inLink) tick() {
	age := l.p.Host.TurnTime - l.since
	if !l.shake.Established() && age >= linkShake || age >= l.mostSilent() || l.stalled() {
		l.end()
	}
}

func (l *inLink) Ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := l.Flush(); err != nil {
			l.end()
			return
		}
		if l.attached {
			l.pour()
		}
	}
	more := true
	for round := 0; round < 16 && more && !l.Closed; round++ { // what is left comes in the next turn
		more = l.Fill()
		if l.In.Len() == 0 {
			break
		}
		l.since = l.p.Host.TurnTime
		l.shake.Feed(l.In.Bytes())
		l.In.Discard(l.In.Len())
		was := l.shake.Established()
		l.shake.AtCapacity = l.shake.AcceptsAttached && l.p.attachedIn >= l.p.attachedMost()
		reply, list, err := l.shake.Process()
		l.write(reply)
		if !was && l.shake.Established() && !l.Closed {
			l.proven()
		}
		for _, m := range list {
			l.p.traffic.took(m)
			if err == nil {
				err = l.p.node.Receive(l.p.Host.TurnTime, l.link, m.Kind, m.Body)
			}
		}
		if err != nil {
			l.rejected(err)
			l.end()
			return
		}
	}
	if l.Closed {
		return
	}
	if !more {
		l.end()
		return
	}
	l.UpdateInterest(true)
}
