package fleet

import "chutechute/fleet/transport"

// Forwarded is what a control member passes on.
func Forwarded(process uint64, kind transport.Kind, body []byte) []byte {
	w := forwarded{process, kind, body}
	return w.encode()
}
