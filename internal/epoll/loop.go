// Package epoll is the front end's driver: one loop over epoll that reads and writes the sockets of
// clients, engines and the journal, feeds the parsers, and runs the core. It decides nothing.
package epoll

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"chutechute/internal/monotime"
	"chutechute/internal/ring"
	"chutechute/internal/tlsio"
)

const ms = monotime.Second / 1000

// clock is the system's Unix time, kept from going back.
type clock struct{ start time.Time }

func (c clock) now() monotime.Micros { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// handler is what owns a descriptor.
type handler interface{ ready(events uint32) }

// loop waits for descriptors. A descriptor's number may be used again within one batch of events, so
// each registration has a generation of its own.
type loop struct {
	fd     int
	slots  map[int32]slot
	gen    int32
	events [256]unix.EpollEvent
}

type slot struct {
	gen int32
	h   handler
}

func newLoop() (*loop, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: create: %w", err)
	}
	return &loop{fd: fd, slots: map[int32]slot{}}, nil
}

func (l *loop) add(fd int, want uint32, h handler) error {
	l.gen++
	l.slots[int32(fd)] = slot{l.gen, h}
	return unix.EpollCtl(l.fd, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: want, Fd: int32(fd), Pad: l.gen})
}

func (l *loop) change(fd int, want uint32) {
	// It can only fail for a descriptor that is not registered, and every owner closes through drop.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: want, Fd: int32(fd), Pad: l.slots[int32(fd)].gen})
}

// mute takes a descriptor out of the set without closing it; add puts it back.
func (l *loop) mute(fd int) {
	delete(l.slots, int32(fd))
	// It can only fail for a descriptor that is not registered.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, fd, nil)
}

// drop closes a descriptor, which takes it out of the set too.
func (l *loop) drop(fd int) {
	delete(l.slots, int32(fd))
	unix.Close(fd)
}

// wait waits for at most the span, which is rounded up so that the loop never spins; n descriptors are ready.
func (l *loop) wait(span monotime.Micros) (n int, err error) {
	timeout := int((max(0, span) + ms - 1) / ms)
	n, err = unix.EpollWait(l.fd, l.events[:], timeout)
	if err == unix.EINTR {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("epoll: wait: %w", err)
	}
	return n, nil
}

// dispatch hands out the n descriptors that are ready.
func (l *loop) dispatch(n int) {
	for _, ev := range l.events[:n] {
		if s, ok := l.slots[ev.Fd]; ok && s.gen == ev.Pad {
			s.h.ready(ev.Events)
		}
	}
}

// stream is a TCP connection with a ring buffer a direction.
type stream struct {
	loop    *loop
	fd      int
	in, out *ring.Buffer
	want    uint32
	always  uint32 // what is told whatever is read or written
	closed  bool
	secure  *tlsio.Conn // nil without TLS
	traffic *Traffic    // of the links to other front ends; nil for all else
	shaken  bool        // its handshake is over
}

func newStream(l *loop, fd, maxIn, maxOut int, budget *ring.Budget) stream {
	return stream{loop: l, fd: fd, in: ring.New(maxIn, budget), out: ring.New(maxOut, budget)}
}

// fill reads what has come, as far as the ring has room; more is false at the stream's end or after an error.
func (s *stream) fill() (more bool) {
	for !s.closed {
		space := s.in.Space()
		if len(space) == 0 {
			return true
		}
		n, err := unix.Read(s.fd, space)
		switch {
		case err == unix.EAGAIN:
			return true
		case err == unix.EINTR:
			continue
		case err != nil || n == 0:
			return false
		}
		s.in.Commit(n)
		s.traffic.read(n)
		if n < len(space) {
			return true
		}
	}
	return false
}

// free lets go of storage that is not in use.
func (s *stream) free() {
	if s.in.Len() == 0 {
		s.in.Free()
	}
	if s.out.Len() == 0 {
		s.out.Free()
	}
}

// quiet says whether the peer has neither sent anything more nor ended the connection.
func (s *stream) quiet() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(s.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// flush writes what it can and asks to be called again for the rest.
func (s *stream) flush() error {
	for s.out.Len() > 0 {
		n, err := unix.SendmsgN(s.fd, s.out.Front(), nil, nil, unix.MSG_NOSIGNAL)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			return err
		}
		s.out.Discard(n)
		s.traffic.written(n)
	}
	return nil
}

// watch keeps the interest in a descriptor to what is needed.
func (s *stream) watch(in bool) {
	want := s.always
	if in {
		want |= unix.EPOLLIN
	}
	if s.out.Len() > 0 {
		want |= unix.EPOLLOUT
	}
	if want != s.want && !s.closed {
		s.want = want
		s.loop.change(s.fd, want)
	}
}

// over says whether the peer has ended the connection, as events tell.
func over(events uint32) bool { return events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

func (s *stream) close() {
	if !s.closed {
		s.closed = true
		s.loop.drop(s.fd)
		s.in.Free()
		s.out.Free()
		if s.secure != nil {
			s.secure.Close()
		}
	}
}

// dial begins a connection; err is also set where it was refused at once.
func dial(addr netip.AddrPort) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	// Without it calls would only be slower.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sockaddr(addr)); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// dialled is how a begun connection came out.
func dialled(fd int) error {
	errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	return err
}

func sockaddr(a netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}
