package identity

// Handshakes limits the TLS handshakes that compute at once, for all addresses together and for each, since a handshake
// costs many times what a call does. Those above a limit are queued, first in, first out, except that an address at its
// limit does not hold up the others. A handshake that waits for its peer is not counted.
type Handshakes struct {
	Most, Each       int // maximum of handshakes that run at once, for all addresses and for each
	running          int
	runningByAddress map[uint64]int
	queue            []queuedHandshake
}

// queuedHandshake is a handshake that has not been started.
type queuedHandshake struct {
	address uint64
	start   func()
}

// NewHandshakes returns a Handshakes that lets at most that many run at once, and half of them, but at least one, from
// one address.
func NewHandshakes(most int) *Handshakes {
	return &Handshakes{Most: most, Each: max(1, most/2), runningByAddress: map[uint64]int{}}
}

// Ask calls start at once or, where a limit is reached, once others have ended. Start must not call methods of h.
func (h *Handshakes) Ask(address uint64, start func()) {
	h.queue = append(h.queue, queuedHandshake{address, start})
	h.startQueued()
}

// Ended ends the count of a handshake that was started, and starts queued ones in its place. It is called once for
// each.
func (h *Handshakes) Ended(address uint64) {
	h.running--
	h.runningByAddress[address]--
	if h.runningByAddress[address] <= 0 {
		delete(h.runningByAddress, address)
	}
	h.startQueued()
}

// Waiting returns the number of queued handshakes.
func (h *Handshakes) Waiting() int { return len(h.queue) }

// startQueued starts the queued handshakes that the limits allow, first in, first out.
func (h *Handshakes) startQueued() {
	remaining := h.queue[:0]
	for _, handshake := range h.queue {
		if h.running >= h.Most || h.runningByAddress[handshake.address] >= h.Each {
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
