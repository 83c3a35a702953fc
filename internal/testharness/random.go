package testharness

import "sync"

// Random is a generator of pseudo-random numbers (xorshift64*) whose sequence depends on the seed alone. It is safe
// for concurrent use.
type Random struct {
	mu    sync.Mutex
	state uint64
}

// NewRandom returns a generator with the given seed.
func NewRandom(seed uint64) *Random { return &Random{state: seed*0x9e3779b97f4a7c15 | 1} }

// Uint64 returns the next number of the sequence.
func (r *Random) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state ^= r.state << 13
	r.state ^= r.state >> 7
	r.state ^= r.state << 17
	return r.state * 0x2545f4914f6cdd1d
}

// IntN returns the next number of the sequence, reduced to [0, n). n must be positive.
func (r *Random) IntN(n int) int { return int(r.Uint64() >> 33 % uint64(n)) }
