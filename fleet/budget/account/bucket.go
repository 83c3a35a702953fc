package account

import "chutechute/internal/monotime"

// tokensPerThousandth is the number of tokens in one thousandth of a unit. Tokens are that small so that a rate in
// thousandths per second times a number of microseconds is a whole number of tokens.
const tokensPerThousandth = second

// tokenBucket is a token bucket for the leased or the static amount of a rate. Other kinds only use its Amount.
type tokenBucket struct {
	Amount
	tokens   int64
	filledAt monotime.Micros
}

// set changes the bucket's rate and burst. It never adds tokens beyond those that have accumulated by now.
func (b *tokenBucket) set(now monotime.Micros, amount Amount) {
	b.fill(now)
	b.Amount = amount
	b.tokens = min(b.tokens, amount.Capacity*tokensPerThousandth)
}

// fill adds the tokens that have accumulated since the last call.
func (b *tokenBucket) fill(now monotime.Micros) {
	elapsed := now - b.filledAt
	if b.filledAt = max(b.filledAt, now); elapsed <= 0 || b.Rate <= 0 {
		return
	}
	full := b.Capacity * tokensPerThousandth
	if missing := full - b.tokens; elapsed > missing/b.Rate {
		b.tokens = max(b.tokens, full)
		return
	}
	b.tokens += elapsed * b.Rate
}
