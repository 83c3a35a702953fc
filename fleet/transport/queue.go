package transport

// Queue holds what a link has to send: what is urgent first, and between two parts of a bulk message too, so that bulk never
// delays a heartbeat. Both sides are bounded; what finds no room is dropped and counted, as a link may lose it anyway.
type Queue struct {
	// MaxUrgentBytes and MostBulk bound the bytes that wait.
	MaxUrgentBytes, MaxBulkBytes int
	Dropped                      int

	urgent, bulk   [][]byte // frames
	urgentN, bulkN int      // bytes
	urgentMid      bool     // the last urgent frame that was popped is not the last of its message
	bulkMid        bool
	status         int // place, from 1, of the status that waits: a newer one takes it; 0 without one
}

// Push adds a message; false says that there was no room.
func (q *Queue) Push(kind Kind, bulk bool, body []byte) bool {
	length := len(body) + header*(1+len(body)/MaxFrameBody)
	if bulk && q.bulkN+length > q.MaxBulkBytes || !bulk && q.urgentN+length > q.MaxUrgentBytes {
		q.Dropped++
		return false
	}
	if kind == ControlHeartbeat && q.status > 0 {
		frame := AppendFrame(nil, kind, 0, false, body)
		q.urgentN += len(frame) - len(q.urgent[q.status-1])
		q.urgent[q.status-1] = frame
		return true
	}
	for offset := 0; ; offset += MaxFrameBody {
		part := body[offset:]
		further := len(part) > MaxFrameBody
		if further {
			part = part[:MaxFrameBody]
		}
		frame := AppendFrame(nil, kind, offset, further, part)
		if bulk {
			q.bulk, q.bulkN = append(q.bulk, frame), q.bulkN+len(frame)
		} else {
			q.urgent, q.urgentN = append(q.urgent, frame), q.urgentN+len(frame)
			if kind == ControlHeartbeat {
				q.status = len(q.urgent)
			}
		}
		if !further {
			return true
		}
	}
}

// Pop gives the next frame; nil where none waits.
func (q *Queue) Pop() []byte {
	if len(q.urgent) > 0 {
		frame := q.urgent[0]
		q.urgent, q.urgentN = q.urgent[1:], q.urgentN-len(frame)
		q.urgentMid = more(frame)
		q.status = max(0, q.status-1)
		if len(q.urgent) == 0 {
			q.urgent = nil
		}
		return frame
	}
	if len(q.bulk) == 0 {
		return nil
	}
	frame := q.bulk[0]
	q.bulk, q.bulkN = q.bulk[1:], q.bulkN-len(frame)
	q.bulkMid = more(frame)
	if len(q.bulk) == 0 {
		q.bulk = nil
	}
	return frame
}

// Len is the bytes that wait.
func (q *Queue) Len() int { return q.urgentN + q.bulkN }

// Clear drops all that waits: its connection is gone.
func (q *Queue) Clear() {
	q.urgent, q.bulk, q.urgentN, q.bulkN, q.status = nil, nil, 0, 0, 0
	q.urgentMid, q.bulkMid = false, false
}

// DropUnstarted drops the messages of which nothing has been popped, while the connection goes on: of one that was begun the rest
// stays, without which the other side could not read what follows.
func (q *Queue) DropUnstarted() {
	urgent, bulk := begun(q.urgent, q.urgentMid), begun(q.bulk, q.bulkMid)
	urgentMid, bulkMid := q.urgentMid, q.bulkMid
	q.Clear()
	q.urgent, q.bulk, q.urgentN, q.bulkN = urgent, bulk, size(urgent), size(bulk)
	q.urgentMid, q.bulkMid = urgentMid, bulkMid
}

// begun gives the frames that belong to a message of which some were popped.
func begun(frames [][]byte, mid bool) (rest [][]byte) {
	for _, frame := range frames {
		if !mid {
			break
		}
		rest = append(rest, frame)
		mid = more(frame)
	}
	return rest
}

func size(frames [][]byte) (bytes int) {
	for _, frame := range frames {
		bytes += len(frame)
	}
	return bytes
}

// more says whether a frame is followed by others of its message.
func more(frame []byte) bool { return frame[flagsAt]&moreFlag != 0 }
