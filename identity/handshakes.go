package identity

// HandshakeLimiter limits how many TLS handshakes run concurrently, in total and per client address, because a
// handshake costs many times as much as a request. Handshakes above a limit are queued first in, first out, but an
// address at its limit does not block the others. A handshake that waits for its peer does not count.
type HandshakeLimiter struct {
	MaxRunning, MaxRunningPerAddress int // concurrent handshakes, in total and per address
	running                          int
	runningByAddress                 map[uint64]int
	queue                            []queuedHandshake
}

// queuedHandshake is a handshake that has not started.
type queuedHandshake struct {
	address uint64
	start   func()
}

// NewHandshakeLimiter returns a limiter of maxRunning concurrent handshakes, of which one address can have half, but at
// least one.
func NewHandshakeLimiter(maxRunning int) *HandshakeLimiter {
	return &HandshakeLimiter{
		MaxRunning: maxRunning, MaxRunningPerAddress: max(1, maxRunning/2), runningByAddress: map[uint64]int{},
	}
}

// Start calls start immediately or, if a limit is reached, once enough other handshakes are done. The callback must
// not call methods of h.
func (h *HandshakeLimiter) Start(address uint64, start func()) {
	h.queue = append(h.queue, queuedHandshake{address, start})
	h.startQueued()
}

// Done releases the slot of a started handshake and starts the queued ones that the limits now allow. It must be called
// exactly once for each started handshake: when it first waits for its peer, or when it ends before that.
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

// startQueued starts the queued handshakes that the limits allow, in the order of the queue.
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
