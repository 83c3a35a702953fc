package identity

// HandshakeLimiter limits the TLS handshakes that compute at once, for all addresses together and for each, since a
// handshake costs many times what a call does. Those above a limit are queued, first in, first out, except that an
// address at its limit does not hold up the others. A handshake that waits for its peer is not counted.
type HandshakeLimiter struct {
	MaxRunning, MaxRunningPerAddress int // maximum of handshakes that run at once, for all addresses and for each
	running                          int
	runningByAddress                 map[uint64]int
	queue                            []queuedHandshake
}

// queuedHandshake is a handshake that has not been started.
type queuedHandshake struct {
	address uint64
	start   func()
}

// NewHandshakeLimiter returns a Handshakes that lets at most that many run at once, and half of them, but at least
// one, from one address.
func NewHandshakeLimiter(most int) *HandshakeLimiter {
	return &HandshakeLimiter{MaxRunning: most, MaxRunningPerAddress: max(1, most/2), runningByAddress: map[uint64]int{}}
}

// Start calls start at once or, where a limit is reached, once others have ended. Start must not call methods of h.
func (h *HandshakeLimiter) Start(address uint64, start func()) {
	h.queue = append(h.queue, queuedHandshake{address, start})
	h.startQueued()
}

// Done ends the count of a handshake that was started, and starts queued ones in its place. It is called once for
// each.
func (h *HandshakeLimiter) Done(address uint64) {
	h.running--
	h.runningByAddress[address]--
	if h.runningByAddress[address] <= 0 {
		delete(h.runningByAddress, address)
	}
	h.startQueued()
}

// Queued returns the number of queued handshakes.
func (h *HandshakeLimiter) Queued() int { return len(h.queue) }

// startQueued starts the queued handshakes that the limits allow, first in, first out.
func (h *HandshakeLimiter) startQueued() {
	remaining := h.queue[:0]
	for _, handshake := range h.queue {
		if h.running >= h.MaxRunning || h.runningByAddress[handshake.address] >= h.MaxRunningPerAddress {
			remaining = append(remaining, handshake)
			continue
		}
		h.running++
		h.runningByAddress[handshake.address]++
		handshake.start()
	}
	clear(h.queue[len(remaining):])
	h.queue = remaining
}
