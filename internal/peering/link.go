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
	// linkOutputTarget is the fill level up to which queued frames are moved to the output buffer. The rest of the buffer
	// has space for the longest frame.
	linkOutputTarget = linkOutputBytes / 2
	// handshakeTimeout is the maximum time from the connection to the end of the handshake.
	handshakeTimeout = 1000 * monotime.Millisecond
	// stallTimeout is the time after which a link is closed if its socket accepts none of the bytes in the output
	// buffer.
	stallTimeout = 2000 * monotime.Millisecond
)

// Errors that close a link.
var (
	errStalled          = errors.New("peering: remote side does not read")
	errHandshakeTimeout = errors.New("peering: handshake timed out")
	errRemoteClosed     = errors.New("peering: remote side closed the link")
)

// linkSender is the connection of a link together with the send queue in front of its output buffer. The queue is
// bounded, so that a receiver that does not read affects its own link only.
type linkSender struct {
	eventloop.Stream
	peering      *Peering
	queue        transport.Queue
	budget       ring.Budget
	lastProgress monotime.Micros // when the socket last accepted bytes, or there were none to write
}

// open initializes the stream for a connected or connecting descriptor. The caller registers it with the event loop.
func (s *linkSender) open(fd, maxOutput int, interest uint32) {
	s.Stream = eventloop.NewStream(s.peering.Host.Loop, fd, linkInputBytes, maxOutput, &s.budget)
	s.Counter = &s.peering.traffic
	s.Interest = interest
}

// writeQueued moves queued frames to the output buffer, up to linkOutputTarget, and flushes the buffer. It returns the
// number of bytes removed from the queue. After an error the link must be closed.
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

// flushOutput writes the output buffer to the socket and updates lastProgress. After an error the link must be closed.
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

// stalled reports whether the socket has accepted none of the bytes in the output buffer for stallTimeout.
func (s *linkSender) stalled() bool {
	return s.Out.Len() > 0 && s.peering.Host.TurnTime-s.lastProgress >= stallTimeout
}
