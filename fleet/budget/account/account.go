// Package account is one front end's balance of one budget: what it may spend of the total, by a lease that expires and
// by a static allocation that does not, and what it has spent. It is plain state without I/O, clock or goroutines,
// and spending takes no message, lock or allocation.
//
// In terms of true time, for the amounts that are set and as long as this machine's clock runs no faster than
// ClockDriftDivisor allows:
//
//   - Rate: what is spent within any time span w is at most Rate·w + Capacity. An amount that grows brings no tokens
//     with it, and one that shrinks takes them away, so tokens that move between front ends are gone from one before
//     the other has them.
//   - Concurrency: at every instant at most Capacity is in use under the amounts. An amount that shrinks below what is
//     in use takes nothing away, and lets nothing start until enough has been released.
//   - Window: within any time span of the window's length at most Capacity is spent.
//   - Nothing is spent from an expired lease.
package account

import "chutechute/internal/monotime"

// windowSlots is the resolution of a sliding window: an expense counts until the end of its slot is a window ago.
const windowSlots = 32

// noDeadline is the deadline of what is spent without a lease.
const noDeadline monotime.Micros = 1 << 62

// Account is one front end's balance of one subject's budget.
type Account struct {
	kind           Kind
	window         monotime.Micros // by this clock, with the drift
	leaseExpiresAt monotime.Micros
	lease          tokenBucket
	static         tokenBucket

	earned      int64 // of a rate: earned here and not spent yet, in thousandths
	inUse       int64 // in use now, or spent within the window
	spentInSlot [windowSlots + 1]int64
	currentSlot int64
	demand      demand

	// promisedUntil is the time up to which future tokens were promised to rejected requests by RetryAfter.
	promisedUntil monotime.Micros

	// Spent is what was spent over the account's life, in thousandths of a unit.
	Spent int64
	// Denied is the number of requests that were rejected over the account's life; the owner counts it.
	Denied int
}

// New returns an empty account. window is the length of the sliding window of a Window budget.
func New(kind Kind, window monotime.Micros) *Account {
	return &Account{kind: kind, window: window + window/ClockDriftDivisor}
}

// slowed returns the amount with the rate that is safe by a clock that may run fast by the bound on drift.
func (a *Account) slowed(amount Amount) Amount {
	amount.Rate -= (amount.Rate + ClockDriftDivisor - 1) / ClockDriftDivisor
	return amount
}

// SetLease sets the leased amount, and when the lease expires.
func (a *Account) SetLease(now monotime.Micros, amount Amount, until monotime.Micros) {
	a.expireLease(now)
	a.lease.set(now, a.slowed(amount))
	a.leaseExpiresAt = until
}

// SetStatic sets the amount that needs no lease.
func (a *Account) SetStatic(now monotime.Micros, amount Amount) { a.static.set(now, a.slowed(amount)) }

// expireLease drops the lease if it has expired. The tokens of the next lease start at zero.
func (a *Account) expireLease(now monotime.Micros) {
	if now >= a.leaseExpiresAt && a.lease.Amount != (Amount{}) {
		a.lease = tokenBucket{filledAt: now}
	}
}

// advance brings the balance to the present: it expires the lease, fills token buckets and moves the window.
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

// advanceWindow moves the sliding window's end to now and forgets what was spent before its start.
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

// affords reports whether n is available: for a rate in one of its parts, otherwise in all of them together.
func (a *Account) affords(n int64) bool {
	if a.kind == Rate {
		return a.earned >= n || a.lease.tokens >= n*tokensPerAmount || a.static.tokens >= n*tokensPerAmount
	}
	return a.inUse+n <= a.lease.Capacity+a.static.Capacity
}

// CanSpend reports whether n thousandths of a unit may be spent now.
func (a *Account) CanSpend(now monotime.Micros, n int64) bool {
	a.advance(now)
	return a.affords(n)
}

// Spend spends n thousandths of a unit if they are available. What they were spent for may start until the time that
// is returned, and not later.
func (a *Account) Spend(now monotime.Micros, n int64) (until monotime.Micros, ok bool) {
	a.advance(now)
	if !a.affords(n) {
		return 0, false
	}
	until = noDeadline
	switch a.kind {
	case Rate:
		if a.earned >= n {
			a.earned -= n
		} else if a.static.tokens >= n*tokensPerAmount { // first: it is small, and would otherwise be full and idle
			a.static.tokens -= n * tokensPerAmount
		} else {
			a.lease.tokens -= n * tokensPerAmount
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

// RecordUnbounded records n thousandths of a unit as spent whether or not they are available. It is for a budget that
// is not in force yet, so that what is in use is known when it comes into force.
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

// MaxEarned bounds what is earned and not spent, in thousandths of a unit.
const MaxEarned = 2 * Unit

// Earn adds n thousandths of a unit to a rate. What is earned belongs to this front end and is never leased: all front
// ends together spend no more of it than they have earned by then, and MaxEarned each.
func (a *Account) Earn(n int64) { a.earned = min(MaxEarned, a.earned+n) }

// Release gives back n thousandths of a unit of a concurrency limit: what used them has certainly finished.
func (a *Account) Release(n int64) {
	if a.kind == Concurrency {
		a.inUse -= n
	}
}

// InUseBeyondStatic returns what is in use, or was spent within the window, beyond the static allocation, in
// thousandths of a unit.
func (a *Account) InUseBeyondStatic(now monotime.Micros) int64 {
	a.advance(now)
	return max(0, a.inUse-a.static.Capacity)
}

// TotalInUse returns all that is in use, or was spent within the window, in thousandths of a unit.
func (a *Account) TotalInUse(now monotime.Micros) int64 {
	a.advance(now)
	return a.inUse
}

// RetryAfter returns how long a request that is rejected now should wait for n thousandths of a unit. Each caller gets
// a time of its own. Zero means that the time is unknown.
func (a *Account) RetryAfter(now monotime.Micros, n int64) monotime.Micros {
	rate := a.lease.Rate + a.static.Rate
	if a.kind != Rate || rate <= 0 {
		return 0
	}
	a.advance(now)
	fillTime := n*tokensPerAmount/rate + 1
	available := max(a.lease.tokens, a.static.tokens) / rate
	a.promisedUntil = max(now+fillTime-available, a.promisedUntil+fillTime)
	return a.promisedUntil - now
}

// Amounts returns the leased and the static amount that are in force, and when the lease expires.
func (a *Account) Amounts(now monotime.Micros) (lease, static Amount, until monotime.Micros) {
	a.expireLease(now)
	return a.lease.Amount, a.static.Amount, a.leaseExpiresAt
}
