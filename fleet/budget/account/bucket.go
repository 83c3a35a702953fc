package account

import "chutechute/internal/monotime"

// tokensPerAmount is how many tokens of a bucket are one thousandth of a unit. A token is so small that a rate in
// thousandths per second times a time in microseconds is a whole number of tokens.
const tokensPerAmount = second

// tokenBucket holds the tokens of one part of a rate: the leased or the static one. Other kinds use its Amount only.
type tokenBucket struct {
	Amount
	tokens   int64
	filledAt monotime.Micros
}

// set changes the bucket's rate and burst. Tokens never come with the change.
func (b *tokenBucket) set(now monotime.Micros, amount Amount) {
	b.fill(now)
	b.Amount = amount
	b.tokens = min(b.tokens, amount.Capacity*tokensPerAmount)
}

// fill adds the tokens that have accumulated since the last call.
func (b *tokenBucket) fill(now monotime.Micros) {
	elapsed := now - b.filledAt
	if b.filledAt = max(b.filledAt, now); elapsed <= 0 || b.Rate <= 0 {
		return
	}
	full := b.Capacity * tokensPerAmount
	if missing := full - b.tokens; elapsed > missing/b.Rate {
		b.tokens = max(b.tokens, full)
		return
	}
	b.tokens += elapsed * b.Rate
}
