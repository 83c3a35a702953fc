package account

// second is monotime.Second as an untyped constant, so that it can also be used in floating-point calculations.
const second = 1_000_000

// Kind is the kind of limit that a budget imposes.
type Kind int

// The kinds of budgets.
const (
	Rate        Kind = iota + 1 // a token bucket: an amount per second, with a burst
	Concurrency                 // a concurrency limit: an amount at a time
	Window                      // a sliding window: an amount within any window of a given length
)

// String returns the kind's name in the settings and on status pages.
func (k Kind) String() string { return [...]string{"", "rate", "places", "window"}[k] }

// Unit is one query, one thread or one millisecond of work. Amounts are in thousandths of it.
const Unit = 1000

// ClockDriftDivisor is the inverse of the largest drift: one machine's clock may run faster than another's by at most
// one part in ClockDriftDivisor.
const ClockDriftDivisor = 100

// Amount is a part of a budget, in thousandths of a unit (see Unit). Capacity is the burst of a rate, a concurrency
// limit, or what may be spent within a window. Rate is per second and only set for rates.
type Amount struct{ Capacity, Rate int64 }

// Add returns the sum of two amounts, field by field.
func (a Amount) Add(b Amount) Amount { return Amount{a.Capacity + b.Capacity, a.Rate + b.Rate} }

// Sub returns the difference of two amounts, field by field. The result may be negative.
func (a Amount) Sub(b Amount) Amount { return Amount{a.Capacity - b.Capacity, a.Rate - b.Rate} }

// Max returns the larger of two amounts, field by field.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.Capacity, b.Capacity), max(a.Rate, b.Rate)} }

// Min returns the smaller of two amounts, field by field.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.Capacity, b.Capacity), min(a.Rate, b.Rate)} }
