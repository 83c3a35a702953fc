package fleet

import "chutechute/fleet/transport"

// EncodeForward returns the encoded message with which a control member forwards a message from or to the attached
// front end's process with the incarnation.
func EncodeForward(incarnation uint64, kind transport.Kind, body []byte) []byte {
	m := forwardMessage{incarnation, kind, body}
	return m.encode()
}
