package standin

import "sync"

// Random is a sequence of numbers from a seed. It may be drawn from by several goroutines.
type Random struct {
	mu    sync.Mutex
	state uint64
}

// NewRandom begins a sequence.
func NewRandom(seed uint64) *Random { return &Random{state: seed*0x9e3779b97f4a7c15 | 1} }

// Uint64 is the next number.
func (r *Random) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state ^= r.state << 13
	r.state ^= r.state >> 7
	r.state ^= r.state << 17
	return r.state * 0x2545f4914f6cdd1d
}

// N is a number below n.
func (r *Random) N(n int) int { return int(r.Uint64() >> 33 % uint64(n)) }
