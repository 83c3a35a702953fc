package peering

import "chutechute/fleet/transport"

// Traffic is what one front end has read and written on its links to others. Payload is what messages carry; the rest of the
// bytes is framing: headers and hellos.
type Traffic struct {
	MessagesIn  int `json:"messages_in"`
	MessagesOut int `json:"messages_out"`
	PayloadIn   int `json:"payload_in"`
	PayloadOut  int `json:"payload_out"`
	BytesIn     int `json:"bytes_in"`
	BytesOut    int `json:"bytes_out"`
	// Heartbeats among control members, of the messages above.
	HeartbeatsIn  int `json:"heartbeats_in"`
	HeartbeatSize int `json:"heartbeat_size"` // payload of all of them together
}

// frameHeader is the length of a frame that carries nothing.
var frameHeader = len(transport.AppendFrame(nil, transport.ControlHeartbeat, 0, false, nil))

// BytesRead and BytesWritten count bytes at the socket.
func (t *Traffic) BytesRead(n int) {
	t.BytesIn += n
}

func (t *Traffic) BytesWritten(n int) {
	t.BytesOut += n
}

// sent counts a frame that is handed to a socket. A message above transport.MaxFrameBody takes several.
func (t *Traffic) sent(frame []byte) {
	t.MessagesOut++
	t.PayloadOut += len(frame) - frameHeader
}

// took counts a message that came whole.
func (t *Traffic) took(m transport.Message) {
	t.MessagesIn++
	t.PayloadIn += len(m.Body)
	if m.Kind == transport.ControlHeartbeat {
		t.HeartbeatsIn++
		t.HeartbeatSize += len(m.Body)
	}
}

// Plus is both together.
func (t Traffic) Plus(o Traffic) Traffic {
	t.MessagesIn += o.MessagesIn
	t.MessagesOut += o.MessagesOut
	t.PayloadIn += o.PayloadIn
	t.PayloadOut += o.PayloadOut
	t.BytesIn += o.BytesIn
	t.BytesOut += o.BytesOut
	t.HeartbeatsIn += o.HeartbeatsIn
	t.HeartbeatSize += o.HeartbeatSize
	return t
}

// Minus is what was counted since before.
func (t Traffic) Minus(before Traffic) Traffic {
	return t.Plus(Traffic{-before.MessagesIn, -before.MessagesOut, -before.PayloadIn, -before.PayloadOut, -before.BytesIn, -before.BytesOut,
		-before.HeartbeatsIn, -before.HeartbeatSize})
}
