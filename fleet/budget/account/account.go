// Package account is one front end's balance of one budget: what it may spend of the whole, by a lease that ends and by a static
// part that does not, and what it has spent. It is plain state without I/O, clock or goroutines, spent from memory: no message,
// lock or allocation a query.
//
// In terms of true time, for the amounts that are set and as long as this machine's clock runs no faster than Drift allows:
//
//   - A rate: within any span w what is spent is at most Rate·w + Much. An amount that grows brings no tokens with it, and one
//     that shrinks takes them away, so what moves between front ends is gone on one side before it is there on the other.
//   - Places: at every instant at most Much are held by what was begun under the amounts; an amount that shrinks below what is
//     held takes no place away, and lets nothing begin until enough have been given back.
//   - A window: within any span of that length at most Much is spent.
//   - Nothing is spent of a lease whose time has come.
package account

import "chutechute/internal/monotime"

const second = 1_000_000

// Kind is what a budget bounds.
type Kind int

// The kinds.
const (
	Rate        Kind = iota + 1 // so much a second, with a burst
	Concurrency                 // so much at a time
	Window                      // so much within any window
)

func (k Kind) String() string { return [...]string{"", "rate", "places", "window"}[k] }

// Unit is one query, thread or millisecond of work in amounts.
const Unit = 1000

// ClockDriftDivisor is the bound on how much faster one machine's clock may run than another's, as one part in so many.
const ClockDriftDivisor = 100

// Amount is a part of a budget, in thousandths: Much is a rate's burst, places, or what a window takes; Rate is a second's, for
// rates alone.
type Amount struct{ Capacity, Rate int64 }

// Add, Sub, Max and Min go by each of the two.
func (a Amount) Add(b Amount) Amount { return Amount{a.Capacity + b.Capacity, a.Rate + b.Rate} }

// Sub takes another amount off.
func (a Amount) Sub(b Amount) Amount { return Amount{a.Capacity - b.Capacity, a.Rate - b.Rate} }

// Max is the larger of each.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.Capacity, b.Capacity), max(a.Rate, b.Rate)} }

// Min is the smaller of each.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.Capacity, b.Capacity), min(a.Rate, b.Rate)} }

// bucket is one part of a rate: tokens in thousandths of a thousandth of a thousandth, so that a rate in thousandths a second
// times microseconds is exact.
type bucket struct {
	Amount
	level int64
	at    monotime.Micros
}

const nano = 1_000_000

// set puts another amount into force; tokens never come with it.
func (b *bucket) set(now monotime.Micros, a Amount) {
	b.fill(now)
	b.Amount = a
	b.level = min(b.level, a.Capacity*nano)
}

func (b *bucket) fill(now monotime.Micros) {
	span := now - b.at
	if b.at = max(b.at, now); span <= 0 || b.Rate <= 0 {
		return
	}
	full := b.Capacity * nano
	if missing := full - b.level; span > missing/b.Rate {
		b.level = max(b.level, full)
		return
	}
	b.level += span * b.Rate
}

// slots is how finely a window is kept: what was spent counts until its slot's end is a window ago.
const slots = 32

// Account is the balance.
type Account struct {
	kind   Kind
	span   monotime.Micros // a window's, on this clock, with the drift
	until  monotime.Micros // of the lease
	lease  bucket
	static bucket

	earned int64 // of a rate, by what was done here; in thousandths
	used   int64 // held, or spent within the window
	spent  [slots + 1]int64
	slot   int64 // the last that was counted
	demand demand
	owed   monotime.Micros // up to when tokens to come were spoken for to those who were turned away
	// Spent and Denied count over the account's life, in thousandths and in questions.
	Spent  int64
	Denied int
}

// New is an empty balance; span is a window's.
func New(kind Kind, span monotime.Micros) *Account {
	return &Account{kind: kind, span: span + span/ClockDriftDivisor}
}

// slowed is a rate by a clock that may be fast by Drift.
func (a *Account) slowed(m Amount) Amount {
	m.Rate -= (m.Rate + ClockDriftDivisor - 1) / ClockDriftDivisor
	return m
}

// Lease puts the leased part into force, until a time.
func (a *Account) Lease(now monotime.Micros, m Amount, until monotime.Micros) {
	a.expire(now)
	a.lease.set(now, a.slowed(m))
	a.until = until
}

// Static puts the part into force that takes no lease.
func (a *Account) Static(now monotime.Micros, m Amount) { a.static.set(now, a.slowed(m)) }

// expire ends a lease whose time has come; what comes with the next one begins at nothing.
func (a *Account) expire(now monotime.Micros) {
	if now >= a.until && a.lease.Amount != (Amount{}) {
		a.lease = bucket{at: now}
	}
}

// turn brings the balance to now.
func (a *Account) turn(now monotime.Micros) {
	a.expire(now)
	switch a.kind {
	case Rate:
		a.lease.fill(now)
		a.static.fill(now)
	case Window:
		slot := now / (a.span/slots + 1)
		if slot-a.slot > slots {
			a.spent, a.used = [slots + 1]int64{}, 0
		} else {
			for a.slot < slot {
				a.slot++
				p := &a.spent[a.slot%(slots+1)]
				a.used, *p = a.used-*p, 0
			}
		}
		a.slot = max(a.slot, slot)
	}
}

// left is what may be spent now of the lease and of the static part, for rates, or of both together.
func (a *Account) room(n int64) bool {
	if a.kind == Rate {
		return a.earned >= n || a.lease.level >= n*nano || a.static.level >= n*nano
	}
	return a.used+n <= a.lease.Capacity+a.static.Capacity
}

// CanSpend says whether n may be spent now.
func (a *Account) CanSpend(now monotime.Micros, n int64) bool {
	a.turn(now)
	return a.room(n)
}

// Spend spends n, if there is room. What is spent of a lease may be begun until the time that is given, and not later.
func (a *Account) Spend(now monotime.Micros, n int64) (until monotime.Micros, ok bool) {
	a.turn(now)
	if !a.room(n) {
		return 0, false
	}
	until = 1 << 62
	switch a.kind {
	case Rate:
		if a.earned >= n {
			a.earned -= n
		} else if a.static.level >= n*nano { // it is small, and would be full and idle else
			a.static.level -= n * nano
		} else {
			a.lease.level -= n * nano
			until = a.until
		}
	default:
		a.RecordUnbounded(now, n)
	}
	if a.kind != Rate && a.used > a.static.Capacity {
		until = a.until
	}
	a.Spent += n
	return until, true
}

// RecordUnbounded notes what is spent whatever there is room for: of a budget that is not in force yet, so that what runs when it comes into
// force is known.
func (a *Account) RecordUnbounded(now monotime.Micros, n int64) {
	a.turn(now)
	switch a.kind {
	case Window:
		a.spent[a.slot%(slots+1)] += n
		a.used += n
	case Concurrency:
		a.used += n
	}
}

// MaxEarned bounds what is earned and not spent, in thousandths.
const MaxEarned = 2 * Unit

// Earn adds to a rate what something done here is worth. It is this front end's own and never leased: what all of them spend so
// is no more than what was earned by then and MostEarned of each.
func (a *Account) Earn(n int64) { a.earned = min(MaxEarned, a.earned+n) }

// Release gives places back: what held them is over for certain.
func (a *Account) Release(n int64) {
	if a.kind == Concurrency {
		a.used -= n
	}
}

// InUse is what is held, or was spent within the window, beyond the static part.
func (a *Account) InUse(now monotime.Micros) int64 {
	a.turn(now)
	return max(0, a.used-a.static.Capacity)
}

// Used is all that is held or was spent within the window.
func (a *Account) Used(now monotime.Micros) int64 {
	a.turn(now)
	return a.used
}

// RetryAfter is when n will be there for one who is turned away now, as a span; each who asks is told a time of his own. Zero says
// that nobody knows.
func (a *Account) RetryAfter(now monotime.Micros, n int64) monotime.Micros {
	rate := a.lease.Rate + a.static.Rate
	if a.kind != Rate || rate <= 0 {
		return 0
	}
	a.turn(now)
	span := func(n int64) monotime.Micros { return n*nano/rate + 1 }
	at := max(now+span(n)-max(a.lease.level, a.static.level)/rate, a.owed+span(n))
	a.owed = at
	return at - now
}

// Amounts is what is in force now, by lease and without; until is the lease's time.
func (a *Account) Amounts(now monotime.Micros) (lease, static Amount, until monotime.Micros) {
	a.expire(now)
	return a.lease.Amount, a.static.Amount, a.until
}
