package epoll

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/ring"
	"chutechute/internal/sqltext"
	"chutechute/internal/thrift"
)

const (
	maxUnread  = 2 << 20   // bytes of answers that a client may leave unread
	pauseAbove = 256 << 10 // unread answers above which a client's requests wait
	mostOpen   = 32        // requests that a connection may have open, by the protocol
	maxIDSize  = 64
	maxTTL     = 3600 * 1000
	backlog    = 1024
)

// listener accepts clients.
type listener struct {
	s       *Server
	fd      int
	clients map[*client]struct{}
	budget  ring.Budget
	most    int
	addr    netip.AddrPort
}

func (s *Server) listen() error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("listen: socket: %w", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("listen: SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(fd, sockaddr(s.cfg.Listen)); err != nil {
		return fmt.Errorf("listen: bind %s: %w", s.cfg.Listen, err)
	}
	if err := unix.Listen(fd, backlog); err != nil {
		return fmt.Errorf("listen: %s: %w", s.cfg.Listen, err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("listen: %s: %w", s.cfg.Listen, err)
	}
	s.listener.fd, s.listener.addr = fd, s.cfg.Listen
	if in, ok := bound.(*unix.SockaddrInet4); ok { // port 0 has taken a free one
		s.listener.addr = netip.AddrPortFrom(s.cfg.Listen.Addr(), uint16(in.Port))
	}
	return s.loop.add(fd, unix.EPOLLIN, s.listener)
}

// ready accepts all who wait, and reads at once what they have already sent: the order of requests is
// that of their last bytes, and a connection read only in the next turn could lose its place.
func (l *listener) ready(uint32) {
	for {
		fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		}
		if err != nil {
			if err != unix.EAGAIN {
				slog.Warn("accept", "error", err)
				l.s.pool.makeRoom() // or the one who waits would keep the loop from resting
			}
			return
		}
		if len(l.clients) >= l.most && !l.evict() {
			unix.Close(fd)
			continue
		}
		if l.s.unused() <= 0 {
			l.s.pool.makeRoom()
		}
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it answers are only slower
		c := &client{stream: newStream(l.s.loop, fd, thrift.MaxFrame+4, maxUnread, &l.budget), l: l, open: map[int32]*gateway.Request{}}
		c.want = unix.EPOLLIN
		if err := l.s.loop.add(fd, c.want, c); err != nil {
			slog.Warn("accept", "error", err)
			c.close()
			continue
		}
		l.s.count.Accepted++
		l.clients[c] = struct{}{}
		c.ready(unix.EPOLLIN)
	}
}

// evict closes some connection without an open request.
func (l *listener) evict() bool {
	for c := range l.clients {
		if len(c.open) == 0 && c.out.Len() == 0 && c.in.Len() == 0 {
			c.end()
			return true
		}
	}
	return false
}

func (l *listener) close() { l.s.loop.drop(l.fd) }

// unwritten says whether some answer is still to be written.
func (l *listener) unwritten() bool {
	for c := range l.clients {
		if c.out.Len() > 0 {
			return true
		}
	}
	return false
}

// client is one client's connection.
type client struct {
	stream
	l    *listener
	open map[int32]*gateway.Request // by sequence number
}

func (c *client) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		c.write(nil)
	}
	if events&^unix.EPOLLOUT == 0 {
		c.read()
		return
	}
	more := c.fill()
	c.read()
	if !more {
		c.end()
	}
}

// read takes the messages that have come whole, unless the client leaves too many answers unread.
func (c *client) read() {
	for !c.closed && c.out.Len() <= pauseAbove {
		m, ok, err := thrift.Next(c.in)
		var exception *thrift.Exception
		switch {
		case errors.As(err, &exception):
			c.l.s.count.Unusable++
			c.write(exception.Reply())
		case err != nil:
			c.l.s.count.Malformed++
			slog.Warn("client", "error", err)
			c.end()
		case !ok:
			c.watch(true)
			return
		default:
			c.take(m)
		}
	}
	if !c.closed {
		c.watch(c.out.Len() <= pauseAbove)
	}
}

func (c *client) take(m thrift.Message) {
	switch m.Name {
	case "health":
		c.write(thrift.Answer(m.Name, m.Seq, nil, nil, c.l.s.life.Healthy()))
	case "cancel":
		if r := c.open[m.Target]; r != nil {
			delete(c.open, m.Target)
			c.l.s.core.Cancel(r)
		}
	case "call":
		c.call(m)
	}
}

func (c *client) call(m thrift.Message) {
	fail := func(err error) {
		c.l.s.count.Unusable++
		slog.Debug("client", "error", err)
		e := thrift.Exception{Seq: m.Seq, Name: m.Name, Kind: thrift.ProtocolError, Text: err.Error()}
		c.write(e.Reply())
	}
	if c.open[m.Seq] != nil { // two answers to one number could not be told apart
		c.l.s.count.Malformed++
		c.end()
		return
	}
	if len(c.open) >= mostOpen {
		fail(fmt.Errorf("more than %d open requests", len(c.open)))
		return
	}
	call, err := readCall(m)
	if err != nil {
		fail(err)
		return
	}
	w := &waiting{c: c, seq: m.Seq}
	r, err := c.l.s.core.Take(c.l.s.now, call, w)
	if err != nil {
		fail(err)
		return
	}
	if !w.done {
		c.open[m.Seq] = r
	}
}

// readCall checks what goes to engines in headers and paths, and reads the estimates.
func readCall(m thrift.Message) (*gateway.Call, error) {
	f := m.Fields
	call := &gateway.Call{ID: f["call"], Class: f["op"], Tenant: f["org"], Key: f["row"], Once: f["dedupe"],
		Statement: m.Body, Group: sqltext.Group(string(m.Body))}
	if !plain(call.ID) || call.ID == "" {
		return nil, fmt.Errorf("call: %.80q is no id", call.ID)
	}
	if call.Once != "" && !plain(call.Once) {
		return nil, fmt.Errorf("dedupe: %.80q is no key", call.Once)
	}
	ttl, err := strconv.ParseFloat(f["ttl"], 64)
	if err != nil || !(ttl > 0 && ttl <= maxTTL) {
		return nil, fmt.Errorf("ttl: %.80q is no span in milliseconds", f["ttl"])
	}
	call.TTL = gateway.Micros(ttl * 1000)
	// An estimate that can't be read is none.
	if work, err := strconv.ParseFloat(f["work"], 64); err == nil && work > 0 && work < 1e9 {
		call.Cost = gateway.Micros(work * 1000)
	}
	if mb, err := strconv.ParseFloat(f["mb"], 64); err == nil && mb > 0 && mb < 1e9 {
		call.MemoryMB = mb
	}
	return call, nil
}

// plain says whether a text can stand in a path or a header as it is.
func plain(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return len(s) <= maxIDSize
}

// write adds an answer and writes what it can.
func (c *client) write(answer []byte) {
	if c.closed {
		return
	}
	if _, err := c.out.Write(answer); err != nil {
		slog.Warn("client leaves its answers unread", "error", err)
		c.end()
		return
	}
	if err := c.flush(); err != nil {
		c.end()
		return
	}
	c.watch(c.out.Len() <= pauseAbove)
}

// end closes the connection; what is open on it has nobody to answer any more.
func (c *client) end() {
	if c.closed {
		return
	}
	c.close()
	delete(c.l.clients, c)
	for _, r := range c.open {
		c.l.s.core.Cancel(r)
	}
	c.open = nil
}

// waiting is the client's side of one open request.
type waiting struct {
	c    *client
	seq  int32
	done bool
}

func (w *waiting) answer(b []byte) {
	w.done = true
	delete(w.c.open, w.seq)
	w.c.write(b)
}

// Served passes the rows on.
func (w *waiting) Served(rows []byte) { w.answer(thrift.Answer("call", w.seq, rows, nil, true)) }

// Refused tells when to come back.
func (w *waiting) Refused(after gateway.Micros) {
	w.answer(thrift.Shed(w.seq, map[string]string{"pushback": strconv.FormatInt((after+ms-1)/ms, 10)}))
}

// Failed promises nothing.
func (w *waiting) Failed() { w.answer(thrift.Fault(w.seq, nil)) }
