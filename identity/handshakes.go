package identity

// Handshakes decides which connections may begin to shake hands. A handshake costs the core many times what a call does, so
// those that compute are bounded in count, over all and for each address; who is not let in yet waits, first come first
// served. One that waits for its peer is none of them.
type Handshakes struct {
	Most, Each int // that compute, over all and for each address
	going      int
	of         map[uint64]int
	line       []waiting
}

type waiting struct {
	addr  uint64
	start func()
}

// NewHandshakes bounds handshakes: at most so many on their way, and half of them from one address.
func NewHandshakes(most int) *Handshakes {
	return &Handshakes{Most: most, Each: max(1, most/2), of: map[uint64]int{}}
}

// Ask begins a handshake now, or once others have ended. Start must not call back.
func (h *Handshakes) Ask(addr uint64, start func()) {
	h.line = append(h.line, waiting{addr, start})
	h.next()
}

// Ended makes room for those that wait. It is called once for each that was started.
func (h *Handshakes) Ended(addr uint64) {
	h.going--
	if h.of[addr]--; h.of[addr] <= 0 {
		delete(h.of, addr)
	}
	h.next()
}

// Waiting is how many wait.
func (h *Handshakes) Waiting() int { return len(h.line) }

// next starts those that may go, first come first, passing over addresses that have their part.
func (h *Handshakes) next() {
	kept := h.line[:0]
	for _, w := range h.line {
		if h.going < h.Most && h.of[w.addr] < h.Each {
			h.going++
			h.of[w.addr]++
			w.start()
		} else {
			kept = append(kept, w)
		}
	}
	clear(h.line[len(kept):])
	h.line = kept
}
