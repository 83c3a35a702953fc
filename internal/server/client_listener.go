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

const (
	maxUnreadOutput = 2 << 20 // bytes of responses that a client may leave unread
	// unreadOutputFraction is the part of the buffers of all clients that one of them may leave unread, one in so many.
	unreadOutputFraction = 4
	frameLengthSize      = 4  // bytes of a frame's own length before it
	closedDescriptor     = -1 // in place of a descriptor's number
)

// clientListener accepts clients and has their connections.
type clientListener struct {
	server       *Server
	fd           int
	address      netip.AddrPort
	clients      map[*clientConn]struct{}
	maxClients   int
	deferred     []*clientConn // those that have messages left over from this turn
	bufferBudget ring.Budget
	acceptPaused bool // for want of descriptors
}

// newClientListener returns a listener that does not listen yet.
func newClientListener(s *Server) *clientListener {
	return &clientListener{server: s, clients: map[*clientConn]struct{}{}, maxClients: s.maxClients()}
}

// listen opens the socket at the configured address.
func (l *clientListener) listen() error {
	configured := l.server.cfg.Listen
	fd, err := eventloop.Listen(configured)
	if err != nil {
		return fmt.Errorf("server: listen: %w", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("server: listen: %s: %w", configured, err)
	}
	l.fd, l.address = fd, configured
	if ipv4, ok := bound.(*unix.SockaddrInet4); ok { // port 0 has taken a free one
		l.address = netip.AddrPortFrom(configured.Addr(), uint16(ipv4.Port))
	}
	return l.server.host.Loop.Add(fd, unix.EPOLLIN, l)
}

// close closes the socket. Connections that were accepted stay open.
func (l *clientListener) close() {
	l.server.host.Loop.CloseDescriptor(l.fd)
	l.fd = closedDescriptor
}

// Ready accepts all connections that wait, and reads at once what they have already sent: the order of requests is that
// of their last bytes, and a connection read only in the next turn could lose its turn.
//
// Without a descriptor the system does not report whether any connection waits. One that does is reported again in the
// next turn, so only a turn's first accept frees a descriptor: after others it may be that none waits, and a new
// connection that has sent nothing yet would be closed.
func (l *clientListener) Ready(uint32) {
	for accepted := 0; ; accepted++ {
		fd, from, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == unix.EINTR || err == unix.ECONNABORTED:
		case err == unix.EAGAIN || err != nil && accepted > 0:
			return
		case err != nil:
			l.handleAcceptError(err)
			return
		case !l.hasCapacity():
			unix.Close(fd)
		default:
			l.admit(fd, from)
		}
	}
}

// handleAcceptError frees a descriptor for the next accept; where none can be freed, accepting pauses.
func (l *clientListener) handleAcceptError(err error) {
	slog.Warn("accept", slog.Any("error", err))
	if !l.evict() && !l.server.pool.freeDescriptor() {
		l.setAcceptPaused(true)
	}
}

// hasCapacity says whether one more client may be admitted, after closing another connection for it where it must.
func (l *clientListener) hasCapacity() bool {
	if len(l.clients) >= l.maxClients && !l.evict() && l.server.freeDescriptors() <= 0 {
		return false
	}
	return l.server.freeDescriptors() > 0 || l.server.pool.freeDescriptor() || l.evict() ||
		l.server.freeDescriptors() > -descriptorOverdraft
}

// admit begins a client's connection, and reads what it has sent by now.
func (l *clientListener) admit(fd int, from unix.Sockaddr) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it responses are only slower
	host := &l.server.host
	maxInput := thrift.MaxFrame + frameLengthSize
	c := &clientConn{
		Stream:        eventloop.NewStream(host.Loop, fd, maxInput, l.maxUnreadOutput(), &l.bufferBudget),
		listener:      l,
		inFlight:      map[int32]*gateway.Request{},
		address:       ipv4Number(from),
		establishedAt: host.TurnTime,
		lastActivity:  host.TurnTime,
	}
	c.BaseInterest = unix.EPOLLRDHUP // the client's close, also while its input is not read
	c.Interest = unix.EPOLLIN | c.BaseInterest
	if err := host.Loop.Add(fd, c.Interest, c); err != nil {
		slog.Warn("accept", slog.Any("error", err))
		c.Close()
		return
	}
	host.Counters.Accepted++
	l.clients[c] = struct{}{}
	if material := l.server.tls.material; material != nil && material.Config != nil {
		c.TLS = tlsio.Server(material.Config)
	}
	c.readNow()
}

// setAcceptPaused leaves connections in the listen queue until the next tick, where no descriptor can be freed: they
// would keep the loop from waiting.
func (l *clientListener) setAcceptPaused(paused bool) {
	if l.acceptPaused == paused || l.fd < 0 {
		return
	}
	l.acceptPaused = paused
	interest := uint32(unix.EPOLLIN)
	if paused {
		interest = 0
		l.server.host.Counters.AcceptPauses++
	}
	l.server.host.Loop.Modify(l.fd, interest)
}

// ipv4Number returns a client's IPv4 address as a number; 0 where it has none.
func ipv4Number(from unix.Sockaddr) uint64 {
	if ipv4, ok := from.(*unix.SockaddrInet4); ok {
		return uint64(binary.BigEndian.Uint32(ipv4.Addr[:]))
	}
	return 0
}

// maxUnreadOutput returns how many bytes one client may leave unread, fewer than all may together.
func (l *clientListener) maxUnreadOutput() int {
	return min(maxUnreadOutput, l.bufferBudget.Max/unreadOutputFraction)
}

// tick accepts again after a pause, and closes the connections that are past a timeout.
func (l *clientListener) tick() {
	now := l.server.host.TurnTime
	l.setAcceptPaused(false)
	for c := range l.clients {
		switch {
		case c.state == clientLingering && now-c.lastActivity >= lingerTimeout:
			c.terminate()
		case c.state == clientOpen && c.isReadTimedOut(now):
			l.server.host.Counters.ReadTimeouts++
			c.closeAfterResponses()
		case now-c.lastActivity >= bufferIdleTimeout:
			c.FreeBuffers()
		}
	}
}

// processDeferred goes on with the messages that were left over from the last turn.
func (l *clientListener) processDeferred() {
	deferred := l.deferred
	l.deferred = nil
	for _, c := range deferred {
		c.deferred = false
		c.processMessages()
	}
}

// closeIdle closes the idle connections in a graceful shutdown: what has come on one by now is served, and what crosses
// its close is not taken, so that its client sends it again.
func (l *clientListener) closeIdle() {
	for c := range l.clients {
		if c.state == clientLingering || !c.isIdle() {
			continue
		}
		if c.readNow(); c.isIdle() {
			c.closeAfterResponses()
		}
	}
}
