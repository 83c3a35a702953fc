package discovery

import (
	"math/rand/v2"

	"chutechute/internal/monotime"
)

// Durations of Backoff. What the discovery service sends counts as known after 7 s, received or not, which leaves time
// for a silence to be noticed, for a dial that fails and for two more.
const (
	minReadTimeout    = 2250 * monotime.Millisecond // a heartbeat comes each second
	readTimeoutJitter = 500 * monotime.Millisecond
	initialDelay      = 200 * monotime.Millisecond
	maxDelay          = 800 * monotime.Millisecond
)

// maxDoublings bounds how often the delay is doubled, before maxDelay is applied.
const maxDoublings = 8

// randomStream sets the random numbers of Backoff apart from others of the same seed.
const randomStream = 2

// Backoff decides when a connection is given up as unresponsive, and when the next is dialled. All front ends lose
// their connection at one moment, when the discovery service fails: each goes by times of its own, further apart
// the longer it lasts.
type Backoff struct {
	random   *rand.Rand
	attempts int
}

// NewBackoff returns a Backoff with random numbers of the process's own seed.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, randomStream))}
}

// Reset notes that a whole frame has come: the next delay is a short one again.
func (b *Backoff) Reset() { b.attempts = 0 }

// ReadTimeout returns for how long nothing may come on the next connection.
func (b *Backoff) ReadTimeout() monotime.Micros {
	return minReadTimeout + b.random.Int64N(readTimeoutJitter)
}

// NextDelay returns how long to wait before the next dial.
func (b *Backoff) NextDelay() monotime.Micros {
	limit := min(maxDelay, initialDelay<<min(b.attempts, maxDoublings))
	b.attempts++
	return limit/4 + b.random.Int64N(limit*3/4)
}
