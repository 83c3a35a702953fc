package transport

// Queue is the send queue of a link. Urgent messages are sent first, even between two fragments of a bulk message, so
// that bulk messages never delay a heartbeat. Both lanes are bounded; a message that does not fit is dropped and
// counted. The protocol tolerates that, as a link may lose messages anyway.
type Queue struct {
	// MaxUrgentBytes and MaxBulkBytes bound the queued bytes of each lane.
	MaxUrgentBytes, MaxBulkBytes int
	// Dropped counts the messages that did not fit.
	Dropped int

	urgent, bulk lane
	// heartbeat is the 1-based index of the queued heartbeat's frame in the urgent lane, 0 if none is queued. A newer
	// heartbeat replaces it.
	heartbeat int
}

// Push queues a message. It returns false if the message was dropped because its lane is full.
func (q *Queue) Push(kind Kind, bulk bool, body []byte) bool {
	l, maxBytes := &q.urgent, q.MaxUrgentBytes
	if bulk {
		l, maxBytes = &q.bulk, q.MaxBulkBytes
	}
	size := len(body) + headerSize*(1+len(body)/MaxFrameBody)
	if l.bytes+size > maxBytes {
		q.Dropped++
		return false
	}
	if kind == ControlHeartbeat && q.heartbeat > 0 {
		q.urgent.replace(q.heartbeat-1, AppendFrame(nil, kind, 0, false, body))
		return true
	}
	l.pushMessage(kind, body)
	if kind == ControlHeartbeat && !bulk {
		q.heartbeat = len(q.urgent.frames)
	}
	return true
}

// Pop removes and returns the next frame; nil if the queue is empty.
func (q *Queue) Pop() []byte {
	if len(q.urgent.frames) == 0 {
		return q.bulk.pop()
	}
	q.heartbeat = max(0, q.heartbeat-1)
	return q.urgent.pop()
}

// QueuedBytes returns the total size of the queued frames.
func (q *Queue) QueuedBytes() int { return q.urgent.bytes + q.bulk.bytes }

// Clear drops everything that is queued. It is for closed connections.
func (q *Queue) Clear() {
	q.urgent, q.bulk = lane{}, lane{}
	q.heartbeat = 0
}

// DropUnstarted drops the messages of which no frame was popped yet. It is for connections that stay open: the
// remaining frames of a message that was started stay queued, as the receiver could not decode later messages without
// them.
func (q *Queue) DropUnstarted() {
	q.urgent.dropUnstarted()
	q.bulk.dropUnstarted()
	q.heartbeat = 0
}

// lane is a FIFO queue of frames.
type lane struct {
	frames     [][]byte
	bytes      int  // in frames
	midMessage bool // whether the frame that was popped last is not the last one of its message
}

// pushMessage queues the frames of a message.
func (l *lane) pushMessage(kind Kind, body []byte) {
	for offset := 0; ; offset += MaxFrameBody {
		fragment := body[offset:]
		more := len(fragment) > MaxFrameBody
		if more {
			fragment = fragment[:MaxFrameBody]
		}
		l.push(AppendFrame(nil, kind, offset, more, fragment))
		if !more {
			return
		}
	}
}

func (l *lane) push(frame []byte) {
	l.frames = append(l.frames, frame)
	l.bytes += len(frame)
}

// replace replaces the frame at an index.
func (l *lane) replace(index int, frame []byte) {
	l.bytes += len(frame) - len(l.frames[index])
	l.frames[index] = frame
}

// pop removes and returns the first frame; nil if the lane is empty.
func (l *lane) pop() []byte {
	if len(l.frames) == 0 {
		return nil
	}
	frame := l.frames[0]
	l.frames = l.frames[1:]
	l.bytes -= len(frame)
	l.midMessage = hasMore(frame)
	if len(l.frames) == 0 {
		l.frames = nil
	}
	return frame
}

// dropUnstarted drops all frames except the remaining ones of a message of which a frame was popped.
func (l *lane) dropUnstarted() {
	started := lane{midMessage: l.midMessage}
	for more, i := l.midMessage, 0; more && i < len(l.frames); i++ {
		started.push(l.frames[i])
		more = hasMore(l.frames[i])
	}
	*l = started
}
