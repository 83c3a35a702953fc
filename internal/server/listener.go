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

// clientListener accepts clients.
type clientListener struct {
	server       *Server
	fd           int
	clients      map[*clientConn]struct{}
	deferred     []*clientConn // those with messages left over from this turn
	bufferBudget ring.Budget
	maxClients   int
	acceptPaused bool // for want of descriptors
	address      netip.AddrPort
}

func (s *Server) listenForClients() error {
	fd, err := eventloop.Listen(s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("listen: %s: %w", s.cfg.Listen, err)
	}
	s.listener.fd, s.listener.address = fd, s.cfg.Listen
	if in, ok := bound.(*unix.SockaddrInet4); ok { // port 0 has taken a free one
		s.listener.address = netip.AddrPortFrom(s.cfg.Listen.Addr(), uint16(in.Port))
	}
	return s.host.Loop.Add(fd, unix.EPOLLIN, s.listener)
}

// Ready accepts all who wait, and reads at once what they have already sent: the order of requests is
// that of their last bytes, and a connection read only in the next turn could lose its place.
//
// Without a descriptor the system does not say whether anybody waits. Who does is told of again in the next turn, so that only a
// turn's first accept makes room: after others it may be that nobody waits, and a newcomer that has said nothing yet would go.
func (l *clientListener) Ready(uint32) {
	for accepted := 0; ; accepted++ {
		fd, from, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == unix.EINTR || err == unix.ECONNABORTED:
		case err == unix.EAGAIN || err != nil && accepted > 0:
			return
		case err != nil:
			slog.Warn("accept", "error", err)
			if !l.evict() && !l.server.pool.freeDescriptor() {
				l.setAcceptPaused(true)
			}
			return
		case !l.hasCapacity():
			unix.Close(fd)
		default:
			l.admit(fd, from)
		}
	}
}

// hasCapacity says whether there is a place for one more client, and makes it where it can.
func (l *clientListener) hasCapacity() bool {
	if len(l.clients) >= l.maxClients && !l.evict() && l.server.freeDescriptors() <= 0 {
		return false
	}
	return l.server.freeDescriptors() > 0 || l.server.pool.freeDescriptor() || l.evict() || l.server.freeDescriptors() > -descriptorOverdraft
}

// admit begins a client's connection, and reads what it has sent by now.
func (l *clientListener) admit(fd int, from unix.Sockaddr) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it answers are only slower
	c := &clientConn{Stream: eventloop.NewStream(l.server.host.Loop, fd, thrift.MaxFrame+4, l.maxUnreadOutput(), &l.bufferBudget), listener: l,
		inFlight: map[int32]*gateway.Request{}, establishedAt: l.server.host.TurnTime, lastActivity: l.server.host.TurnTime, address: ipv4Number(from)}
	c.AlwaysInterest = unix.EPOLLRDHUP // its end, also while it is not read from
	c.Interest = unix.EPOLLIN | c.AlwaysInterest
	if err := l.server.host.Loop.Add(fd, c.Interest, c); err != nil {
		slog.Warn("accept", "error", err)
		c.Close()
		return
	}
	l.server.host.Counters.Accepted++
	l.clients[c] = struct{}{}
	if m := l.server.tls.material; m != nil && m.Config != nil {
		c.TLS = tlsio.Server(m.Config)
	}
	c.readNow()
}

// setAcceptPaused leaves who waits to connect waiting, where no descriptor is to be had, until the next tick: they would keep the loop from
// resting.
func (l *clientListener) setAcceptPaused(rest bool) {
	if l.acceptPaused == rest || l.fd < 0 {
		return
	}
	l.acceptPaused = rest
	want := uint32(unix.EPOLLIN)
	if rest {
		want = 0
		l.server.host.Counters.Rested++
	}
	l.server.host.Loop.Modify(l.fd, want)
}

// ipv4Number is a client's IPv4 address as a number.
func ipv4Number(from unix.Sockaddr) uint64 {
	if in, ok := from.(*unix.SockaddrInet4); ok {
		return uint64(binary.BigEndian.Uint32(in.Addr[:]))
	}
	return 0
}

// maxUnreadOutput is how much one client may leave unread, less than all may together.
func (l *clientListener) maxUnreadOutput() int { return min(maxUnreadOutput, l.bufferBudget.Most/4) }

// evict closes the connection that can best be done without. What has come on it is read first, since a request
// may be on its way: the rules hold it for taken, and others of its key wait for its end.
func (l *clientListener) evict() bool {
	for range maxEvictionAttempts {
		c := l.evictionCandidate()
		if c == nil {
			return false
		}
		c.readNow()
		switch spare := c.isIdle() && c.partialSince != l.server.host.TurnTime; {
		case c.ending || spare && l.server.freeDescriptors() <= 0:
			c.terminate()
		case spare: // a close over what crosses it would take back its last answers
			c.closeAfterResponses()
			return true
		}
		if c.Closed {
			return true
		}
	}
	return false
}

// evictionCandidate is a connection that has ended, one that has said nothing or half of something for a while, or one
// with nothing open; of these the one of longest standing. One that has only just come is about to send, unless
// such as these take half of all places.
func (l *clientListener) evictionCandidate() (least *clientConn) {
	silent := 0
	for c := range l.clients {
		if !c.receivedMessage && !c.ending {
			silent++
		}
	}
	rank := -1
	for c := range l.clients {
		r := 0
		switch old := l.server.host.TurnTime-c.lastActivity >= newConnectionGrace; {
		case c.ending:
			r = 4
		case !c.isIdle():
			continue
		case !c.receivedMessage && (old || silent > l.maxClients/2):
			r = 3
		case c.receivedMessage && c.partialSince != 0:
			r = 2
		case c.receivedMessage:
			r = 1
		}
		if r > rank || r == rank && c.lastActivity < least.lastActivity {
			least, rank = c, r
		}
	}
	return least
}

// closeLargest ends the client that holds the most storage, where all of it is taken.
func (l *clientListener) closeLargest() {
	var most *clientConn
	for c := range l.clients {
		if most == nil || c.In.Cap()+c.Out.Cap() > most.In.Cap()+most.Out.Cap() {
			most = c
		}
	}
	if most != nil {
		l.server.host.Counters.Relieved++
		slog.Warn("clients hold all the storage they may")
		most.terminate()
	}
}

// tick ends the connections whose time for a message, or for their end, is over.
func (l *clientListener) tick() {
	now := l.server.host.TurnTime
	l.setAcceptPaused(false)
	for c := range l.clients {
		switch {
		case c.ending && now-c.lastActivity >= lingerTimeout:
			c.terminate()
		case !c.shut && (!c.sentResponse && len(c.inFlight) == 0 && now-c.establishedAt >= firstMessageTimeout || c.partialSince != 0 && now-c.partialSince >= partialMessageTimeout):
			l.server.host.Counters.Silent++
			c.closeAfterResponses()
		case now-c.lastActivity >= bufferIdleTimeout:
			c.FreeBuffers()
		}
	}
}

// processDeferred goes on with the messages that a turn has left.
func (l *clientListener) processDeferred() {
	again := l.deferred
	l.deferred = nil
	for _, c := range again {
		c.deferred = false
		c.processMessages()
	}
}

func (l *clientListener) close() {
	l.server.host.Loop.CloseDescriptor(l.fd)
	l.fd = -1
}

// closeIdle ends the connections on which nothing is owed any more, as the front end ends: what has come on one by now is served, and
// what crosses its end is not taken, so that its client sends it again.
func (l *clientListener) closeIdle() {
	for c := range l.clients {
		if c.ending || !c.isIdle() {
			continue
		}
		if c.readNow(); c.isIdle() {
			c.closeAfterResponses()
		}
	}
}
