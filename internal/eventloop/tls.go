package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"

	"chutechute/internal/tlsio"
)

// Receive reads the records that have come and decrypts them into the ring; greet is called while the handshake goes on. More is
// false at the stream's end.
func (s *Stream) Receive(scratch []byte, greet func()) (more bool, err error) {
	for n := 0; n < maxReadsPerTurn && !s.Closed; n++ {
		n, err := unix.Read(s.FD, scratch)
		switch {
		case err == unix.EAGAIN:
			return true, nil
		case err == unix.EINTR:
			continue
		case err != nil || n == 0:
			return false, nil
		}
		if err := s.TLS.Feed(scratch[:n]); err != nil {
			return true, err
		}
		if !s.HandshakeDone {
			greet()
		}
		got, err := s.Decrypt()
		if err != nil {
			return true, err
		}
		if s.HandshakeDone && !got && len(s.In.Space()) == 0 || n < len(scratch) {
			return true, nil
		}
	}
	return true, nil
}

// Decrypt moves what the peer has said into the ring; got says whether there was anything. What is to be said in return, an alert
// or an answer to a change of keys, is added to what goes out.
func (s *Stream) Decrypt() (got bool, err error) {
	if !s.HandshakeDone || s.Closed {
		return false, nil
	}
	for {
		space := s.In.Space()
		if len(space) == 0 {
			return got, nil
		}
		n, err := s.TLS.Read(space)
		s.In.Commit(n)
		got = got || n > 0
		if err == nil {
			continue
		}
		if out := s.TLS.Output(); len(out) > 0 {
			if _, err := s.Out.Write(out); err != nil {
				return got, err
			}
		}
		if errors.Is(err, tlsio.ErrAgain) || errors.Is(err, tlsio.ErrEnd) {
			return got, nil
		}
		return got, err
	}
}

var errUnshaken = errors.New("epoll: a message before the handshake's end")

// Seal is a message as it goes over the connection.
func (s *Stream) Seal(b []byte) ([]byte, error) {
	if s.TLS == nil {
		return b, nil
	}
	if !s.HandshakeDone { // crypto/tls would wait for the handshake, and the loop with it
		return nil, errUnshaken
	}
	if err := s.TLS.Write(b); err != nil {
		return nil, err
	}
	return s.TLS.Output(), nil
}

// maxReadsPerTurn is how many times the scratch buffer that one connection reads in one turn.
const maxReadsPerTurn = 16
