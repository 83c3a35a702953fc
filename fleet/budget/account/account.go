// Package account keeps one front end's accounts of budgets: what it may spend, under a lease that expires and from a
// static allocation that does not, and what it has spent. An account is plain state without I/O, clock or goroutines.
// Spending sends no messages, takes no locks and allocates no memory.
//
// For the amounts that are set, an account keeps the following limits in true time, as long as this machine's clock
// runs no faster than ClockDriftDivisor allows:
//
//   - Rate: within any time span w, at most Rate·w + Capacity is spent. An increase adds no tokens, and a decrease
//     removes those above the new burst. So when a rate moves between front ends, one has lost its tokens before the
//     other gets any.
//   - Concurrency: at every instant, at most Capacity is in use. If Capacity is reduced below what is in use, nothing
//     is interrupted, but nothing more can start until enough has been released.
//   - Window: within any time span of the window's length, at most Capacity is spent.
//   - Nothing is spent under an expired lease.
package account

import "chutechute/internal/monotime"

// windowSlots is the number of slots of a sliding window. An expense counts until a window has passed since the end of
// its slot.
const windowSlots = 32

// noExpiry is what Spend returns if nothing was spent from the lease, so that the work may start at any time.
const noExpiry monotime.Micros = 1 << 62

// Account is one front end's account of one subject's budget.
type Account struct {
	kind           Kind
	window         monotime.Micros // the window's length, extended by the drift of this machine's clock
	leaseExpiresAt monotime.Micros
	lease          tokenBucket
	static         tokenBucket

	earned      int64 // of a rate: earned with Earn and not spent yet, in thousandths of a unit
	inUse       int64 // in use now, or spent within the window, in thousandths of a unit
	spentInSlot [windowSlots + 1]int64
	currentSlot int64
	demand      demand

	// promisedUntil is the time until which RetryAfter has assigned future tokens to rejected requests.
	promisedUntil monotime.Micros

	// Spent is the total that was spent from the account, in thousandths of a unit.
	Spent int64
	// Denied is the number of rejected requests. The owner of the account counts them.
	Denied int
}

// New returns an empty account. window is the length of the sliding window of a Window budget.
func New(kind Kind, window monotime.Micros) *Account {
	return &Account{kind: kind, window: window + window/ClockDriftDivisor}
}

// withDriftMargin returns the amount with its rate reduced by the maximum drift, so that the limit holds even if this
// machine's clock runs fast.
func (a *Account) withDriftMargin(amount Amount) Amount {
	amount.Rate -= (amount.Rate + ClockDriftDivisor - 1) / ClockDriftDivisor
	return amount
}

// SetLease sets the leased amount and the time at which the lease expires.
func (a *Account) SetLease(now monotime.Micros, amount Amount, until monotime.Micros) {
	a.expireLease(now)
	a.lease.set(now, a.withDriftMargin(amount))
	a.leaseExpiresAt = until
}

// SetStatic sets the amount that can be spent without a lease.
func (a *Account) SetStatic(now monotime.Micros, amount Amount) {
	a.static.set(now, a.withDriftMargin(amount))
}

// expireLease removes the lease if it has expired. The next lease starts without tokens.
func (a *Account) expireLease(now monotime.Micros) {
	if now >= a.leaseExpiresAt && a.lease.Amount != (Amount{}) {
		a.lease = tokenBucket{filledAt: now}
	}
}

// advance brings the account up to date: it expires the lease, fills the token buckets and moves the window.
func (a *Account) advance(now monotime.Micros) {
	a.expireLease(now)
	switch a.kind {
	case Rate:
		a.lease.fill(now)
		a.static.fill(now)
	case Window:
		a.advanceWindow(now)
	}
}

// advanceWindow moves the end of the sliding window to now and drops what was spent before its start.
func (a *Account) advanceWindow(now monotime.Micros) {
	slot := now / (a.window/windowSlots + 1)
	if slot-a.currentSlot > windowSlots {
		a.spentInSlot, a.inUse, a.currentSlot = [windowSlots + 1]int64{}, 0, slot
		return
	}
	for a.currentSlot < slot {
		a.currentSlot++
		spent := &a.spentInSlot[a.currentSlot%(windowSlots+1)]
		a.inUse -= *spent
		*spent = 0
	}
}

// isAvailable reports whether n thousandths of a unit are available. For a rate, a single one of the earned amount, the
// static bucket and the leased bucket must cover it; for other kinds, the static and leased amounts count together.
func (a *Account) isAvailable(n int64) bool {
	if a.kind == Rate {
		return a.earned >= n || a.lease.tokens >= n*tokensPerThousandth || a.static.tokens >= n*tokensPerThousandth
	}
	return a.inUse+n <= a.lease.Capacity+a.static.Capacity
}

// CanSpend reports whether n thousandths of a unit may be spent now.
func (a *Account) CanSpend(now monotime.Micros, n int64) bool {
	a.advance(now)
	return a.isAvailable(n)
}

// Spend spends n thousandths of a unit if they are available. The work that they are spent for must start before the
// returned time.
func (a *Account) Spend(now monotime.Micros, n int64) (until monotime.Micros, ok bool) {
	a.advance(now)
	if !a.isAvailable(n) {
		return 0, false
	}
	until = noExpiry
	switch a.kind {
	case Rate:
		if a.earned >= n {
			a.earned -= n
		} else if a.static.tokens >= n*tokensPerThousandth {
			// The static bucket comes before the lease's. It is small and fills up soon, and a full bucket gains no tokens.
			a.static.tokens -= n * tokensPerThousandth
		} else {
			a.lease.tokens -= n * tokensPerThousandth
			until = a.leaseExpiresAt
		}
	default:
		a.RecordUnbounded(now, n)
	}
	if a.kind != Rate && a.inUse > a.static.Capacity {
		until = a.leaseExpiresAt
	}
	a.Spent += n
	return until, true
}

// RecordUnbounded records n thousandths of a unit as spent even if they are not available. It is used for budgets that
// are not in force yet, so that what is in use is known when they come into force.
func (a *Account) RecordUnbounded(now monotime.Micros, n int64) {
	a.advance(now)
	switch a.kind {
	case Window:
		a.spentInSlot[a.currentSlot%(windowSlots+1)] += n
		a.inUse += n
	case Concurrency:
		a.inUse += n
	}
}

// MaxEarned is the most that an account keeps of what it has earned, in thousandths of a unit.
const MaxEarned = 2 * Unit

// Earn credits n thousandths of a unit to a rate's account, which keeps at most MaxEarned. They are spent by this front
// end only and never leased, so all front ends together never spend more of them than they have earned.
func (a *Account) Earn(n int64) { a.earned = min(MaxEarned, a.earned+n) }

// Release gives back n thousandths of a unit of a concurrency limit. What used them must certainly have finished.
func (a *Account) Release(n int64) {
	if a.kind == Concurrency {
		a.inUse -= n
	}
}

// InUseBeyondStatic returns by how many thousandths of a unit what is in use, or was spent within the window, exceeds
// the static allocation.
func (a *Account) InUseBeyondStatic(now monotime.Micros) int64 {
	a.advance(now)
	return max(0, a.inUse-a.static.Capacity)
}

// TotalInUse returns all that is in use, or was spent within the window, in thousandths of a unit.
func (a *Account) TotalInUse(now monotime.Micros) int64 {
	a.advance(now)
	return a.inUse
}

// RetryAfter returns how long a request that is rejected now should wait until n thousandths of a unit are available
// for it. Each call counts on different future tokens, so that rejected requests do not all return at once. Zero means
// that the time is unknown.
func (a *Account) RetryAfter(now monotime.Micros, n int64) monotime.Micros {
	rate := a.lease.Rate + a.static.Rate
	if a.kind != Rate || rate <= 0 {
		return 0
	}
	a.advance(now)
	fillTime := n*tokensPerThousandth/rate + 1
	available := max(a.lease.tokens, a.static.tokens) / rate
	a.promisedUntil = max(now+fillTime-available, a.promisedUntil+fillTime)
	return a.promisedUntil - now
}

// Amounts returns the leased and the static amount in force, and the time at which the lease expires.
func (a *Account) Amounts(now monotime.Micros) (lease, static Amount, until monotime.Micros) {
	a.expireLease(now)
	return a.lease.Amount, a.static.Amount, a.leaseExpiresAt
}
