package discovery

import (
	"math/rand/v2"

	"chutechute/internal/monotime"
)

// Durations of Backoff. The discovery service considers an event known to all front ends 7 s after it was sent,
// received or not. Within that time a front end can detect an unresponsive connection and dial again three times.
const (
	minReadTimeout    = 2250 * monotime.Millisecond // the service sends a heartbeat each second
	readTimeoutJitter = 500 * monotime.Millisecond
	initialDelay      = 200 * monotime.Millisecond
	maxDelay          = 800 * monotime.Millisecond
)

// maxDoublings limits how often the delay is doubled before maxDelay is applied.
const maxDoublings = 8

// randomStream makes the random numbers of Backoff independent of others with the same seed.
const randomStream = 2

// Backoff sets the read timeout of a connection to the discovery service, and the delay before the next dial. When the
// service fails, all front ends lose their connections at the same moment. Random timeouts and delays spread their
// dials, and the delay grows with each dial.
type Backoff struct {
	random   *rand.Rand
	attempts int
}

// NewBackoff returns a Backoff. The seed differs between processes, so that their timeouts and delays differ.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, randomStream))}
}

// Reset makes the next delay a short one again. It is called for each complete frame.
func (b *Backoff) Reset() { b.attempts = 0 }

// ReadTimeout returns the read timeout of the next connection.
func (b *Backoff) ReadTimeout() monotime.Micros {
	return minReadTimeout + b.random.Int64N(readTimeoutJitter)
}

// NextDelay returns how long to wait before the next dial.
func (b *Backoff) NextDelay() monotime.Micros {
	limit := min(maxDelay, initialDelay<<min(b.attempts, maxDoublings))
	b.attempts++
	return limit/4 + b.random.Int64N(limit*3/4)
}
