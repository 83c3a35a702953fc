package server

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/eventloop"
	"chutechute/internal/ring"
	"chutechute/internal/thrift"
	"chutechute/internal/tlsio"
)

// listener accepts clients.
type listener struct {
	s       *Server
	fd      int
	clients map[*client]struct{}
	again   []*client // those with messages left over from this turn
	budget  ring.Budget
	most    int
	resting bool // for want of descriptors
	addr    netip.AddrPort
}

func (s *Server) listen() error {
	fd, err := eventloop.Listen(s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("listen: %s: %w", s.cfg.Listen, err)
	}
	s.listener.fd, s.listener.addr = fd, s.cfg.Listen
	if in, ok := bound.(*unix.SockaddrInet4); ok { // port 0 has taken a free one
		s.listener.addr = netip.AddrPortFrom(s.cfg.Listen.Addr(), uint16(in.Port))
	}
	return s.Loop.Add(fd, unix.EPOLLIN, s.listener)
}

// Ready accepts all who wait, and reads at once what they have already sent: the order of requests is
// that of their last bytes, and a connection read only in the next turn could lose its place.
//
// Without a descriptor the system does not say whether anybody waits. Who does is told of again in the next turn, so that only a
// turn's first accept makes room: after others it may be that nobody waits, and a newcomer that has said nothing yet would go.
func (l *listener) Ready(uint32) {
	for accepted := 0; ; accepted++ {
		fd, from, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == unix.EINTR || err == unix.ECONNABORTED:
		case err == unix.EAGAIN || err != nil && accepted > 0:
			return
		case err != nil:
			slog.Warn("accept", "error", err)
			if !l.evict() && !l.s.pool.makeRoom() {
				l.rest(true)
			}
			return
		case !l.hasPlace():
			unix.Close(fd)
		default:
			l.admit(fd, from)
		}
	}
}

// hasPlace says whether there is a place for one more client, and makes it where it can.
func (l *listener) hasPlace() bool {
	if len(l.clients) >= l.most && !l.evict() && l.s.unused() <= 0 {
		return false
	}
	return l.s.unused() > 0 || l.s.pool.makeRoom() || l.evict() || l.s.unused() > -overdraft
}

// admit begins a client's connection, and reads what it has sent by now.
func (l *listener) admit(fd int, from unix.Sockaddr) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it answers are only slower
	c := &client{Stream: eventloop.NewStream(l.s.Loop, fd, thrift.MaxFrame+4, l.maxUnread(), &l.budget), l: l,
		open: map[int32]*gateway.Request{}, born: l.s.TurnTime, since: l.s.TurnTime, address: address(from)}
	c.AlwaysInterest = unix.EPOLLRDHUP // its end, also while it is not read from
	c.Interest = unix.EPOLLIN | c.AlwaysInterest
	if err := l.s.Loop.Add(fd, c.Interest, c); err != nil {
		slog.Warn("accept", "error", err)
		c.Close()
		return
	}
	l.s.Counters.Accepted++
	l.clients[c] = struct{}{}
	if m := l.s.security.material; m != nil && m.Config != nil {
		c.TLS = tlsio.Server(m.Config)
	}
	c.look()
}

// rest leaves who waits to connect waiting, where no descriptor is to be had, until the next tick: they would keep the loop from
// resting.
func (l *listener) rest(rest bool) {
	if l.resting == rest || l.fd < 0 {
		return
	}
	l.resting = rest
	want := uint32(unix.EPOLLIN)
	if rest {
		want = 0
		l.s.Counters.Rested++
	}
	l.s.Loop.Modify(l.fd, want)
}

// address is a client's IPv4 address as a number.
func address(from unix.Sockaddr) uint64 {
	if in, ok := from.(*unix.SockaddrInet4); ok {
		return uint64(binary.BigEndian.Uint32(in.Addr[:]))
	}
	return 0
}

// maxUnread is how much one client may leave unread, less than all may together.
func (l *listener) maxUnread() int { return min(maxUnread, l.budget.Most/4) }

// evict closes the connection that can best be done without. What has come on it is read first, since a request
// may be on its way: the rules hold it for taken, and others of its key wait for its end.
func (l *listener) evict() bool {
	for range mostLooks {
		c := l.leastNeeded()
		if c == nil {
			return false
		}
		c.look()
		switch spare := c.idle() && c.part != l.s.TurnTime; {
		case c.ending || spare && l.s.unused() <= 0:
			c.end()
		case spare: // a close over what crosses it would take back its last answers
			c.hangUp()
			return true
		}
		if c.Closed {
			return true
		}
	}
	return false
}

// leastNeeded is a connection that has ended, one that has said nothing or half of something for a while, or one
// with nothing open; of these the one of longest standing. One that has only just come is about to send, unless
// such as these take half of all places.
func (l *listener) leastNeeded() (least *client) {
	silent := 0
	for c := range l.clients {
		if !c.spoke && !c.ending {
			silent++
		}
	}
	rank := -1
	for c := range l.clients {
		r := 0
		switch old := l.s.TurnTime-c.since >= freshFor; {
		case c.ending:
			r = 4
		case !c.idle():
			continue
		case !c.spoke && (old || silent > l.most/2):
			r = 3
		case c.spoke && c.part != 0:
			r = 2
		case c.spoke:
			r = 1
		}
		if r > rank || r == rank && c.since < least.since {
			least, rank = c, r
		}
	}
	return least
}

// relieve ends the client that holds the most storage, where all of it is taken.
func (l *listener) relieve() {
	var most *client
	for c := range l.clients {
		if most == nil || c.In.Cap()+c.Out.Cap() > most.In.Cap()+most.Out.Cap() {
			most = c
		}
	}
	if most != nil {
		l.s.Counters.Relieved++
		slog.Warn("clients hold all the storage they may")
		most.end()
	}
}

// tick ends the connections whose time for a message, or for their end, is over.
func (l *listener) tick() {
	now := l.s.TurnTime
	l.rest(false)
	for c := range l.clients {
		switch {
		case c.ending && now-c.since >= lingerMost:
			c.end()
		case !c.shut && (!c.told && len(c.open) == 0 && now-c.born >= silentMost || c.part != 0 && now-c.part >= partMost):
			l.s.Counters.Silent++
			c.hangUp()
		case now-c.since >= freeAfter:
			c.FreeBuffers()
		}
	}
}

// leftOver goes on with the messages that a turn has left.
func (l *listener) leftOver() {
	again := l.again
	l.again = nil
	for _, c := range again {
		c.queued = false
		c.read()
	}
}

func (l *listener) close() {
	l.s.Loop.CloseDescriptor(l.fd)
	l.fd = -1
}

// part ends the connections on which nothing is owed any more, as the front end ends: what has come on one by now is served, and
// what crosses its end is not taken, so that its client sends it again.
func (l *listener) part() {
	for c := range l.clients {
		if c.ending || !c.idle() {
			continue
		}
		if c.look(); c.idle() {
			c.hangUp()
		}
	}
}
