package membership

import "chutechute/internal/monotime"

// stream is one direction of a connection.
type stream struct {
	lastArrival    monotime.Micros // latest arrival time of any message sent so far
	queued         []queuedMessage
	queuedBytes    int
	awaitingReader bool            // a slow reader is still reading the previous message
	lastProgress   monotime.Micros // when a message was last taken from the queue, or the queue became non-empty
}

// queuedMessage is a message that waits for its receiver to read.
type queuedMessage struct {
	kind   messageKind
	size   int // bytes
	arrive func()
}

func (st *stream) enqueue(message queuedMessage) {
	st.queued = append(st.queued, message)
	st.queuedBytes += message.size
}

func (st *stream) dequeue(now monotime.Micros) queuedMessage {
	next := st.queued[0]
	st.queued = st.queued[1:]
	st.queuedBytes -= next.size
	st.lastProgress = now
	return next
}

func (st *stream) dropQueue() { st.queued, st.queuedBytes = nil, 0 }

// transmit sends a message from one member to another, and calls arrive when it arrives. A lost message never does.
func (s *simulation) transmit(st *stream, from, to *member, kind messageKind, size int, arrive func()) {
	from.traffic.countSent(kind, size)
	if s.network.partitioned(from, to) || s.network.dropsMessage() {
		return
	}
	when := s.now + s.network.latency(from, to)
	if !s.network.reorder {
		when = max(when, st.lastArrival)
		st.lastArrival = when
	}
	s.scheduleAt(when, func() {
		if !s.network.partitioned(from, to) {
			arrive()
		}
	})
}
