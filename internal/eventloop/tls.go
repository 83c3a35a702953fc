package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"

	"chutechute/internal/tlsio"
)

// maxReadsPerTurn limits how often one stream reads in one turn, each time at most the scratch buffer's size, so that a
// fast sender does not delay the other connections.
const maxReadsPerTurn = 16

// errHandshakePending is returned by Encode before the TLS handshake is complete.
var errHandshakePending = errors.New("eventloop: message sent before the TLS handshake is complete")

// Receive reads TLS records from the socket into the scratch buffer and decrypts them into In. Until the handshake is
// complete it calls continueHandshake after each read. more is false at the end of the stream and after a read error.
// The returned error is one of TLS.
func (s *Stream) Receive(scratch []byte, continueHandshake func()) (more bool, err error) {
	for reads := 0; reads < maxReadsPerTurn && !s.Closed; reads++ {
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
			continueHandshake()
		}
		decrypted, err := s.Decrypt()
		if err != nil {
			return true, err
		}
		inputFull := s.HandshakeDone && !decrypted && len(s.In.Space()) == 0
		socketDrained := n < len(scratch)
		if inputFull || socketDrained {
			return true, nil
		}
	}
	return true, nil
}

// Decrypt decrypts received records into In until In is full, and reports whether it added any bytes. An alert or a key
// update that TLS sends in response is added to Out.
func (s *Stream) Decrypt() (decrypted bool, err error) {
	if !s.HandshakeDone || s.Closed {
		return false, nil
	}
	for {
		space := s.In.Space()
		if len(space) == 0 {
			return decrypted, nil
		}
		n, err := s.TLS.Read(space)
		s.In.Commit(n)
		decrypted = decrypted || n > 0
		if err == nil {
			continue
		}
		if out := s.TLS.Output(); len(out) > 0 {
			if _, err := s.Out.Write(out); err != nil {
				return decrypted, err
			}
		}
		if errors.Is(err, tlsio.ErrAgain) || errors.Is(err, tlsio.ErrEnd) {
			return decrypted, nil
		}
		return decrypted, err
	}
}

// Encode returns a message as it is sent over the connection: encrypted if the stream has TLS. It returns an error
// before the TLS handshake is complete.
func (s *Stream) Encode(message []byte) ([]byte, error) {
	if s.TLS == nil {
		return message, nil
	}
	if !s.HandshakeDone { // crypto/tls would block until the handshake is complete, and the loop with it
		return nil, errHandshakePending
	}
	if err := s.TLS.Write(message); err != nil {
		return nil, err
	}
	return s.TLS.Output(), nil
}
