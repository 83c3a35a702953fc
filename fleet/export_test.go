package fleet

import "chutechute/peer"

// Forwarded is what a control member passes on.
func Forwarded(process uint64, kind peer.Kind, body []byte) []byte {
	w := forwarded{process, kind, body}
	return w.encode()
}
