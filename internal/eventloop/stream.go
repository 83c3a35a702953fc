package eventloop

import (
	"golang.org/x/sys/unix"

	"chutechute/internal/ring"
	"chutechute/internal/tlsio"
)

// ByteCounter counts the bytes that a stream reads from its socket and writes to it.
type ByteCounter interface {
	// BytesRead adds n bytes read from the socket.
	BytesRead(n int)
	// BytesWritten adds n bytes written to the socket.
	BytesWritten(n int)
}

// Stream is a non-blocking connection with a ring buffer for each direction, and optionally TLS.
type Stream struct {
	loop          *Loop
	FD            int          // the socket's descriptor
	In, Out       *ring.Buffer // bytes received and not yet consumed; bytes to write to the socket
	Interest      uint32       // epoll events that the descriptor is registered for
	BaseInterest  uint32       // of these, the events that UpdateInterest never drops
	Closed        bool
	TLS           *tlsio.Conn // nil without TLS
	Counter       ByteCounter // nil if the bytes are not counted
	HandshakeDone bool        // the TLS handshake is complete
}

// NewStream returns a stream over a connected or connecting descriptor. The caller registers the descriptor with the
// loop. The buffers hold at most maxIn and maxOut bytes, and take their storage from the budget.
func NewStream(loop *Loop, fd, maxIn, maxOut int, budget *ring.Budget) Stream {
	return Stream{loop: loop, FD: fd, In: ring.New(maxIn, budget), Out: ring.New(maxOut, budget)}
}

// Fill reads from the socket into In until no more bytes are available or In is full. It returns false at the end of
// the stream, after an error and on a closed stream.
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

// FreeBuffers releases the storage of empty buffers.
func (s *Stream) FreeBuffers() {
	if s.In.Len() == 0 {
		s.In.Free()
	}
	if s.Out.Len() == 0 {
		s.Out.Free()
	}
}

// PeerIdle reports whether the peer has neither sent anything unread nor closed the connection.
func (s *Stream) PeerIdle() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(s.FD, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// Flush writes as much of Out as the socket accepts. The caller writes the rest once the socket is writable again;
// UpdateInterest registers for that. An error means that the connection is broken.
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

// UpdateInterest registers the events that the stream needs now: reading if wantRead is set, writing if Out is not
// empty, and always BaseInterest.
func (s *Stream) UpdateInterest(wantRead bool) {
	interest := s.BaseInterest
	if wantRead {
		interest |= unix.EPOLLIN
	}
	if s.Out.Len() > 0 {
		interest |= unix.EPOLLOUT
	}
	if interest != s.Interest && !s.Closed {
		s.Interest = interest
		s.loop.Modify(s.FD, interest)
	}
}

// IsHangup reports whether readiness events include one for a connection that the peer has closed or that is broken.
func IsHangup(events uint32) bool { return events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Abort resets the connection and otherwise does the same as Close. The system discards what it has not delivered yet,
// which it would go on to deliver after Close (RFC 9293, section 3.10.5).
func (s *Stream) Abort() {
	if !s.Closed {
		// A failure is harmless: the connection is closed without a reset.
		_ = unix.SetsockoptLinger(s.FD, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	s.Close()
}

// Close closes the connection and releases its buffers. Closing a closed stream does nothing.
func (s *Stream) Close() {
	if s.Closed {
		return
	}
	s.Closed = true
	s.loop.CloseDescriptor(s.FD)
	s.In.Free()
	s.Out.Free()
	if s.TLS != nil {
		s.TLS.Close()
	}
}
