package epoll

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	linkOut     = 256 << 10 // bytes of frames that a link hands to its socket ahead
	linkIn      = 64 << 10
	linkUrgent  = 8 << 20 // bytes that wait for a link
	linkDial    = 1000 * ms
	linkShake   = 1000 * ms
	linkStalled = 2000 * ms // a link that takes nothing for so long is made anew
	linkRetry   = 50 * ms   // doubled with each failure, up to
	linkRest    = 1000 * ms
	mostLinks   = 4 // of one front end at a time, while old ones are noticed late; and all together
)

// outLink is the link to one front end, on which messages go there. It is made again whenever it breaks.
type outLink struct {
	stream
	p          *peers
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

func newOutLink(p *peers, name string, addr netip.AddrPort) *outLink {
	l := &outLink{p: p, name: name, addr: addr, queue: transport.Queue{MaxUrgentBytes: linkUrgent, MaxBulkBytes: p.cfg.MostBulk}}
	l.closed = true
	l.budget.Most = linkOut + linkIn
	return l
}

func (l *outLink) open() bool { return !l.closed && !l.connecting && l.shake.Established() }

// push queues a message. Where the link is down it is lost, as it might be on the way: who needs it sends it again.
func (l *outLink) push(t fleet.Send) {
	if !l.open() || !l.queue.Push(t.Kind, t.Bulk, t.Body) {
		if l.open() {
			l.p.host.count.PeerDropped++
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
	before := l.out.Len()
	for l.out.Len() < linkOut/2 {
		frame := l.queue.Pop()
		if frame == nil {
			break
		}
		if _, err := l.out.Write(frame); err != nil {
			l.fail(err)
			return
		}
		l.p.traffic.sent(frame)
	}
	if before == 0 {
		l.since = l.p.host.now
	}
	l.send()
}

func (l *outLink) send() {
	before := l.out.Len()
	if err := l.flush(); err != nil {
		l.fail(err)
		return
	}
	if l.out.Len() < before || l.out.Len() == 0 {
		l.since = l.p.host.now
	}
	l.watch(true)
}

func (l *outLink) dial() {
	l.since = l.p.host.now
	fd, err := dial(l.addr)
	if err != nil {
		l.undialled()
		return
	}
	l.stream = newStream(l.p.host.loop, fd, linkIn, linkOut, &l.budget)
	l.traffic = &l.p.traffic
	l.connecting, l.want = true, unix.EPOLLOUT
	l.shake = &transport.Dialer{Local: l.p.self, ExpectedName: l.name, Secret: l.p.cfg.Secret, MaxInbound: l.p.cfg.MostBulk}
	if err := l.p.host.loop.add(fd, l.want, l); err != nil {
		l.fail(err)
	}
}

func (l *outLink) later() {
	l.failures++
	l.retry = l.p.host.now + l.p.spread(min(linkRest, linkRetry<<min(l.failures, 5)))
}

// fail ends the link; what waited for it is gone.
func (l *outLink) fail(err error) {
	if l.shake != nil && !l.shake.Established() && !errors.Is(err, unix.ECONNREFUSED) && l.refused != err.Error() {
		l.refused = err.Error()
		slog.Warn("link", "to", l.name, "error", err)
	}
	l.close()
	l.queue.Clear()
	l.lost()
}

var (
	errStalled = errors.New("peer: takes nothing")
	errSilent  = errors.New("peer: no hello in time")
	errEnded   = errors.New("peer: the other side ended the link")
)

func (l *outLink) tick() {
	now := l.p.host.now
	switch {
	case l.closed && now >= l.retry:
		l.dial()
	case l.closed:
	case !l.open() && now-l.since >= linkDial+linkShake:
		l.fail(errSilent)
	case l.open() && l.out.Len() > 0 && now-l.since >= linkStalled:
		l.fail(errStalled)
	}
}

func (l *outLink) ready(events uint32) {
	if l.connecting {
		if err := dialled(l.fd); err != nil {
			l.fail(err)
			return
		}
		l.connecting = false
		l.watch(true)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		l.send()
		l.pour()
	}
	if l.closed || events&^unix.EPOLLOUT == 0 {
		return
	}
	more := l.fill()
	was := l.shake.Established()
	l.shake.Feed(l.in.Bytes())
	l.in.Discard(l.in.Len())
	reply, err := l.shake.Process()
	if err == nil && len(reply) > 0 {
		if _, err = l.out.Write(reply); err == nil {
			l.send()
		}
	}
	switch {
	case l.closed:
	case err != nil:
		l.fail(err)
	case !more:
		l.fail(errEnded)
	case !was && l.shake.Established():
		l.failures, l.refused = 0, ""
		l.p.host.count.PeerLinks++
		slog.Debug("link", "to", l.name, "incarnation", hex(l.shake.Remote.Incarnation))
		l.linked()
		l.pour()
	}
	if l.p.attached != nil && !l.closed {
		if err := l.receive(); err != nil {
			l.fail(err)
		}
	}
}

// peerListener accepts the links on which other front ends send.
type peerListener struct {
	p  *peers
	fd int
}

func newPeerListener(p *peers) (*peerListener, error) {
	fd, err := listenAt(p.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &peerListener{p, fd}
	return l, p.host.loop.add(fd, unix.EPOLLIN, l)
}

func (l *peerListener) ready(uint32) {
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
			l.p.host.count.PeerRejected++
			continue
		}
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it answers are only slower
		in := &inLink{p: l.p, since: l.p.host.now, link: fleet.Link{ChallengedAt: l.p.host.clock.now()}, shake: &transport.Listener{Local: l.p.self, Secret: l.p.cfg.Secret,
			IsControlMember: func(name string) bool { return l.p.out[name] != nil }, AcceptsAttached: l.p.attaches()}}
		out := linkIn
		if in.shake.AcceptsAttached {
			out = linkOut
		}
		in.budget.Most = linkIn + out
		in.stream = newStream(l.p.host.loop, fd, linkIn, out, &in.budget)
		in.traffic = &l.p.traffic
		in.want = unix.EPOLLIN
		if err := l.p.host.loop.add(fd, in.want, in); err != nil {
			in.close()
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
	stream
	p      *peers
	shake  *transport.Listener
	budget ring.Budget
	since  monotime.Micros // of its connecting, or of the last bytes
	link   fleet.Link

	attached bool            // an attached front end's, to which messages go back
	queue    transport.Queue // of these
	taken    monotime.Micros // when the socket last took some of them
}

func (l *inLink) write(b []byte) {
	if len(b) == 0 || l.closed {
		return
	}
	_, err := l.out.Write(b)
	if err == nil {
		err = l.flush()
	}
	if err != nil {
		l.end()
		return
	}
	l.watch(true)
}

func (l *inLink) end() {
	l.close()
	delete(l.p.in, l)
	l.parted()
}

// linkSilent is a link on which not even heartbeats come; the other side has made a new one, or is gone.
const linkSilent = 10000 * ms

func (l *inLink) tick() {
	age := l.p.host.now - l.since
	if !l.shake.Established() && age >= linkShake || age >= l.mostSilent() || l.stalled() {
		l.end()
	}
}

func (l *inLink) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := l.flush(); err != nil {
			l.end()
			return
		}
		if l.attached {
			l.pour()
		}
	}
	more := true
	for round := 0; round < 16 && more && !l.closed; round++ { // what is left comes in the next turn
		more = l.fill()
		if l.in.Len() == 0 {
			break
		}
		l.since = l.p.host.now
		l.shake.Feed(l.in.Bytes())
		l.in.Discard(l.in.Len())
		was := l.shake.Established()
		l.shake.AtCapacity = l.shake.AcceptsAttached && l.p.attachedIn >= l.p.attachedMost()
		reply, list, err := l.shake.Process()
		l.write(reply)
		if !was && l.shake.Established() && !l.closed {
			l.proven()
		}
		for _, m := range list {
			l.p.traffic.took(m)
			if err == nil {
				err = l.p.node.Receive(l.p.host.now, l.link, m.Kind, m.Body)
			}
		}
		if err != nil {
			l.rejected(err)
			l.end()
			return
		}
	}
	if l.closed {
		return
	}
	if !more {
		l.end()
		return
	}
	l.watch(true)
}
