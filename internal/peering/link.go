package peering

import (
	"errors"

	"chutechute/fleet/transport"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	linkInputBytes  = 64 << 10  // capacity of a link's input buffer
	linkOutputBytes = 256 << 10 // capacity of a link's output buffer
	// linkOutputTarget is how many bytes are kept in the output buffer while frames are queued. It leaves space for the
	// longest frame.
	linkOutputTarget = linkOutputBytes / 2
	// handshakeTimeout is the time from the connection to the end of the handshake.
	handshakeTimeout = 1000 * monotime.Millisecond
	// stallTimeout is the time after which a link is closed whose socket accepts none of the bytes in the output
	// buffer.
	stallTimeout = 2000 * monotime.Millisecond
)

// Errors with which a link is closed.
var (
	errStalled          = errors.New("peering: the other side reads nothing")
	errHandshakeTimeout = errors.New("peering: no handshake in time")
	errRemoteClosed     = errors.New("peering: the other side ended the link")
)

// linkSender is the connection of a link with its sending side: a queue of messages before the output buffer. The
// queue is bounded, so that a receiver that does not read exerts backpressure on nothing but its own link.
type linkSender struct {
	eventloop.Stream
	peering      *Peering
	queue        transport.Queue
	budget       ring.Budget
	lastProgress monotime.Micros // when the socket last accepted bytes, or had none to accept
}

// open prepares the sender for a connected or connecting descriptor, which the link registers with the loop.
func (s *linkSender) open(fd, maxOutput int, interest uint32) {
	s.Stream = eventloop.NewStream(s.peering.Host.Loop, fd, linkInputBytes, maxOutput, &s.budget)
	s.Counter = &s.peering.traffic
	s.Interest = interest
}

// writeQueued moves queued frames to the output buffer, as far as its target allows, and flushes that. It returns
// how many bytes left the queue. After an error the link has to be closed.
func (s *linkSender) writeQueued() (dequeued int, err error) {
	bufferedBefore := s.Out.Len()
	for s.Out.Len() < linkOutputTarget {
		frame := s.queue.Pop()
		if frame == nil {
			break
		}
		dequeued += len(frame)
		if _, err := s.Out.Write(frame); err != nil {
			return dequeued, err
		}
		s.peering.traffic.countSent(frame)
	}
	if bufferedBefore == 0 {
		s.lastProgress = s.peering.Host.TurnTime
	}
	return dequeued, s.flushOutput()
}

// flushOutput writes the output buffer to the socket and notes the progress. After an error the link has to be closed.
func (s *linkSender) flushOutput() error {
	bufferedBefore := s.Out.Len()
	if err := s.Flush(); err != nil {
		return err
	}
	if s.Out.Len() < bufferedBefore || s.Out.Len() == 0 {
		s.lastProgress = s.peering.Host.TurnTime
	}
	s.UpdateInterest(true)
	return nil
}

// stalled reports whether the socket has accepted none of the bytes in the output buffer for too long.
func (s *linkSender) stalled() bool {
	return s.Out.Len() > 0 && s.peering.Host.TurnTime-s.lastProgress >= stallTimeout
}
