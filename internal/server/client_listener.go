package server

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/eventloop"
	"chutechute/internal/fairqueue"
	"chutechute/internal/ring"
	"chutechute/internal/thrift"
	"chutechute/internal/tlsio"
)

const (
	maxUnreadOutput = 2 << 20 // bytes of responses that a client may leave unread
	// unreadOutputDivisor limits the responses that one client may leave unread to this fraction, 1/n, of the buffer
	// budget of all clients.
	unreadOutputDivisor = 4
	closedDescriptor    = -1 // value of clientListener.fd after close
)

// clientListener accepts the connections of clients and owns them.
type clientListener struct {
	server       *Server
	fd           int
	address      netip.AddrPort
	clients      map[*clientConn]struct{}
	maxClients   int
	messages     fairqueue.Queue[queuedMessage]
	deferred     []*clientConn // connections with messages in In that are queued in the next turn
	bufferBudget ring.Budget
	acceptPaused bool // no descriptor is available for another connection
}

// newClientListener returns a listener that has no socket yet.
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
	if ipv4, ok := bound.(*unix.SockaddrInet4); ok { // port 0 was replaced by a free port
		l.address = netip.AddrPortFrom(configured.Addr(), uint16(ipv4.Port))
	}
	return l.server.host.Loop.Add(fd, unix.EPOLLIN, l)
}

// close closes the listening socket. Accepted connections stay open.
func (l *clientListener) close() {
	l.server.host.Loop.CloseDescriptor(l.fd)
	l.fd = closedDescriptor
}

// Ready accepts all waiting connections and at once reads what they have already sent. Requests are ordered by the
// arrival of their last byte, so a connection that is first read in the next turn could lose its place in that order.
//
// When no descriptor is available, accept fails whether or not a connection is waiting. Therefore only a failure of the
// first accept in a turn frees a descriptor: the listener was reported readable, so a connection is waiting. After
// other accepts perhaps none is waiting, and a new connection that has sent nothing yet would be closed needlessly. A
// connection that does wait is reported again in the next turn.
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
		case !l.ensureCapacity():
			unix.Close(fd)
		default:
			l.admit(fd, from)
		}
	}
}

// handleAcceptError frees a descriptor for the next accept, or pauses accepting if none can be freed.
func (l *clientListener) handleAcceptError(err error) {
	slog.Warn("accepting a client connection failed", slog.Any("error", err))
	if !l.evict() && !l.server.pool.releaseDescriptor() {
		l.setAcceptPaused(true)
	}
}

// ensureCapacity reports whether one more client may be admitted. If necessary it closes another connection first.
func (l *clientListener) ensureCapacity() bool {
	if len(l.clients) >= l.maxClients && !l.evict() && l.server.availableDescriptors() <= 0 {
		return false
	}
	return l.server.availableDescriptors() > 0 || l.server.pool.releaseDescriptor() || l.evict() ||
		l.server.availableDescriptors() > -descriptorOverdraft
}

// admit sets up the connection of a client and reads what the client has already sent.
func (l *clientListener) admit(fd int, from unix.Sockaddr) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // on failure responses are merely slower
	host := &l.server.host
	maxInput := thrift.MaxFrame + thrift.LengthSize
	c := &clientConn{
		Stream:        eventloop.NewStream(host.Loop, fd, maxInput, l.maxUnreadOutput(), &l.bufferBudget),
		listener:      l,
		inFlight:      map[int32]*gateway.Request{},
		address:       ipv4Number(from),
		establishedAt: host.TurnTime,
		lastActivity:  host.TurnTime,
	}
	c.BaseInterest = unix.EPOLLRDHUP // reports the client's close even while input is not read
	c.Interest = unix.EPOLLIN | c.BaseInterest
	if err := host.Loop.Add(fd, c.Interest, c); err != nil {
		slog.Warn("accepting a client connection failed", slog.Any("error", err))
		c.Close()
		return
	}
	host.Counters.Accepted++
	l.clients[c] = struct{}{}
	if material := l.server.tls.material; material != nil && material.Clients != nil {
		c.TLS = tlsio.Server(material.Clients)
	}
	c.readNow()
}

// setAcceptPaused stops accepting until the next tick if no descriptor can be freed. Otherwise the connections in the
// listen queue would be reported in every turn, and the loop would never block.
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

// ipv4Number returns a client's IPv4 address as a number, or 0 if the address is of another kind.
func ipv4Number(from unix.Sockaddr) uint64 {
	if ipv4, ok := from.(*unix.SockaddrInet4); ok {
		return uint64(binary.BigEndian.Uint32(ipv4.Addr[:]))
	}
	return 0
}

// maxUnreadOutput returns how many bytes of responses one client may leave unread. It is less than the buffer budget of
// all clients.
func (l *clientListener) maxUnreadOutput() int {
	return min(maxUnreadOutput, l.bufferBudget.Max/unreadOutputDivisor)
}

// tick ends a pause in accepting, closes connections that have timed out and frees the buffers of inactive ones.
func (l *clientListener) tick() {
	now := l.server.host.TurnTime
	l.setAcceptPaused(false)
	for c := range l.clients {
		switch {
		case c.state == clientLingering && now-c.lastActivity >= lingerTimeout:
			c.terminate()
		case c.state == clientOpen && c.readTimedOut(now):
			l.server.host.Counters.ReadTimeouts++
			c.closeAfterResponses()
		case now-c.lastActivity >= bufferIdleTimeout:
			c.FreeBuffers()
		}
	}
}

// queueDeferred queues the messages that were left over from the last turn.
func (l *clientListener) queueDeferred() {
	deferred := l.deferred
	l.deferred = nil
	for _, c := range deferred {
		c.deferred = false
		c.queueMessages()
	}
}

// closeIdle closes the idle connections during a graceful shutdown. Requests that have already arrived are served. A
// request that arrives after the close is not accepted, so its client sends it again.
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
