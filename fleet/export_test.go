package fleet

import "chutechute/fleet/transport"

// EncodeForward returns an encoded message that a control member forwards.
func EncodeForward(process uint64, kind transport.Kind, body []byte) []byte {
	m := forwardMessage{process, kind, body}
	return m.encode()
}
