package identity

import "chutechute/internal/monotime"

// minRate bounds the rate by which timeToNext divides, in tokens a second.
const minRate = 1e-6

// tokenBucket limits a rate of events. The zero value is filled to its burst at its first use.
type tokenBucket struct {
	rate        float64 // tokens added a second
	burst       float64 // maximum of tokens
	tokens      float64
	refilledAt  monotime.Micros // monotonic time up to which tokens were added
	initialized bool
}

// take takes a token and reports whether there was one.
func (b *tokenBucket) take(now monotime.Micros) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *tokenBucket) refill(now monotime.Micros) {
	if !b.initialized {
		b.initialized = true
		b.tokens = b.burst
		b.refilledAt = now
	}
	elapsed := max(0, now-b.refilledAt)
	b.tokens = min(b.burst, b.tokens+b.rate*float64(elapsed)/float64(monotime.Second))
	b.refilledAt = max(b.refilledAt, now)
}

// timeToNext returns the time until there is a token, in microseconds.
func (b *tokenBucket) timeToNext() monotime.Micros {
	return monotime.Micros((1 - b.tokens) / max(b.rate, minRate) * float64(monotime.Second))
}
