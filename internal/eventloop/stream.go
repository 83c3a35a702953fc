package eventloop

import (
	"golang.org/x/sys/unix"

	"chutechute/internal/ring"
	"chutechute/internal/tlsio"
)

// ByteCounter counts the bytes that a stream reads from its socket and writes to it.
type ByteCounter interface {
	BytesRead(n int)
	BytesWritten(n int)
}

// Stream is a TCP connection with a ring buffer a direction.
type Stream struct {
	loop           *Loop
	FD             int
	In, Out        *ring.Buffer
	Interest       uint32
	AlwaysInterest uint32 // what is told whatever is read or written
	Closed         bool
	TLS            *tlsio.Conn // nil without TLS
	Counter        ByteCounter // counts what is read and written; nil for nobody
	HandshakeDone  bool        // its handshake is over
}

func NewStream(l *Loop, fd, maxIn, maxOut int, budget *ring.Budget) Stream {
	return Stream{loop: l, FD: fd, In: ring.New(maxIn, budget), Out: ring.New(maxOut, budget)}
}

// Fill reads what has come, as far as the ring has room; more is false at the stream's end or after an error.
func (s *Stream) Fill() (more bool) {
	for !s.Closed {
		space := s.In.Space()
		if len(space) == 0 {
			return true
		}
		n, err := unix.Read(s.FD, space)
		switch {
		case err == unix.EAGAIN:
			return true
		case err == unix.EINTR:
			continue
		case err != nil || n == 0:
			return false
		}
		s.In.Commit(n)
		if s.Counter != nil {
			s.Counter.BytesRead(n)
		}
		if n < len(space) {
			return true
		}
	}
	return false
}

// FreeBuffers lets go of storage that is not in use.
func (s *Stream) FreeBuffers() {
	if s.In.Len() == 0 {
		s.In.Free()
	}
	if s.Out.Len() == 0 {
		s.Out.Free()
	}
}

// PeerSilent says whether the peer has neither sent anything more nor ended the connection.
func (s *Stream) PeerSilent() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(s.FD, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// Flush writes what it can and asks to be called again for the rest.
func (s *Stream) Flush() error {
	for s.Out.Len() > 0 {
		n, err := unix.SendmsgN(s.FD, s.Out.Front(), nil, nil, unix.MSG_NOSIGNAL)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			return err
		}
		s.Out.Discard(n)
		if s.Counter != nil {
			s.Counter.BytesWritten(n)
		}
	}
	return nil
}

// UpdateInterest keeps the interest in a descriptor to what is needed.
func (s *Stream) UpdateInterest(in bool) {
	want := s.AlwaysInterest
	if in {
		want |= unix.EPOLLIN
	}
	if s.Out.Len() > 0 {
		want |= unix.EPOLLOUT
	}
	if want != s.Interest && !s.Closed {
		s.Interest = want
		s.loop.Modify(s.FD, want)
	}
}

// HasHangup says whether the peer has ended the connection, as events tell.
func HasHangup(events uint32) bool { return events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

func (s *Stream) Close() {
	if !s.Closed {
		s.Closed = true
		s.loop.CloseDescriptor(s.FD)
		s.In.Free()
		s.Out.Free()
		if s.TLS != nil {
			s.TLS.Close()
		}
	}
}
