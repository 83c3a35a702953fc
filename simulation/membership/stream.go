package membership

import "chutechute/internal/monotime"

// stream is one direction of a connection.
type stream struct {
	lastArrival    monotime.Micros // when the latest message arrives
	queued         []queuedMessage
	queuedBytes    int
	awaitingReader bool            // a slow reader is still reading the message sent last
	lastProgress   monotime.Micros // when a message last left the queue, or the queue began
}

// queuedMessage is a message that waits until its receiver reads.
type queuedMessage struct {
	kind   messageKind
	size   int // bytes
	arrive func()
}

func (w *stream) enqueue(message queuedMessage) {
	w.queued = append(w.queued, message)
	w.queuedBytes += message.size
}

func (w *stream) dequeue(now monotime.Micros) queuedMessage {
	next := w.queued[0]
	w.queued = w.queued[1:]
	w.queuedBytes -= next.size
	w.lastProgress = now
	return next
}

func (w *stream) dropQueue() { w.queued, w.queuedBytes = nil, 0 }

// transmit sends a message from one member to another, and calls arrive when and if it gets there.
func (s *simulation) transmit(w *stream, from, to *member, kind messageKind, size int, arrive func()) {
	from.traffic.countSent(kind, size)
	if s.network.partitioned(from, to) || s.network.dropsMessage() {
		return
	}
	when := s.now + s.network.latency(from, to)
	if !s.network.reorder {
		when = max(when, w.lastArrival)
		w.lastArrival = when
	}
	s.scheduleAt(when, func() {
		if !s.network.partitioned(from, to) {
			arrive()
		}
	})
}
