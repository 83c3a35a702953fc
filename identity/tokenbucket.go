package identity

import "chutechute/internal/monotime"

// minRate keeps timeToNext from dividing by a rate of 0, in tokens per second.
const minRate = 1e-6

// tokenBucket is a rate limiter. Its tokens are permits for events and unrelated to authentication tokens. A new bucket
// is filled to its burst on first use.
type tokenBucket struct {
	rate        float64 // tokens added per second
	burst       float64 // capacity, in tokens
	tokens      float64
	refilledAt  monotime.Micros // monotonic time of the last refill
	initialized bool
}

// take removes a token and reports whether one was available.
func (b *tokenBucket) take(now monotime.Micros) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill.
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

// timeToNext returns the time until a token is available, in microseconds. The bucket must have less than one token.
func (b *tokenBucket) timeToNext() monotime.Micros {
	return monotime.Micros((1 - b.tokens) / max(b.rate, minRate) * float64(monotime.Second))
}
