package peering

import "chutechute/fleet/transport"

// Traffic counts a front end's messages and bytes on its links since its start. Payload counts message bodies; the
// remaining bytes are frame headers and handshakes.
type Traffic struct {
	MessagesIn  int `json:"messages_in"`
	MessagesOut int `json:"messages_out"`
	PayloadIn   int `json:"payload_in"`
	PayloadOut  int `json:"payload_out"`
	BytesIn     int `json:"bytes_in"`
	BytesOut    int `json:"bytes_out"`
	// Heartbeats between control members, which are included above.
	HeartbeatsIn  int `json:"heartbeats_in"`
	HeartbeatSize int `json:"heartbeat_size"` // their payload bytes in total
}

// frameHeaderBytes is the length of a frame with an empty body.
var frameHeaderBytes = len(transport.AppendFrame(nil, transport.ControlHeartbeat, 0, false, nil))

// BytesRead counts n bytes read from a socket.
func (t *Traffic) BytesRead(n int) { t.BytesIn += n }

// BytesWritten counts n bytes written to a socket.
func (t *Traffic) BytesWritten(n int) { t.BytesOut += n }

// countSent counts a frame that is about to be written. A message longer than transport.MaxFrameBody has several
// frames, each of which counts as a message.
func (t *Traffic) countSent(frame []byte) {
	t.MessagesOut++
	t.PayloadOut += len(frame) - frameHeaderBytes
}

// countReceived counts a received message.
func (t *Traffic) countReceived(m transport.Message) {
	t.MessagesIn++
	t.PayloadIn += len(m.Body)
	if m.Kind == transport.ControlHeartbeat {
		t.HeartbeatsIn++
		t.HeartbeatSize += len(m.Body)
	}
}

// Plus returns the sum of two counts.
func (t Traffic) Plus(other Traffic) Traffic {
	t.MessagesIn += other.MessagesIn
	t.MessagesOut += other.MessagesOut
	t.PayloadIn += other.PayloadIn
	t.PayloadOut += other.PayloadOut
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
	t.HeartbeatsIn += other.HeartbeatsIn
	t.HeartbeatSize += other.HeartbeatSize
	return t
}

// Minus returns the difference to an earlier count.
func (t Traffic) Minus(earlier Traffic) Traffic {
	t.MessagesIn -= earlier.MessagesIn
	t.MessagesOut -= earlier.MessagesOut
	t.PayloadIn -= earlier.PayloadIn
	t.PayloadOut -= earlier.PayloadOut
	t.BytesIn -= earlier.BytesIn
	t.BytesOut -= earlier.BytesOut
	t.HeartbeatsIn -= earlier.HeartbeatsIn
	t.HeartbeatSize -= earlier.HeartbeatSize
	return t
}
